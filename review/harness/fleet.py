"""
Starts a small fleet of the project's own programs on loopback addresses.

Every machine has a loopback address of its own (127.A.B.N), so that all machines use the same
ports, as on the platform. The processes are started with the run commands of `deploy/system.toml`;
only the path of the settings file is replaced. The settings are made from the templates of
`deploy/settings/`.
"""

import json
import os
import random
import re
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent
ADMIN_PORT = 9400
BOUNDS = {
    'contact_ms': 3000,
    'drain_ms': 2000,
    'grace_s': 8,
    'config_apply_ms': 2000,
    'retry_ratio': 0.2,
    'retry_window_s': 10,
    'retry_slack': 100,
    'recover_s': 12,
    'version_ms': 8000,
    'cold_over': '',
    'cold_slack': '',
}
ZONES = {'north-a': 'north', 'middle-a': 'middle', 'south-a': 'south'}


def lookup(fields, path):
    value = fields
    for part in path.split('.'):
        if isinstance(value, list):
            value = value[int(part)] if int(part) < len(value) else ''
        else:
            value = value.get(part, '')
    return value


def fill(template, fields):
    """Fill in `{{a}}`, `{{a.b}}` and `{{a|json}}`, the gaps that the project's templates use."""

    def replace(match):
        path, _, form = match.group(1).partition('|')
        value = lookup(fields, path)
        return json.dumps(value) if form == 'json' else str(value)

    return re.sub(r'\{\{([^}]+)\}\}', replace, template)


class Machine:
    def __init__(self, fleet, name, role, zone, ip, app='', service=''):
        self.fleet = fleet
        self.name = name
        self.role = role
        self.zone = zone
        self.ip = ip
        self.app = app
        self.service = service
        self.process = None
        self.starts = 0
        self.folder = fleet.folder / name
        (self.folder / 'data').mkdir(parents=True)
        self.settings = self.folder / 'settings.yaml'

    def fields(self, first_start):
        fleet = self.fleet
        return {
            'node_name': self.name,
            'ip': self.ip,
            'zone': self.zone,
            'region': ZONES[self.zone],
            'zones': ZONES,
            'port_range': [fleet.wire_port, fleet.wire_port + 15],
            'seeds': fleet.seeds(),
            'first_start': first_start,
            'heartbeat_ms': 1200,
            'bounds': BOUNDS,
            'limits': {'link_mbps': 100.0},
            'fault_tolerance': {'machines': 1},
            'data_dir': str(self.folder / 'data'),
            'app': self.app,
            'service': self.service,
            'listen': {
                'front': f'{self.ip}:{fleet.front_port}',
                'ready': f'{self.ip}:{fleet.ready_port}',
                'control': f'{self.ip}:{fleet.control_port}',
            },
        }

    def start(self, first_start=False):
        role = self.fleet.deploy['roles'][self.role]
        template = (ROOT / role['template']).read_text()
        self.settings.write_text(fill(template, self.fields(first_start)))
        command = role['run'].replace('/etc/millfork/settings.toml', str(self.settings)).split()
        environment = {key: os.environ[key] for key in ('PATH', 'HOME', 'LANG') if key in os.environ}
        environment['PYTHONPATH'] = str(ROOT / 'target/deps')
        environment['MILLFORK_CONFIG'] = str(self.settings)
        environment['TMPDIR'] = str(self.folder)
        with (self.folder / 'log.txt').open('ab') as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=environment, stdin=subprocess.DEVNULL, stdout=log, stderr=log
            )
        self.starts += 1

    def kill(self, number=signal.SIGKILL):
        self.process.send_signal(number)
        if number == signal.SIGKILL:
            self.process.wait()

    @property
    def control(self):
        return self.ip, self.fleet.control_port

    @property
    def front(self):
        return self.ip, self.fleet.front_port

    @property
    def ready(self):
        return self.ip, self.fleet.ready_port

    def log_text(self):
        return (self.folder / 'log.txt').read_text(errors='replace')


class Fleet:
    def __init__(self, record):
        self.record = record
        self.temporary = tempfile.TemporaryDirectory(prefix='millfork-review-')
        self.folder = Path(self.temporary.name)
        self.deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        chosen = random.SystemRandom()
        while True:
            self.net = f'127.{chosen.randrange(20, 250)}.{chosen.randrange(1, 250)}'
            base = chosen.randrange(20000, 30000, 100)
            self.wire_port, self.front_port = base, base + 20
            self.ready_port, self.control_port = base + 21, base + 22
            self.app_port = base + 23
            if all(self._is_free(n, port) for n in range(1, 21) for port in (*range(base, base + 24), ADMIN_PORT)):
                break
        self.machines = {}
        self.next_host = 1

    def _is_free(self, host, port):
        with socket.socket() as probe:
            try:
                probe.bind((f'{self.net}.{host}', port))
            except OSError:
                return False
        return True

    def new_ip(self):
        ip = f'{self.net}.{self.next_host}'
        self.next_host += 1
        return ip

    def add(self, name, role, zone, **more):
        ip = more.pop('ip', None) or self.new_ip()
        self.machines[name] = Machine(self, name, role, zone, ip, **more)
        return self.machines[name]

    def of_role(self, role):
        return [machine for machine in self.machines.values() if machine.role == role]

    def seeds(self):
        return [f'{machine.ip}:{self.control_port}' for machine in self.of_role('replica')[:3]]

    def start(self, first_start=True):
        for machine in self.machines.values():
            machine.start(first_start)

    def stop(self):
        for machine in self.machines.values():
            if machine.process is not None and machine.process.poll() is None:
                machine.process.send_signal(signal.SIGCONT)
                machine.process.kill()
                machine.process.wait()
        self.temporary.cleanup()


class Record:
    """Writes `record.txt`: one line for each thing that was sent, answered or run."""

    def __init__(self, path):
        self.file = open(path, 'w')
        self.started = time.monotonic()

    def __call__(self, *words):
        line = f'{time.monotonic() - self.started:8.3f} ' + ' '.join(str(word) for word in words)
        self.file.write(line + '\n')
        self.file.flush()

    def now(self):
        return time.monotonic() - self.started
