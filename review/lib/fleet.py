"""
A small fleet for the cases of the review: daemons started as the deploy file says, on loopback
addresses, and stand-ins of the operator and of clients.

Only the standard library is used here. The daemons get the libraries that the build of the deploy
file leaves in `target/deps`.

"""

import json
import os
import re
import shutil
import signal
import socket
import subprocess
import tempfile
import threading
import time
from http.client import HTTPConnection, HTTPException
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
DEPS = ROOT / 'target' / 'deps'
COMMAND = ['python3', 'deploy/millforkd.py']
WIRE_PORT, CONTROL_PORT, CALLERS_PORT, READY_PORT = 7700, 8000, 8005, 8002
PLACEHOLDER = re.compile(r'\{\{([^}|]+)(\|json)?\}\}')
# The bounds of the small deployments on the users' pages (SYSTEM.md).
BOUNDS = {
    'grace_s': 8,
    'retry_ratio': 0.2,
    'retry_window_s': 10,
    'retry_slack': 100,
    'version_ms': 8000,
}
CALL_TIMEOUT_S = 1.0
HELD, BROKEN, NOT_RUN = 0, 1, 2


class CannotRun(Exception):
    """
    The case couldn't run, so it says nothing about the rule.

    """


class Record:
    """
    The file in which a case writes what was sent, answered and run.

    """

    def __init__(self, path):
        self.started_at = time.monotonic()
        self.file = path.open('w')
        self.lock = threading.Lock()

    def write(self, text):
        with self.lock:
            line = f'{time.monotonic() - self.started_at:7.2f} {text}'
            print(line, flush=True)
            self.file.write(line + '\n')
            self.file.flush()


class Reply:
    def __init__(self, status, headers=None, body=b'', error=''):
        self.status = status
        self.headers = headers or {}
        self.body = body
        self.error = error

    def __str__(self):
        return str(self.status) if self.status else f'no answer ({self.error})'


def call(host, port, method, path, headers=None, body=b'', timeout_s=CALL_TIMEOUT_S):
    """
    One HTTP call on a connection of its own; status 0 if there is no whole answer.

    """
    connection = HTTPConnection(host, port, timeout=timeout_s)
    try:
        connection.request(method, path, body, headers or {})
        answer = connection.getresponse()
        content = answer.read()
        found = {name.lower(): value for name, value in answer.getheaders()}
        return Reply(answer.status, found, content)
    except (OSError, HTTPException) as error:
        return Reply(0, error=type(error).__name__)
    finally:
        connection.close()


