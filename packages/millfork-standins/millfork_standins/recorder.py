"""
Changes and reads the configuration of a running fleet and records a history of the operations.

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

REQUEST_TIMEOUT_S: Final = 4.0
OBSERVE_INTERVAL_S: Final = 0.02
LABEL_NAME: Final = 'generation'


@dataclass(frozen=True, slots=True)
class PlannedOperation:
    """
    A read, or a change of a key. A conditional change expects the highest revision that any
    operation has returned so far. A resent change is sent a second time, to the next entry.

    """

    entry: int
    key: int = 0
    is_read: bool = False
    is_conditional: bool = False
    is_resent: bool = False


@dataclass
class Recorder:
    """
    Runs each plan (a list of operations) on a thread and records operations and observations.

    """

    fleet: Fleet
    history: History = field(default_factory=History)
    lock: threading.Lock = field(default_factory=threading.Lock)
    last_revision: int = 0
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
        Start a thread per entry that records the entry's revision until `stopping` is set.

        """
        threads = [
            threading.Thread(target=self._observe, args=(entry,)) for entry in self.fleet.entries
        ]
        for thread in threads:
            thread.start()
        return threads

    def _observe(self, entry: Instance) -> None:
        while not self.stopping.wait(OBSERVE_INTERVAL_S):
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
            expect = self.last_revision if operation.is_conditional else None
            self.put(operation.entry, command, operation.key, expect)
            if operation.is_resent:
                self.put(operation.entry + 1, command, operation.key, expect)

    def _fetch_from_entry(self, entry: int, method: str, path: str, body: bytes = b'') -> Answer:
        host = self.fleet.entries[entry % len(self.fleet.entries)].host
        headers = {'authorization': f'Bearer {self.fleet.admin_token}'}
        return fetch(method, host, CALLERS_PORT, path, body, headers, REQUEST_TIMEOUT_S)

    def put(self, entry: int, command: str, key: int, expect: int | None) -> bool:
        """
        Send a change once and record the outcome; return True if the change was accepted.

        """
        organisation = self.fleet.shape.organisations[0]
        declaration = {
            'organisation': organisation,
            'labels': {f'instance-{key}': {LABEL_NAME: command}},
        }
        body = {'declaration': declaration, 'command_id': command, 'expect': expect}
        invoked = time.monotonic()
        outcome, revision = Outcome.UNKNOWN, 0
        try:
            data = json.dumps(body).encode()
            answer = self._fetch_from_entry(entry, 'POST', '/control/v1/apply', data)
            outcome, revision = _parse_outcome(answer)
        except OSError:
            pass
        returned = time.monotonic()
        put = Put(command, f'instance-{key}', command, expect, invoked, returned, outcome, revision)
        with self.lock:
            self.history.puts.append(put)
            self.last_revision = max(self.last_revision, revision)
        return outcome is Outcome.ACCEPTED

    def read(self, entry: int) -> bool:
        """
        Read all labels linearizably and record them; return False if the read failed.

        """
        invoked = time.monotonic()
        try:
            answer = self._fetch_from_entry(entry, 'GET', '/control/v1/state')
        except OSError:
            return False
        if answer.status != 200:
            return False
        state = answer.json()
        items = dict(
            _parse_label(key, item) for key, item in state['items'].items() if 'labels' in key
        )
        with self.lock:
            self.history.reads.append(Read(invoked, time.monotonic(), state['revision'], items))
            self.last_revision = max(self.last_revision, state['revision'])
        return True


def _parse_outcome(answer: Answer) -> tuple[Outcome, int]:
    if answer.status == 200:
        return Outcome.ACCEPTED, answer.json()['revision']
    if answer.status == 409:
        return Outcome.CONFLICT, 0
    return Outcome.UNKNOWN, 0


def _parse_label(key: str, item: dict[str, Any]) -> tuple[str, tuple[str, int]]:
    return key.rsplit('/', 1)[1], (item['value'][LABEL_NAME], item['revision'])
