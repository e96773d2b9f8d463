"""
Callers that send requests to a fleet from threads and check the answers.

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

MAX_TOKENS: Final = 6
MAX_ATTEMPTS: Final = 12
# The longest pause of a thread between two requests, and the pause before a resend unless the
# answer has a retry-after time.
PAUSE_S: Final = 0.1
# Longer retry-after times are shortened to this.
MAX_RETRY_AFTER_S: Final = 1.0
PROMPTS: Final = ('summarise the lecture', 'outline the chapter', 'draft the quiz')


class RequestKind(Enum):
    """
    Kinds of requests: a completion as a whole answer or as a stream, a read from a plain
    service, and a filing (a POST to a plain service that must not be executed twice).

    """

    WHOLE = 'whole'
    STREAM = 'stream'
    READ = 'read'
    FILING = 'filing'


class CallOutcome(Enum):
    """
    How a request ended for its caller. `WRONG`: the nonce is not that of the request, a stream is
    unfinished, or the text has no token of a known version. `MIXED`: the text contains tokens of a
    known version but isn't the whole text of the version that the answer names. `NOT_RUN`: the
    last answer refused a filing with the verdict that the filing was not executed. `MAY_HAVE_RUN`:
    the last answer refused a filing without this verdict. `LOST`: no attempt was answered with
    status 200, and neither `NOT_RUN` nor `MAY_HAVE_RUN` applies.

    """

    RIGHT = 'right'
    WRONG = 'wrong'
    MIXED = 'mixed'
    NOT_RUN = 'not_run'
    MAY_HAVE_RUN = 'told_unknown'
    LOST = 'lost'


@dataclass(slots=True)
class CallRecord:
    """
    One request of a caller with all its attempts. `cut_off` counts the attempts without a
    complete answer, except those whose connection was refused.

    """

    kind: RequestKind
    nonce: str
    outcome: CallOutcome
    version: str = ''
    attempts: int = 1
    cut_off: int = 0
    seconds: float = 0.0
    detail: str = ''


@dataclass
class Callers:
    """
    Threads that send requests to random entries, as a load balancer would.

    `keys` maps each version id, as answers name it, to the key of the version's weights.

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
            thread = threading.Thread(target=self._run_thread, args=(number,), daemon=True)
            thread.start()
            self.threads.append(thread)

    def stop(self) -> None:
        self.stopping.set()
        for thread in self.threads:
            thread.join(60)

    def _run_thread(self, number: int) -> None:
        rng = random.Random(number)
        while not self.stopping.is_set():
            kind = rng.choice(self.kinds)
            started_at = time.monotonic()
            record = self.send_until_answered(kind, rng)
            record.seconds = time.monotonic() - started_at
            self.records.append(record)
            self.stopping.wait(PAUSE_S * rng.random())

    def send_until_answered(self, kind: RequestKind, rng: random.Random) -> CallRecord:
        """
        Send a request until an answer has status 200, at most `MAX_ATTEMPTS` times, and return the
        record of all attempts.

        """
        nonce = uuid.uuid4().hex
        record = CallRecord(kind, nonce, CallOutcome.LOST)
        prompt = f'{rng.choice(PROMPTS)} {rng.randrange(20)}'
        for attempt in range(MAX_ATTEMPTS):
            record.attempts = attempt + 1
            entry = rng.choice(self.fleet.entries)
            try:
                answer = self.send(entry, kind, nonce, prompt)
            except OSError as error:
                record.cut_off += not isinstance(error, ConnectionRefusedError)
                record.detail = f'{entry.name}: {error}'
                time.sleep(PAUSE_S)
                continue
            if self._record_answer(record, kind, prompt, answer):
                return record
            wait_s = float(answer.headers.get('retry-after', PAUSE_S))
            time.sleep(min(wait_s, MAX_RETRY_AFTER_S))
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
        body = {'model': 'main', 'prompt': prompt, 'max_tokens': MAX_TOKENS, 'nonce': nonce}
        body['stream'] = kind is RequestKind.STREAM
        data = json.dumps(body).encode()
        return fetch('POST', entry.host, CALLERS_PORT, '/v1/completions', data, headers)

    def _record_answer(
        self, record: CallRecord, kind: RequestKind, prompt: str, answer: Answer
    ) -> bool:
        """
        Store the outcome of one answer in the record; return True if the answer has status 200, so
        that the request need not be sent again.

        """
        if answer.status != 200:
            record.detail = f'{answer.status} {answer.headers.get("millfork-reason")}'
            verdict = answer.headers.get('millfork-verdict')
            record.outcome = CallOutcome.LOST
            if kind is RequestKind.FILING:
                record.outcome = (
                    CallOutcome.NOT_RUN if verdict == 'not_run' else CallOutcome.MAY_HAVE_RUN
                )
            return False
        if kind in (RequestKind.READ, RequestKind.FILING):
            right = answer.json().get('nonce') == record.nonce
            record.outcome = CallOutcome.RIGHT if right else CallOutcome.WRONG
            return True
        record.version = answer.headers.get('millfork-version', '')
        record.outcome = self._check_tokens(record, kind, prompt, answer)
        return True

    def _check_tokens(
        self, record: CallRecord, kind: RequestKind, prompt: str, answer: Answer
    ) -> CallOutcome:
        text, nonces = (
            _stream_text(answer.body) if kind is RequestKind.STREAM else _whole_text(answer)
        )
        if nonces != {record.nonce}:
            return CallOutcome.WRONG
        expected = {
            version: answer_text(key, prompt, MAX_TOKENS) for version, key in self.keys.items()
        }
        if text == expected.get(record.version):
            return CallOutcome.RIGHT
        record.detail = f'{text} is not {expected.get(record.version)}'
        known_tokens = {token for known in expected.values() for token in known.split()}
        return CallOutcome.MIXED if set(text.split()) & known_tokens else CallOutcome.WRONG


def _whole_text(answer: Answer) -> tuple[str, set[str]]:
    body = answer.json()
    return body['choices'][0]['text'], {body['nonce']}


def _stream_text(body: bytes) -> tuple[str, set[str]]:
    """
    Return the text of a stream and the nonces in its events; both are empty if the stream is
    unfinished.

    """
    events = [part.removeprefix('data: ') for part in body.decode().split('\n\n') if part]
    if not events or events[-1] != '[DONE]':
        return '', set()
    token_events: list[dict[str, Any]] = [json.loads(event) for event in events[:-1]]
    return ' '.join(event['text'] for event in token_events), {
        event['nonce'] for event in token_events
    }