class Fleet:
    """
    The daemons of one fleet, each with a loopback address of its own.

    """

    def __init__(self, record, replicas=3, entries=2):
        if not DEPS.is_dir():
            raise CannotRun('target/deps is missing: run the build of deploy/system.toml first')
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix='millfork-review-'))
        self.net = self._free_net()
        self.seeds = [f'{self.net}.{number}' for number in range(1, replicas + 1)]
        self.replicas = list(self.seeds)
        self.entries = [f'{self.net}.{number}' for number in range(21, 21 + entries)]
        self.processes = {}
        self.logs = {}

    def _free_net(self):
        for offset in range(100):
            number = (os.getpid() + offset) % 25_000
            net = f'127.{140 + number // 250}.{number % 250}'
            try:
                for last in (1, 21):
                    for port in (WIRE_PORT, CONTROL_PORT, CALLERS_PORT):
                        with socket.socket() as probe:
                            probe.bind((f'{net}.{last}', port))
                return net
            except OSError:
                continue
        raise CannotRun('no free loopback addresses')

    def start(self):
        for host in (*self.replicas, *self.entries):
            self.start_process(host, first_start=True)

    def start_process(self, host, first_start=False):
        role = 'entry' if host in self.entries else 'replica'
        template = (ROOT / 'deploy' / 'settings' / f'{role}.yaml').read_text()
        path = self.folder / f'{host}.settings'
        path.write_text(PLACEHOLDER.sub(self._values(host, first_start), template))
        if role == 'replica':
            self.data_folder(host).mkdir(exist_ok=True)
        environment = {
            name: os.environ[name] for name in ('PATH', 'HOME', 'LANG') if name in os.environ
        }
        environment['PYTHONPATH'] = str(DEPS)
        with (self.folder / f'{host}.log').open('ab') as log:
            self.processes[host] = subprocess.Popen(
                [*COMMAND, f'--settings={path}'],
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.record.write(f'started {role} {host} first_start={first_start}')

    def _values(self, host, first_start):
        fields = {
            'ip': host,
            'node_name': host,
            'zone': 'hall',
            'region': 'region',
            'zones': {'hall': 'region'},
            'port_range': [WIRE_PORT, WIRE_PORT + 15],
            'listen': {
                'front': f'{host}:{CALLERS_PORT}',
                'ready': f'{host}:{READY_PORT}',
                'control': f'{host}:{CONTROL_PORT}',
            },
            'seeds': [f'{seed}:{CONTROL_PORT}' for seed in self.seeds],
            'first_start': first_start,
            'data_dir': str(self.data_folder(host)),
            'heartbeat_ms': 1200,
            'fault_tolerance': {'machines': 1},
            'bounds': BOUNDS,
            'limits': {'link_mbps': 1000.0},
        }

        def value(found):
            item = fields
            for key in found[1].split('.'):
                item = item[int(key)] if isinstance(item, list) else item.get(key)
                if item is None:
                    return ''
            if found[2] is not None or isinstance(item, bool):
                return json.dumps(item)
            return str(item)

        return value

    def data_folder(self, host):
        return self.folder / f'{host}.data'

    def send_signal(self, host, number):
        self.processes[host].send_signal(number)
        self.record.write(f'{signal.Signals(number).name} to {host}')

    def wait_ended(self, host, within_s):
        try:
            self.processes[host].wait(within_s)
        except subprocess.TimeoutExpired:
            return False
        del self.processes[host]
        self.record.write(f'{host} has ended')
        return True

    def kill(self, host):
        self.send_signal(host, signal.SIGKILL)
        self.wait_ended(host, 5)

    def lose_disk(self, host):
        shutil.rmtree(self.data_folder(host))
        self.record.write(f'the disk of {host} is lost')

    def log_lines(self, host, word):
        lines = (self.folder / f'{host}.log').read_text(errors='replace').splitlines()
        return [line for line in lines if word in line]

    def close(self):
        for process in self.processes.values():
            process.kill()
        for process in self.processes.values():
            process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


class Operator:
    """
    Sends orders as the pages say: to one daemon after another until one gives a clear answer.

    """

    def __init__(self, fleet):
        self.fleet = fleet

    def _ask(self, what, method, path, body, within_s):
        deadline = time.monotonic() + within_s
        pause_s = 0.1
        seen = {}
        while True:
            for host in list(self.fleet.replicas):
                reply = call(host, CONTROL_PORT, method, path, {}, body)
                seen[host] = str(reply)
                if reply.status == 200 or 400 <= reply.status < 500:
                    self.fleet.record.write(f'{what}: {reply.status} from {host}')
                    return reply
                if time.monotonic() > deadline:
                    self.fleet.record.write(f'{what}: no clear answer in {within_s} s: {seen}')
                    return Reply(0, error='no clear answer')
            time.sleep(pause_s)
            pause_s = min(pause_s * 2, 1.0)

    def put(self, document, within_s=10.0):
        body = json.dumps(document).encode()
        what = f'Config.Put version {document["version"]}'
        return self._ask(what, 'POST', '/v1/Config.Put', body, within_s)

    def get(self, within_s=10.0):
        """
        The version of the configuration that is read back; None if it doesn't come.

        """
        reply = self._ask('Config.Get', 'GET', '/v1/Config.Get', b'', within_s)
        if reply.status != 200:
            return None
        version = json.loads(reply.body)['version']
        self.fleet.record.write(f'read back: version {version}')
        return version


def wait_until(condition, within_s, what):
    deadline = time.monotonic() + within_s
    while not condition():
        if time.monotonic() > deadline:
            raise CannotRun(f'not reached in {within_s} s: {what}')
        time.sleep(0.05)
