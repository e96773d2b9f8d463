"""
A fleet of local processes on loopback addresses, for the demo, tests and the bench.

"""

import hashlib
import json
import os
import random
import secrets
import signal
import subprocess
import sys
import time
from pathlib import Path
from typing import Any, Final

import yaml

from millfork_standins.deployments import Shape
from millfork_standins.layout import (
    ADMIN_PORT,
    BACKEND_PORT,
    CALLERS_PORT,
    STANDIN_PORT,
    WIRE_PORT,
    FleetError,
    FleetOptions,
    Instance,
    Layout,
)
from millfork_standins.requests import fetch, fetch_json

POLL_S: Final = 0.05
APPLY_PATH: Final = '/control/v1/apply'
APPLY_TIMEOUT_S: Final = 30.0
APPLY_ATTEMPT_TIMEOUT_S: Final = 3.0
STOP_TIMEOUT_S: Final = 40.0


class Fleet(Layout):
    """
    Starts, stops, kills and freezes the processes of one fleet, and applies declarations.

    """

    def __init__(self, shape: Shape, folder: Path, options: FleetOptions) -> None:
        super().__init__(shape, folder, options)
        self.processes: dict[str, subprocess.Popen[bytes]] = {}

    # Processes.

    def _spawn(self, name: str, command: list[str]) -> None:
        log = (self.folder / name / 'log').open('ab')
        self.processes[name] = subprocess.Popen(
            [sys.executable, *command], stdout=log, stderr=log, stdin=subprocess.DEVNULL
        )
        log.close()

    def _start_standin(self, name: str, kind: str, settings: dict[str, Any]) -> None:
        path = self.write_settings(name, settings)
        self._spawn(name, ['-m', 'millfork_standins', kind, str(path)])

    def start_standins(self) -> None:
        """
        Start the platform, the origin and, with the option `relay`, the relay.

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

    def start_backend(self, instance: Instance, **overrides: Any) -> None:
        """
        Start the engine or plain service behind an endpoint; `overrides` are settings of this
        back end only.

        """
        listen = {'host': instance.host, 'port': BACKEND_PORT}
        log = str(self.execution_log_path(instance.name))
        name = f'{instance.name}.backend'
        if instance.service == self.shape.engine_service:
            settings = {'listen': listen, 'log': log, **self.options.engine, **overrides}
            self._start_standin(name, 'engine', settings)
        else:
            settings = {'listen': listen, 'log': log, **self.options.service, **overrides}
            self._start_standin(name, 'service', settings)

    def start_daemon(self, instance: Instance) -> None:
        """
        Write the settings of an instance and start `millforkd` on it.

        """
        path = self.write_settings(instance.name, self.build_settings(instance))
        self._spawn(instance.name, ['-m', 'millforkd', f'--settings={path}'])

    def list_instance(self, instance: Instance, leaving: bool = False) -> None:
        """
        Add an instance to the platform's list, or replace the listing of the instance.

        """
        listing = {
            'instance': instance.name,
            'host': instance.host,
            'port': WIRE_PORT,
            'zone': instance.zone,
            'region': instance.region,
            'role': instance.role,
            'service': instance.service,
            'leaving': leaving,
        }
        fetch_json('PUT', self.platform['host'], STANDIN_PORT, '/instances', listing)

    def withhold_list_changes(self, instance: Instance) -> None:
        """
        Make the platform show this instance no further changes of the platform's list.

        """
        host = {'host': instance.host}
        fetch_json('POST', self.platform['host'], STANDIN_PORT, '/deaf', host)

    def start(self, backends: bool = True, timeout: float = 30.0) -> None:
        """
        Start all processes, the back ends only if `backends` is true, and wait until every daemon
        is ready.

        """
        self.start_standins()
        for instance in self.instances.values():
            self.list_instance(instance)
            self.write_settings(instance.name, {})
            if instance.role == 'endpoint' and backends:
                self.start_backend(instance)
            self.start_daemon(instance)
        for instance in self.instances.values():
            self.wait_ready(instance, timeout)

    def kill(self, name: str) -> None:
        """
        Send SIGKILL to a process and wait until the process has ended.

        """
        process = self.processes.pop(name)
        process.kill()
        process.wait()

    def stop(self, name: str, timeout: float = STOP_TIMEOUT_S) -> int:
        """
        Send SIGTERM to a process, wait until the process has ended and return the exit status.

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
        Kill every process of the fleet and release the fleet's addresses.

        """
        for process in self.processes.values():
            process.send_signal(signal.SIGCONT)
            process.kill()
        for process in self.processes.values():
            process.wait()
        self.processes.clear()
        self.address_guard.close()

    # Waiting.

    def wait_http(
        self, name: str, host: str, port: int, path: str, timeout: float = 30, status: int = 200
    ) -> None:
        """
        Wait until a GET of `path` is answered with `status`.

        :raises FleetError: if the process `name` ends or the timeout passes.

        """
        deadline = time.monotonic() + timeout
        while time.monotonic() < deadline:
            process = self.processes.get(name)
            if process is not None and process.poll() is not None:
                raise FleetError(f'{name} ended: {self.read_log_tail(name)}')
            try:
                if fetch('GET', host, port, path).status == status:
                    return
            except OSError:
                pass
            time.sleep(POLL_S)
        raise FleetError(f'{name} is not ready after {timeout} s: {self.read_log_tail(name)}')

    def wait_ready(self, instance: Instance, timeout: float = 30) -> None:
        self.wait_http(instance.name, instance.host, ADMIN_PORT, '/readyz', timeout)

    def read_log_tail(self, name: str) -> str:
        path = self.folder / name / 'log'
        return path.read_text()[-2000:] if path.exists() else ''

    # Declarations.

    def organisations_declaration(self) -> dict[str, Any]:
        """
        Build the declaration of all organisations of the shape with this fleet's tokens.

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
        Build the declaration of a deployment on all engines for the first organisation.

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

    def run_millfork(self, *arguments: str) -> subprocess.CompletedProcess[str]:
        """
        Run the command `millfork` against this fleet with the administrator's token.

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
        Apply a declaration through randomly chosen entries and return the revision. All attempts
        carry the same command id, so that a resent declaration is applied once.

        :raises FleetError: if no entry accepts the declaration in time.

        """
        body = {'declaration': declaration, 'command_id': secrets.token_hex(16)}
        data = json.dumps(body).encode()
        headers = {'authorization': f'Bearer {self.admin_token}'}
        deadline = time.monotonic() + timeout
        last_error = ''
        while time.monotonic() < deadline:
            entry = random.choice([e for e in self.entries if e.name in self.processes])
            try:
                answer = fetch(
                    'POST',
                    entry.host,
                    CALLERS_PORT,
                    APPLY_PATH,
                    data,
                    headers,
                    APPLY_ATTEMPT_TIMEOUT_S,
                )
            except OSError as error:
                last_error = str(error)
                continue
            if answer.status == 200:
                return int(answer.json()['revision'])
            last_error = answer.body.decode()
        raise FleetError(f'not applied within {timeout} s: {last_error}')

    def origin_stats(self) -> dict[str, Any]:
        stats: dict[str, Any] = fetch_json('GET', self.origin['host'], STANDIN_PORT, '/stats')
        return stats

    def control_origin(self, **settings: Any) -> None:
        fetch_json('POST', self.origin['host'], STANDIN_PORT, '/control', settings)

    def cut(self, *pairs: tuple[int, int]) -> None:
        """
        Cut the links between these pairs of zones (numbered from 1) and restore all other cut
        links.

        """
        self._control_relay('cut', pairs)

    def freeze_links(self, *pairs: tuple[int, int]) -> None:
        """
        Stop the traffic between these pairs of zones, with the connections left open, and let the
        traffic flow again on all other frozen links.

        """
        self._control_relay('freeze', pairs)

    def _control_relay(self, kind: str, pairs: tuple[tuple[int, int], ...]) -> None:
        text = ','.join(f'{first}-{second}' for first, second in pairs)
        fetch('POST', self.relay['host'], STANDIN_PORT, f'/{kind}/{text}')


def _hash(token: str) -> str:
    return hashlib.sha256(token.encode()).hexdigest()
