"""
A fleet's addresses and instances, and the settings of each daemon.

"""

import secrets
import socket
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, Final

import yaml

from millfork_standins.deployments import Shape

WIRE_PORT: Final = 7400
CALLERS_PORT: Final = 8080
ADMIN_PORT: Final = 9400
BACKEND_PORT: Final = 8000
STANDIN_PORT: Final = 8500
# Third octet of the stand-ins' addresses; in the addresses of instances, the third octet is the
# number of the zone.
STANDIN_ZONE: Final = 250
# The second octet of a fleet's addresses is below this number.
NETWORK_NUMBER_LIMIT: Final = 250
# Last octet of the address of the first endpoint in each zone; the first entry of a zone has 1.
FIRST_ENDPOINT_NUMBER: Final = 100


class FleetError(Exception):
    """
    A process of the fleet ended unexpectedly, or an operation failed or timed out.

    """


@dataclass(slots=True)
class Instance:
    """
    One instance; `settings` override the generated settings of its daemon.

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
    Options that differ between fleets: sizes in bytes, rates in bytes/s. `versions` has the
    settings of the versions at the origin (empty: v1 and v2). `engine` and `service` are settings
    of the back ends, the other dictionaries are sections of the daemons' settings.

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


class Layout:
    """
    The instances of one fleet, its tokens and keys, and its settings files.

    """

    def __init__(self, shape: Shape, folder: Path, options: FleetOptions) -> None:
        self.shape = shape
        self.network_number, self.address_guard = _reserve_network_number(shape.network_number)
        self.folder = folder
        self.options = options
        self.instances: dict[str, Instance] = {}
        self.admin_token = secrets.token_hex(16)
        self.caller_tokens = {name: secrets.token_hex(16) for name in shape.organisations}
        self.operator_tokens = {name: secrets.token_hex(16) for name in shape.organisations}
        folder.mkdir(parents=True, exist_ok=True)
        (folder / 'fleet_key').write_text(secrets.token_hex(32))
        (folder / 'admin_token').write_text(self.admin_token)
        for name, token in self.operator_tokens.items():
            (folder / f'operator_token.{name}').write_text(token)
        self._add_instances()

    # Addresses and instances.

    def _host(self, zone: int, number: int) -> str:
        return f'127.{self.network_number}.{zone}.{number}'

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

    def _add_instances(self) -> None:
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
        zone_count = len(self.shape.zone_locations)
        location = self.shape.zone_locations[position % zone_count]
        first = 1 if role == 'entry' else FIRST_ENDPOINT_NUMBER
        host = self._host(position % zone_count + 1, first + position // zone_count)
        instance = Instance(
            name, host, location.zone, location.region, role, service, {}, has_disk=has_disk
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

    def build_settings(self, instance: Instance) -> dict[str, Any]:
        """
        Build the settings of an instance's daemon.

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

    def execution_log_path(self, name: str) -> Path:
        return self.folder / name / 'executions.jsonl'

    def write_settings(self, name: str, settings: dict[str, Any]) -> Path:
        folder = self.folder / name
        folder.mkdir(parents=True, exist_ok=True)
        path = folder / 'settings.yaml'
        path.write_text(yaml.safe_dump(settings, sort_keys=False))
        return path


def _reserve_network_number(first: int) -> tuple[int, socket.socket]:
    """
    Return a free second octet (at least `first`) for the fleet's addresses, and a bound socket. The
    socket must stay open while the fleet exists, so that other fleets choose other octets.

    """
    for number in range(first, NETWORK_NUMBER_LIMIT):
        address_guard = socket.socket()
        try:
            address_guard.bind((f'127.{number}.{STANDIN_ZONE}.254', STANDIN_PORT))
        except OSError:
            address_guard.close()
            continue
        return number, address_guard
    raise FleetError('all loopback networks for fleets are in use')
