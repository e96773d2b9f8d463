"""
A fleet with a list of instances whose engines end under one request.

"""

import json
import re
import threading

from millfork_standins.deployments import LANTING
from millfork_standins.engine import CRASHED, CRASHING_PROMPT
from millfork_standins.fleet import Fleet
from millfork_standins.layout import CALLERS_PORT, FleetOptions
from millfork_standins.requests import fetch
from tests.utils.fleets import complete, serve_version, wait_until

BACK_AFTER_S = 1.0
LOOK_S = 0.05
LEAVES_AFTER_S = 0.1


class CrashingFleet:
    """
    Engines end 0.2 s into a request, and are back a second later.

    """

    def __init__(self, folder, **engine):
        self.fleet = Fleet(LANTING, folder, FleetOptions(engine=engine))
        self.token = self.fleet.caller_tokens[LANTING.organisations[0]]
        self.over = threading.Event()
        self.reviver = threading.Thread(target=self._revive)

    def start(self):
        self.fleet.start()
        serve_version(self.fleet, 'v1')
        self.reviver.start()

    def close(self):
        self.over.set()
        if self.reviver.is_alive():
            self.reviver.join()
        self.fleet.close()

    def _revive(self):
        ended_for = {}
        while not self.over.wait(LOOK_S):
            for instance in self.fleet.engines:
                process = self.fleet.processes[f'{instance.name}.backend']
                if process.poll() is None:
                    ended_for.pop(instance.name, None)
                    continue
                ended_for[instance.name] = ended_for.get(instance.name, 0.0) + LOOK_S
                if ended_for[instance.name] >= BACK_AFTER_S:
                    self.fleet.start_backend(instance)

    def call(self, entry=0, prompt=CRASHING_PROMPT, **fields):
        """
        One call of the request, as soon as its entry has an engine that serves; None if its
        answer broke off.

        """
        wait_until(lambda: complete(self.fleet, self.token, entry).status == 200)
        try:
            return complete(self.fleet, self.token, entry, prompt=prompt, **fields)
        except OSError:
            # A stream that had begun broke off.
            return None

    def call_and_leave(self, entry, **fields):
        """
        One call of the request, whose caller leaves; returns once the engine that had it ended.

        """
        wait_until(lambda: complete(self.fleet, self.token, entry).status == 200)
        before = self.ended()
        body = {'model': 'main', 'prompt': CRASHING_PROMPT, 'max_tokens': 4, **fields}
        headers = {'authorization': f'Bearer {self.token}'}
        host = self.fleet.entries[entry].host
        data = json.dumps(body).encode()
        try:
            fetch('POST', host, CALLERS_PORT, '/v1/completions', data, headers, LEAVES_AFTER_S)
        except TimeoutError:
            wait_until(lambda: self.ended() > before)

    def at_fault(self):
        """
        The requests that the first entry found at fault, by fingerprint.

        """
        return re.findall(
            r'A back end ended under a request\. fingerprint=(\w+) ends=3', self.log(0)
        )

    def wait_for_quarantine(self, known):
        """
        Wait until a leader wrote down that a request is sent no more which the first entry
        found at fault after others.

        """
        wait_until(lambda: len(self.at_fault()) > len(known))
        line = f'Request in quarantine. fingerprint={self.at_fault()[-1]}'
        wait_until(lambda: any(line in self.log(n) for n in range(len(self.fleet.entries))))

    def log(self, entry):
        return (self.fleet.folder / self.fleet.entries[entry].name / 'log').read_text()

    def ended(self):
        """
        How often an engine ended.

        """
        count = 0
        for instance in self.fleet.engines:
            path = self.fleet.execution_log_path(instance.name)
            lines = path.read_text().splitlines() if path.exists() else []
            count += sum(json.loads(line)['kind'] == CRASHED for line in lines)
        return count
