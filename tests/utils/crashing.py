"""
A listed fleet (one whose instances the platform lists), for tests with a request that crashes each
engine that runs the request.

"""

import json
import re
import threading

from millfork_standins.deployments import LANTING
from millfork_standins.engine import CRASHED, CRASHING_PROMPT
from millfork_standins.execution_log import read_executions
from millfork_standins.fleet import Fleet
from millfork_standins.layout import CALLERS_PORT, FleetOptions
from millfork_standins.requests import fetch
from tests.utils.fleets import complete, serve_version, wait_until

RESTART_DELAY_S = 1.0
POLL_INTERVAL_S = 0.05
CALLER_TIMEOUT_S = 0.1


class CrashingFleet:
    """
    A fleet that restarts each engine 1 s after its crash. An engine crashes 0.2 s after it starts
    to run the crashing request, unless the setting `crash_after_ms` is given.

    """

    def __init__(self, folder, **engine):
        self.fleet = Fleet(LANTING, folder, FleetOptions(engine=engine))
        self.token = self.fleet.caller_tokens[LANTING.organisations[0]]
        self.stop_event = threading.Event()
        self.restarter = threading.Thread(target=self._restart_ended_engines)

    def start(self):
        self.fleet.start()
        serve_version(self.fleet, 'v1')
        self.restarter.start()

    def close(self):
        self.stop_event.set()
        if self.restarter.is_alive():
            self.restarter.join()
        self.fleet.close()

    def _restart_ended_engines(self):
        ended_for_s = {}
        while not self.stop_event.wait(POLL_INTERVAL_S):
            for instance in self.fleet.engines:
                process = self.fleet.processes[f'{instance.name}.backend']
                if process.poll() is None:
                    ended_for_s.pop(instance.name, None)
                    continue
                ended_for_s[instance.name] = ended_for_s.get(instance.name, 0.0) + POLL_INTERVAL_S
                if ended_for_s[instance.name] >= RESTART_DELAY_S:
                    self.fleet.start_backend(instance)

    def call(self, entry=0, prompt=CRASHING_PROMPT, **fields):
        """
        Send a request, by default the crashing one, once the entry answers other requests. Return
        the answer, or None if the connection broke.

        """
        wait_until(lambda: complete(self.fleet, self.token, entry).status == 200)
        try:
            return complete(self.fleet, self.token, entry, prompt=prompt, **fields)
        except OSError:
            # A started stream was interrupted.
            return None

    def call_and_leave(self, entry, **fields):
        """
        Send the crashing request from a caller that leaves after `CALLER_TIMEOUT_S`. Return once
        an engine has crashed, or at once if the caller is answered.

        """
        wait_until(lambda: complete(self.fleet, self.token, entry).status == 200)
        crashes_before = self.count_ended()
        body = {'model': 'main', 'prompt': CRASHING_PROMPT, 'max_tokens': 4, **fields}
        headers = {'authorization': f'Bearer {self.token}'}
        host = self.fleet.entries[entry].host
        data = json.dumps(body).encode()
        try:
            fetch('POST', host, CALLERS_PORT, '/v1/completions', data, headers, CALLER_TIMEOUT_S)
        except TimeoutError:
            wait_until(lambda: self.count_ended() > crashes_before)

    def fingerprints_at_fault(self):
        """
        Return the fingerprints of the requests that the first entry considers at fault: the entry
        has logged that three back ends ended while they ran such a request.

        """
        return re.findall(
            r'A back end ended while it ran a request\. fingerprint=(\w+) ends=3', self.log(0)
        )

    def wait_for_quarantine(self, known_fingerprints):
        """
        Wait until the first entry considers a request at fault that is not among
        `known_fingerprints`, and the leader of the replicas has put that request in quarantine.

        """
        wait_until(lambda: len(self.fingerprints_at_fault()) > len(known_fingerprints))
        line = f'Request in quarantine. fingerprint={self.fingerprints_at_fault()[-1]}'
        wait_until(lambda: any(line in self.log(n) for n in range(len(self.fleet.entries))))

    def log(self, entry):
        return (self.fleet.folder / self.fleet.entries[entry].name / 'log').read_text()

    def count_ended(self):
        """
        Return the number of crashes of all engines.

        """
        count = 0
        for instance in self.fleet.engines:
            lines = read_executions(self.fleet.execution_log_path(instance.name))
            count += sum(line['kind'] == CRASHED for line in lines)
        return count
