"""
A fleet of plain processes on loopback addresses, for demo, tests and bench.

"""

import hashlib
import json
import os
import random
import secrets
import signal
import socket
import subprocess
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Final

import yaml

from millfork_standins.deployments import Shape
from millfork_standins.requests import fetch, fetch_json

WIRE_PORT: Final = 7400
CALLERS_PORT: Final = 8080
ADMIN_PORT: Final = 9400
BACKEND_PORT: Final = 8000
STANDIN_PORT: Final = 8500
STANDIN_ZONE: Final = 250
LAST_NUMBER: Final = 250
ENDPOINTS_FROM: Final = 100
POLL_S: Final = 0.05
APPLY_PATH: Final = '/control/v1/apply'
APPLY_TIMEOUT_S: Final = 30.0
ENTRY_TIMEOUT_S: Final = 3.0
STOP_TIMEOUT_S: Final = 40.0


class FleetError(Exception):
    """
    A process of the fleet did not do what was awaited.

    """


@dataclass(slots=True)
class Instance:
    """
    One instance: its address, and the settings of what runs there.

    """

    name: str
    host: str
    zone: str
    region: str
    role: str
    service: str
    settings: dict[str, Any]
    has_disk: bool = False


@dataclass(slots=True)
class FleetOptions:
    """
    What differs between fleets: sizes in bytes, rates in bytes/s.

    """

    model_bytes: int = 8 * 1024 * 1024
    chunk_bytes: int = 64 * 1024
    link_bytes_per_s: int = 16 * 1024 * 1024
    versions: list[dict[str, Any]] = field(default_factory=list)
    engine: dict[str, Any] = field(default_factory=dict)
    backend: dict[str, Any] = field(default_factory=dict)
    weights: dict[str, Any] = field(default_factory=dict)
    link: dict[str, Any] = field(default_factory=dict)
    routing: dict[str, Any] = field(default_factory=dict)
    state: dict[str, Any] = field(default_factory=dict)
    service: dict[str, Any] = field(default_factory=dict)
    platform_lag_ms: float = 200
    relay: bool = False
    log_level: str = 'INFO'


