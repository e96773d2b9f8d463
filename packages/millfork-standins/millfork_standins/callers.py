"""
Callers of a fleet, on threads, and the check of what they were answered.

"""

import json
import random
import threading
import time
import uuid
from dataclasses import dataclass, field
from enum import Enum
from typing import Any, Final

from millfork_standins.fleet import Fleet
from millfork_standins.layout import CALLERS_PORT, Instance
from millfork_standins.requests import Answer, fetch
from millfork_standins.weights import answer_text

TOKENS: Final = 6
RESENDS: Final = 12
PAUSE_S: Final = 0.1
MAX_RETRY_AFTER_S: Final = 1.0
PROMPTS: Final = ('summarise the lecture', 'outline the chapter', 'draft the quiz')


class RequestKind(Enum):
    """
    What a caller asks for.

    """

    WHOLE = 'whole'
    STREAM = 'stream'
    READ = 'read'
    FILING = 'filing'


class CallOutcome(Enum):
    """
    How a request ended for its caller.

    """

    RIGHT = 'right'
    WRONG = 'wrong'
    MIXED = 'mixed'
    NOT_RUN = 'not_run'
    TOLD_UNKNOWN = 'told_unknown'
    LOST = 'lost'


@dataclass(slots=True)
class CallRecord:
    """
    One request of a caller, from its first sending to its end. `cut_off`
    counts the sendings whose connection ended without a whole answer.

    """

    kind: RequestKind
    nonce: str
    end: CallOutcome
    version: str = ''
    sendings: int = 1
    cut_off: int = 0
    seconds: float = 0.0
    detail: str = ''


@dataclass
class Callers:
    """
    Callers that keep asking through any ready entry, as behind a balancer.

    `keys` maps the version named in an answer to the key of its weights.

    """

    fleet: Fleet
    keys: dict[str, str]
    thread_count: int = 6
    kinds: tuple[RequestKind, ...] = (
        RequestKind.WHOLE,
        RequestKind.STREAM,
        RequestKind.READ,
        RequestKind.FILING,
    )
    records: list[CallRecord] = field(default_factory=list)
    stopping: threading.Event = field(default_factory=threading.Event)
    threads: list[threading.Thread] = field(default_factory=list)

    def start(self) -> None:
        for number in range(self.thread_count):
            thread = threading.Thread(target=self._ask_on, args=(number,), daemon=True)
            thread.start()
            self.threads.append(thread)

    def stop(self) -> None:
        self.stopping.set()
        for thread in self.threads:
            thread.join(60)

    def _ask_on(self, number: int) -> None:
        chance = random.Random(number)
        while not self.stopping.is_set():
            kind = chance.choice(self.kinds)
            began = time.monotonic()
            record = self.ask(kind, chance)
            record.seconds = time.monotonic() - began
            self.records.append(record)
            self.stopping.wait(PAUSE_S * chance.random())

    def ask(self, kind: RequestKind, chance: random.Random) -> CallRecord:
        """
        One request, sent again as its caller may until it has an end.

        """
        nonce = uuid.uuid4().hex
        record = CallRecord(kind, nonce, CallOutcome.LOST)
        prompt = f'{chance.choice(PROMPTS)} {chance.randrange(20)}'
        for sending in range(RESENDS):
            record.sendings = sending + 1
            entry = chance.choice(self.fleet.entries)
            try:
                answer = self.send(entry, kind, nonce, prompt)
            except OSError as error:
                record.cut_off += not isinstance(error, ConnectionRefusedError)
                record.detail = f'{entry.name}: {error}'
                time.sleep(PAUSE_S)
                continue
            if self._judge(record, kind, prompt, answer):
                return record
            wait = float(answer.headers.get('retry-after', PAUSE_S))
            time.sleep(min(wait, MAX_RETRY_AFTER_S))
        return record

    def send(self, entry: Instance, kind: RequestKind, nonce: str, prompt: str) -> Answer:
        fleet = self.fleet
        token = fleet.caller_tokens[fleet.shape.organisations[0]]
        headers = {'authorization': f'Bearer {token}', 'nonce': nonce}
        service = next(iter(fleet.shape.plain_services))
        if kind is RequestKind.READ:
            path = f'/services/{service}/card/{nonce}'
            return fetch('GET', entry.host, CALLERS_PORT, path, headers=headers)
        if kind is RequestKind.FILING:
            headers['idempotency-key'] = nonce
            path = f'/services/{service}/renewals'
            return fetch('POST', entry.host, CALLERS_PORT, path, b'{}', headers)
        headers['millfork-repeatable'] = 'yes'
        body = {'model': 'main', 'prompt': prompt, 'max_tokens': TOKENS, 'nonce': nonce}
        body['stream'] = kind is RequestKind.STREAM
        data = json.dumps(body).encode()
        return fetch('POST', entry.host, CALLERS_PORT, '/v1/completions', data, headers)

    def _judge(self, record: CallRecord, kind: RequestKind, prompt: str, answer: Answer) -> bool:
        """
        Whether the request has come to its end, and to which.

        """
        if answer.status != 200:
            record.detail = f'{answer.status} {answer.headers.get("millfork-reason")}'
            verdict = answer.headers.get('millfork-verdict')
            record.end = CallOutcome.LOST
            if kind is RequestKind.FILING:
                record.end = (
                    CallOutcome.NOT_RUN if verdict == 'not_run' else CallOutcome.TOLD_UNKNOWN
                )
            return False
        if kind in (RequestKind.READ, RequestKind.FILING):
            right = answer.json().get('nonce') == record.nonce
            record.end = CallOutcome.RIGHT if right else CallOutcome.WRONG
            return True
        record.version = answer.headers.get('millfork-version', '')
        record.end = self._judge_tokens(record, kind, prompt, answer)
        return True

    def _judge_tokens(
        self, record: CallRecord, kind: RequestKind, prompt: str, answer: Answer
    ) -> CallOutcome:
        text, nonces = (
            _stream_text(answer.body) if kind is RequestKind.STREAM else _whole_text(answer)
        )
        if nonces != {record.nonce}:
            return CallOutcome.WRONG
        expected = {version: answer_text(key, prompt, TOKENS) for version, key in self.keys.items()}
        if text == expected.get(record.version):
            return CallOutcome.RIGHT
        record.detail = f'{text} is not {expected.get(record.version)}'
        known = {word for words in expected.values() for word in words.split()}
        return CallOutcome.MIXED if set(text.split()) & known else CallOutcome.WRONG


def _whole_text(answer: Answer) -> tuple[str, set[str]]:
    body = answer.json()
    return body['choices'][0]['text'], {body['nonce']}


def _stream_text(body: bytes) -> tuple[str, set[str]]:
    """
    The text of a stream and the nonces in it; an unfinished one is ''.

    """
    events = [part.removeprefix('data: ') for part in body.decode().split('\n\n') if part]
    if not events or events[-1] != '[DONE]':
        return '', set()
    pieces: list[dict[str, Any]] = [json.loads(event) for event in events[:-1]]
    return ' '.join(piece['text'] for piece in pieces), {piece['nonce'] for piece in pieces}
