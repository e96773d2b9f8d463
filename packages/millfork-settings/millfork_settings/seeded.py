"""
The settings of a daemon that finds the others from seeds.

Nothing lists the instances of such a fleet: a daemon is given the addresses
of up to three replicas and learns the rest from them.

"""

import math
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from ipaddress import IPv4Address
from pathlib import Path
from typing import Annotated, Any, Final, Self

from pydantic import BaseModel, ConfigDict, Field, PrivateAttr, model_validator
from pydantic.fields import FieldInfo

from millfork_settings.common import Port, StateSettings, StrictModel

# A day: no bound of a fleet is longer, and in ms it fits the messages' 32 bits.
MAX_DURATION_S: Final = 86_400
MAX_DURATION_MS: Final = 1000 * MAX_DURATION_S

Socket = Annotated[str, Field(pattern=r'^[0-9.]+:[0-9]+$')]


class SeededRole(Enum):
    """
    What a seeded daemon does.

    """

    ENTRY = 'entry'
    REPLICA = 'replica'
    ENDPOINT = 'endpoint'


def socket_pair(socket: str) -> tuple[str, int]:
    """
    Host and port of `HOST:PORT`.

    """
    host, _, port = socket.rpartition(':')
    return host, int(port)


class SeededPorts(StrictModel):
    """
    Ports at the daemon's own address.

    """

    wire: Port = Field(description="Port for millfork's own processes, the same on all instances.")
    admin: Port = Field(9400, description='Port for metrics, liveness and readiness.')


class Listen(StrictModel):
    """
    Where others than millfork's own processes reach the daemon.

    """

    callers: Socket | None = Field(None, description='For callers (entry).')
    ready: Socket | None = Field(None, description="For the balancer's question (entry).")
    control: Socket | None = Field(None, description='For back ends and operators (replica).')


class BesideSettings(StrictModel):
    """
    The engine beside an endpoint daemon.

    """

    address: Socket = Field(description='Where it listens.')
    service: str = Field(description='The service it belongs to.')


@dataclass(frozen=True, slots=True)
class ReplacedValue:
    """
    A figure that could not be used as it was given, and what serves instead.

    """

    key: str
    given: str
    used: float


class PromiseSettings(StrictModel):
    """
    Bounds that the platform holds the fleet to.

    The platform fills them in, so none that it gives stops a daemon: what is beyond the
    limits is brought within them, and where no number is given the default serves; `replaced`
    tells of both. Left out of the file, a figure that the role needs is an error.

    """

    heartbeat_ms: float = Field(
        1200, ge=10, le=MAX_DURATION_MS, description='Time between heartbeats of a back end.'
    )
    grace_s: float = Field(
        8, ge=0, le=MAX_DURATION_S, description='Time from SIGTERM to the end, in seconds.'
    )
    retry_ratio: float = Field(
        0.2, ge=0, le=1000, description='Repeats per request that all may send.'
    )
    retry_window_s: float = Field(
        10, ge=0.01, le=3600, description='The window of that ratio, in seconds.'
    )
    retry_slack: float = Field(
        100, ge=0, le=1e9, description='Repeats always allowed in a window, for all.'
    )
    version_ms: float = Field(
        8000,
        ge=0,
        le=MAX_DURATION_MS,
        description='Nothing begins on older weights this long after a new version.',
    )
    transfer_mbps: float = Field(
        0, ge=0, le=1e9, description="The link's rate in Mbit/s; 0: not limited."
    )
    _replaced: tuple[ReplacedValue, ...] = PrivateAttr(())

    @property
    def replaced(self) -> tuple[ReplacedValue, ...]:
        return self._replaced

    @model_validator(mode='wrap')
    @classmethod
    def replace_unusable_values(cls, values: Any, handler: Callable[[Any], Self]) -> Self:
        if not isinstance(values, dict):
            return handler(values)
        used = {**values}
        replaced = []
        for name, info in cls.model_fields.items():
            if name not in values:
                continue
            used[name] = _usable_value(values[name], info)
            if used[name] != _number(values[name]):
                replaced.append(ReplacedValue(f'promises.{name}', str(values[name]), used[name]))
        made = handler(used)
        made._replaced = tuple(replaced)
        return made