class Fleet:
    """
    Starts, stops, kills and freezes the processes of one fleet.

    """

    def __init__(self, shape: Shape, folder: Path, options: FleetOptions) -> None:
        self.shape = shape
        self.number, self.guard = _take_number(shape.number)
        self.folder = folder
        self.options = options
        self.processes: dict[str, subprocess.Popen[bytes]] = {}
        self.instances: dict[str, Instance] = {}
        self.admin_token = secrets.token_hex(16)
        self.caller_tokens = {name: secrets.token_hex(16) for name in shape.organisations}
        self.operator_tokens = {name: secrets.token_hex(16) for name in shape.organisations}
        folder.mkdir(parents=True, exist_ok=True)
        (folder / 'fleet_key').write_text(secrets.token_hex(32))
        (folder / 'admin_token').write_text(self.admin_token)
        for name, token in self.operator_tokens.items():
            (folder / f'operator_token.{name}').write_text(token)
        self._lay_out()

    # Layout.

    def _host(self, zone: int, number: int) -> str:
        return f'127.{self.number}.{zone}.{number}'

    def standin_host(self, number: int) -> str:
        return self._host(STANDIN_ZONE, number)

    @property
    def platform(self) -> dict[str, Any]:
        return {'host': self.standin_host(1), 'port': STANDIN_PORT}

    @property
    def origin(self) -> dict[str, Any]:
        return {'host': self.standin_host(2), 'port': STANDIN_PORT}

    @property
    def relay(self) -> dict[str, Any]:
        return {'host': self.standin_host(3), 'port': STANDIN_PORT}

    def _lay_out(self) -> None:
        shape = self.shape
        for number in range(shape.entries):
            self._add(f'entry-{number + 1}', number, 'entry', '', has_disk=number < shape.disks)
        position = 0
        services = {shape.engine_service: shape.engines, **shape.plain_services}
        for service, count in services.items():
            for number in range(count):
                self._add(f'{service}-{number + 1}', position, 'endpoint', service)
                position += 1

    def _add(
        self, name: str, position: int, role: str, service: str, has_disk: bool = False
    ) -> None:
        zones = len(self.shape.places)
        place = self.shape.places[position % zones]
        first = 1 if role == 'entry' else ENDPOINTS_FROM
        host = self._host(position % zones + 1, first + position // zones)
        instance = Instance(
            name, host, place.zone, place.region, role, service, {}, has_disk=has_disk
        )
        self.instances[name] = instance

    @property
    def entries(self) -> list[Instance]:
        return [i for i in self.instances.values() if i.role == 'entry']

    @property
    def engines(self) -> list[Instance]:
        service = self.shape.engine_service
        return [i for i in self.instances.values() if i.service == service]

    @property
    def replicas(self) -> list[Instance]:
        return [i for i in self.entries if i.has_disk]

    @property
    def control_entries(self) -> str:
        return ','.join(f'{entry.host}:{CALLERS_PORT}' for entry in self.entries)

    # Settings.

    def settings_of(self, instance: Instance) -> dict[str, Any]:
        """
        The settings file of an instance's daemon, as plain data.

        """
        options = self.options
        settings: dict[str, Any] = {
            'instance': instance.name,
            'zone': instance.zone,
            'region': instance.region,
            'role': instance.role,
            'address': instance.host,
            'ports': {'wire': WIRE_PORT, 'callers': CALLERS_PORT, 'admin': ADMIN_PORT},
            'fleet_key_file': str(self.folder / 'fleet_key'),
            'replicas': [
                {'instance': replica.name, 'host': replica.host} for replica in self.replicas
            ],
            'platform': self.platform,
            'log_level': options.log_level,
            'routing': options.routing,
            'state': options.state,
            'weights': {'origin': self.origin, 'origin_copies': self.shape.origin_copies},
            'link': {'bytes_per_s': options.link_bytes_per_s, **options.link},
        }
        settings['weights'].update(options.weights)
        if options.relay:
            settings['via'] = self.relay
        if instance.role == 'entry':
            settings['admin_token_file'] = str(self.folder / 'admin_token')
        if instance.has_disk or instance.service == self.shape.engine_service:
            settings['data_folder'] = str(self.data_folder(instance.name))
        if instance.service:
            kind = 'engine' if instance.service == self.shape.engine_service else 'plain'
            settings['backend'] = {
                'kind': kind,
                'service': instance.service,
                'address': {'host': instance.host, 'port': BACKEND_PORT},
                **options.backend,
            }
        settings.update(instance.settings)
        return settings

    def data_folder(self, name: str) -> Path:
        return self.folder / name / 'data'

    def executions(self, name: str) -> Path:
        return self.folder / name / 'executions.jsonl'

    def _write(self, name: str, settings: dict[str, Any]) -> Path:
        folder = self.folder / name
        folder.mkdir(parents=True, exist_ok=True)
        path = folder / 'settings.yaml'
        path.write_text(yaml.safe_dump(settings, sort_keys=False))
        return path

    # Processes.

    def _spawn(self, name: str, command: list[str]) -> None:
        log = (self.folder / name / 'log').open('ab')
        self.processes[name] = subprocess.Popen(
            [sys.executable, *command], stdout=log, stderr=log, stdin=subprocess.DEVNULL
        )
        log.close()

    def _start_standin(self, name: str, kind: str, settings: dict[str, Any]) -> None:
        path = self._write(name, settings)
        self._spawn(name, ['-m', 'millfork_standins', kind, str(path)])

    def start_standins(self) -> None:
        """
        Start platform, origin and, where asked for, the relay.

        """
        options = self.options
        self._start_standin(
            'platform', 'platform', {'listen': self.platform, 'lag_ms': options.platform_lag_ms}
        )
        model = self.shape.model
        versions = options.versions or [
            {'name': model, 'version': 'v1', 'size': options.model_bytes},
            {'name': model, 'version': 'v2', 'size': options.model_bytes},
        ]
        origin = {
            'listen': self.origin,
            'bytes_per_s': 2 * options.link_bytes_per_s,
            'chunk_bytes': options.chunk_bytes,
            'versions': versions,
        }
        self._start_standin('origin', 'origin', origin)
        if options.relay:
            self._start_standin('relay', 'relay', {'listen': self.relay})
        self.wait_http('platform', self.platform['host'], STANDIN_PORT, '/instances?since=-1')
        self.wait_http('origin', self.origin['host'], STANDIN_PORT, '/stats')

    def start_backend(self, instance: Instance) -> None:
        """
        Start the engine or plain service behind an endpoint.

        """
        listen = {'host': instance.host, 'port': BACKEND_PORT}
        log = str(self.executions(instance.name))
        name = f'{instance.name}.backend'
        if instance.service == self.shape.engine_service:
            settings = {'listen': listen, 'log': log, **self.options.engine}
            self._start_standin(name, 'engine', settings)
        else:
            settings = {'listen': listen, 'log': log, **self.options.service}
            self._start_standin(name, 'service', settings)

    def start_daemon(self, instance: Instance) -> None:
        """
        Start `millforkd` on an instance.

        """
        path = self._write(instance.name, self.settings_of(instance))
        self._spawn(instance.name, ['-m', 'millforkd', f'--settings={path}'])

    def list_instance(self, instance: Instance, leaving: bool = False) -> None:
        """
        Put an instance on the platform's list.

        """
        facts = {
            'instance': instance.name,
            'host': instance.host,
            'port': WIRE_PORT,
            'zone': instance.zone,
            'region': instance.region,
            'role': instance.role,
            'service': instance.service,
            'leaving': leaving,
        }
        fetch_json('PUT', self.platform['host'], STANDIN_PORT, '/instances', facts)

    def unlist_instance(self, instance: Instance) -> None:
        path = f'/instances/{instance.name}'
        fetch_json('DELETE', self.platform['host'], STANDIN_PORT, path)

    def start(self, backends: bool = True, timeout: float = 30.0) -> None:
        """
        Start everything; return when every daemon is ready.

        """
        self.start_standins()
        for instance in self.instances.values():
            self.list_instance(instance)
            self._write(instance.name, {})
            if instance.role == 'endpoint' and backends:
                self.start_backend(instance)
            self.start_daemon(instance)
        for instance in self.instances.values():
            self.wait_ready(instance, timeout)

    def kill(self, name: str) -> None:
        """
        End a process at once.

        """
        process = self.processes.pop(name)
        process.kill()
        process.wait()

    def stop(self, name: str, timeout: float = STOP_TIMEOUT_S) -> int:
        """
        Ask a process to stop and wait until it has; its exit status.

        """
        process = self.processes.pop(name)
        process.terminate()
        return process.wait(timeout)

    def freeze(self, name: str) -> None:
        os.kill(self.processes[name].pid, signal.SIGSTOP)

    def thaw(self, name: str) -> None:
        os.kill(self.processes[name].pid, signal.SIGCONT)

    def close(self) -> None:
        """
        End every process of the fleet.

        """
        for process in self.processes.values():
            process.send_signal(signal.SIGCONT)
            process.kill()
        for process in self.processes.values():
            process.wait()
        self.processes.clear()
        self.guard.close()

    # Waiting.

    def wait_http(self, name: str, host: str, port: int, path: str, timeout: float = 30) -> None:
        """
        Wait until a process answers 200 at a path.

        """
        until = time.monotonic() + timeout
        while time.monotonic() < until:
            process = self.processes.get(name)
            if process is not None and process.poll() is not None:
                raise FleetError(f'{name} ended: {self.tail(name)}')
            try:
                if fetch('GET', host, port, path).status == 200:
                    return
            except OSError:
                pass
            time.sleep(POLL_S)
        raise FleetError(f'{name} is not ready after {timeout} s: {self.tail(name)}')

    def wait_ready(self, instance: Instance, timeout: float = 30) -> None:
        self.wait_http(instance.name, instance.host, ADMIN_PORT, '/readyz', timeout)

    def tail(self, name: str) -> str:
        path = self.folder / name / 'log'
        return path.read_text()[-2000:] if path.exists() else ''

    # Declarations.

    def organisations_declaration(self) -> dict[str, Any]:
        """
        All organisations of the shape, with this fleet's tokens.

        """
        services = [self.shape.engine_service, *self.shape.plain_services]
        return {
            'organisations': {
                name: {
                    'caller_tokens': [_hash(self.caller_tokens[name])],
                    'operator_tokens': [_hash(self.operator_tokens[name])],
                    'services': services,
                }
                for name in self.shape.organisations
            }
        }

    def deployment_declaration(self, version: str, name: str = 'main') -> dict[str, Any]:
        """
        The first organisation's deployment of the model on all engines.

        """
        return {
            'organisation': self.shape.organisations[0],
            'deployments': {
                name: {
                    'model': self.shape.model,
                    'version': version,
                    'selector': {'service': self.shape.engine_service},
                }
            },
        }

    def write_declaration(self, name: str, declaration: dict[str, Any]) -> Path:
        path = self.folder / name
        path.write_text(yaml.safe_dump(declaration, sort_keys=False))
        return path

    def operate(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        """
        Run `millfork` as the fleet's administrator.

        """
        command = [
            sys.executable,
            '-m',
            'millfork',
            *arguments,
            f'--entries={self.control_entries}',
            f'--token_file={self.folder / "admin_token"}',
        ]
        return subprocess.run(command, capture_output=True, text=True, timeout=120, check=False)

    def apply(self, declaration: dict[str, Any], timeout: float = APPLY_TIMEOUT_S) -> int:
        """
        Apply without the command line, at whichever entry accepts; the
        revision. One command id makes sending it again harmless.

        """
        body = {'declaration': declaration, 'command_id': secrets.token_hex(16)}
        data = json.dumps(body).encode()
        headers = {'authorization': f'Bearer {self.admin_token}'}
        until = time.monotonic() + timeout
        last = ''
        while time.monotonic() < until:
            entry = random.choice([e for e in self.entries if e.name in self.processes])
            try:
                answer = fetch(
                    'POST', entry.host, CALLERS_PORT, APPLY_PATH, data, headers, ENTRY_TIMEOUT_S
                )
            except OSError as error:
                last = str(error)
                continue
            if answer.status == 200:
                return int(answer.json()['revision'])
            last = answer.body.decode()
        raise FleetError(f'not applied within {timeout} s: {last}')

    def origin_stats(self) -> dict[str, Any]:
        stats: dict[str, Any] = fetch_json('GET', self.origin['host'], STANDIN_PORT, '/stats')
        return stats

    def control_origin(self, **wish: Any) -> None:
        fetch_json('POST', self.origin['host'], STANDIN_PORT, '/control', wish)

    def cut(self, *pairs: tuple[int, int]) -> None:
        """
        Cut these pairs of zones (numbered from 1) and join all others.

        """
        self._tell_relay('cut', pairs)

    def freeze_links(self, *pairs: tuple[int, int]) -> None:
        """
        Stop the bytes between these pairs of zones without closing.

        """
        self._tell_relay('freeze', pairs)

    def _tell_relay(self, kind: str, pairs: tuple[tuple[int, int], ...]) -> None:
        text = ','.join(f'{first}-{second}' for first, second in pairs)
        fetch('POST', self.relay['host'], STANDIN_PORT, f'/{kind}/{text}')


def _take_number(first: int) -> tuple[int, socket.socket]:
    """
    The second number of the fleet's addresses, and the socket that keeps it
    from fleets beside this one.

    """
    for number in range(first, LAST_NUMBER):
        guard = socket.socket()
        try:
            guard.bind((f'127.{number}.{STANDIN_ZONE}.254', STANDIN_PORT))
        except OSError:
            guard.close()
            continue
        return number, guard
    raise FleetError('all addresses for fleets are taken')


def _hash(token: str) -> str:
    return hashlib.sha256(token.encode()).hexdigest()
