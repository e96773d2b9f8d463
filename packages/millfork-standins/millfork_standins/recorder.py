"""
Records a history of configuration changes on a running fleet.

"""

import json
import threading
import time
import uuid
from dataclasses import dataclass, field
from typing import Any, Final

from millfork_standins.fleet import Fleet
from millfork_standins.history import History, Observation, Outcome, Put, Read
from millfork_standins.layout import ADMIN_PORT, CALLERS_PORT, Instance
from millfork_standins.requests import Answer, fetch

TIMEOUT_S: Final = 4.0
OBSERVE_S: Final = 0.02
LABEL: Final = 'generation'


@dataclass(frozen=True, slots=True)
class PlannedOperation:
    """
    One operation of a plan: change a key at the revision seen last, or at
    any; send it again to another entry afterwards, or not; or read.

    """

    entry: int
    key: int = 0
    is_read: bool = False
    is_conditional: bool = False
    is_resent: bool = False


@dataclass
class Recorder:
    """
    Runs plans, one on each thread, and records what happened.

    """

    fleet: Fleet
    history: History = field(default_factory=History)
    lock: threading.Lock = field(default_factory=threading.Lock)
    seen: int = 0
    stopping: threading.Event = field(default_factory=threading.Event)

    def start_plans(self, plans: list[list[PlannedOperation]]) -> list[threading.Thread]:
        """
        Start one thread for each plan.

        """
        threads = [threading.Thread(target=self._run_plan, args=(plan,)) for plan in plans]
        for thread in threads:
            thread.start()
        return threads

    def start_observers(self) -> list[threading.Thread]:
        """
        Start one observer of each entry, until `stopping` is set.

        """
        threads = [
            threading.Thread(target=self._observe, args=(entry,)) for entry in self.fleet.entries
        ]
        for thread in threads:
            thread.start()
        return threads

    def _observe(self, entry: Instance) -> None:
        while not self.stopping.wait(OBSERVE_S):
            try:
                answer = fetch('GET', entry.host, ADMIN_PORT, '/readyz', timeout=1)
            except OSError:
                continue
            if answer.status == 200:
                revision = answer.json()['revision']
                with self.lock:
                    self.history.observations.append(
                        Observation(entry.name, time.monotonic(), revision)
                    )

    def _run_plan(self, plan: list[PlannedOperation]) -> None:
        for operation in plan:
            if operation.is_read:
                self.read(operation.entry)
                continue
            command = uuid.uuid4().hex
            expect = self.seen if operation.is_conditional else None
            self.put(operation.entry, command, operation.key, expect)
            if operation.is_resent:
                self.put(operation.entry + 1, command, operation.key, expect)

    def _ask(self, entry: int, method: str, path: str, body: bytes = b'') -> Answer:
        host = self.fleet.entries[entry % len(self.fleet.entries)].host
        headers = {'authorization': f'Bearer {self.fleet.admin_token}'}
        return fetch(method, host, CALLERS_PORT, path, body, headers, TIMEOUT_S)

    def put(self, entry: int, command: str, key: int, expect: int | None) -> bool:
        """
        One sending of a change; whether it was accepted.

        """
        organisation = self.fleet.shape.organisations[0]
        declaration = {
            'organisation': organisation,
            'labels': {f'instance-{key}': {LABEL: command}},
        }
        body = {'declaration': declaration, 'command_id': command, 'expect': expect}
        invoked = time.monotonic()
        outcome, revision = Outcome.UNKNOWN, 0
        try:
            data = json.dumps(body).encode()
            answer = self._ask(entry, 'POST', '/control/v1/apply', data)
            outcome, revision = _outcome(answer)
        except OSError:
            pass
        returned = time.monotonic()
        put = Put(command, f'instance-{key}', command, expect, invoked, returned, outcome, revision)
        with self.lock:
            self.history.puts.append(put)
            self.seen = max(self.seen, revision)
        return outcome is Outcome.ACCEPTED

    def read(self, entry: int) -> bool:
        """
        One linearizable read; False if there was no answer.

        """
        invoked = time.monotonic()
        try:
            answer = self._ask(entry, 'GET', '/control/v1/state')
        except OSError:
            return False
        if answer.status != 200:
            return False
        state = answer.json()
        items = dict(_label(key, item) for key, item in state['items'].items() if 'labels' in key)
        with self.lock:
            self.history.reads.append(Read(invoked, time.monotonic(), state['revision'], items))
            self.seen = max(self.seen, state['revision'])
        return True


def _outcome(answer: Answer) -> tuple[Outcome, int]:
    if answer.status == 200:
        return Outcome.ACCEPTED, answer.json()['revision']
    if answer.status == 409:
        return Outcome.CONFLICT, 0
    return Outcome.UNKNOWN, 0


def _label(key: str, item: dict[str, Any]) -> tuple[str, tuple[str, int]]:
    return key.rsplit('/', 1)[1], (item['value'][LABEL], item['revision'])