def _usable_value(value: object, info: FieldInfo) -> float:
    """
    The number given, brought within the limits of its setting; its default if none is.

    """
    number = _number(value)
    if number is None:
        return float(info.default)
    return min(max(number, bound_of(info, 'ge')), bound_of(info, 'le'))


def bound_of(info: FieldInfo, side: str) -> float:
    """
    The least (`ge`) or the most (`le`) that a promise may be.

    """
    return next(float(getattr(item, side)) for item in info.metadata if hasattr(item, side))


def _number(value: object) -> float | None:
    """
    A number as YAML gives it; it takes `1e+22` for a text.

    """
    if isinstance(value, bool) or not isinstance(value, int | float | str):
        return None
    try:
        # By way of a text, as an integer may be beyond all floats.
        number = float(str(value))
    except ValueError:
        return None
    return None if math.isnan(number) else number


# The promises that the code of each role reads; a default that stood in for one of them
# ended versions 2 s before their time on a whole fleet.
REQUIRED_PROMISES: Final = {
    SeededRole.ENTRY: (
        'heartbeat_ms',
        'grace_s',
        'retry_ratio',
        'retry_window_s',
        'retry_slack',
        'version_ms',
    ),
    SeededRole.REPLICA: ('heartbeat_ms', 'version_ms'),
    SeededRole.ENDPOINT: ('heartbeat_ms', 'version_ms', 'transfer_mbps'),
}


class SeededSettings(BaseModel):
    """
    The settings file of a seeded `millforkd`. Unknown keys are passed over,
    as the platform that writes it may know more than this version.

    """

    model_config = ConfigDict(extra='ignore')

    instance: str = Field(description='Id of this instance: `ADDRESS:WIRE_PORT`.')
    name: str = Field('', description='Its name in logs.')
    zone: str = Field(description='Its availability zone.')
    region: str = Field('', description='Its region.')
    role: SeededRole = Field(description='`entry`, `replica` or `endpoint`.')
    address: IPv4Address = Field(description='Its own address.')
    ports: SeededPorts = Field(description='Its ports.')
    listen: Listen = Field(default_factory=Listen, description='Sockets for others.')
    seeds: list[Socket] = Field(
        description='Up to three replicas; their host counts, the port is the wire port.'
    )
    first_start: bool = Field(
        False, description='Whether this is the first start of the fleet, on empty disks.'
    )
    fleet_key_file: Path | None = Field(
        None, description='File with the key that proves peers; none: the network is private.'
    )
    data_folder: Path | None = Field(None, description='Folder for all files (replica).')
    log_level: str = Field(
        'INFO', pattern='^(DEBUG|INFO|NOTICE|WARNING|ERROR)$', description='Lowest level logged.'
    )
    state: StateSettings = Field(default_factory=StateSettings, description='Replicated state.')
    promises: PromiseSettings = Field(
        default_factory=PromiseSettings,
        description='Bounds to be kept; those that the role reads are required.',
    )
    beside: BesideSettings | None = Field(None, description='The engine beside an endpoint.')

    @property
    def seed_instances(self) -> list[str]:
        """
        The ids of the seeds.

        """
        return [f'{socket_pair(seed)[0]}:{self.ports.wire}' for seed in self.seeds]

    @model_validator(mode='after')
    def check_role(self) -> Self:
        if self.role is SeededRole.ENTRY and self.listen.callers is None:
            raise ValueError('role entry needs listen.callers')
        if self.role is SeededRole.REPLICA and self.listen.control is None:
            raise ValueError('role replica needs listen.control')
        if self.role is SeededRole.REPLICA and self.data_folder is None:
            raise ValueError('role replica needs data_folder')
        if self.role is SeededRole.ENDPOINT and self.beside is None:
            raise ValueError('role endpoint needs beside')
        missing = [
            f'promises.{name}'
            for name in REQUIRED_PROMISES[self.role]
            if name not in self.promises.model_fields_set
        ]
        if missing:
            raise ValueError(f'role {self.role.value} needs {", ".join(missing)}')
        return self
