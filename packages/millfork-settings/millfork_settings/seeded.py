"""
The settings of a daemon of a seeded fleet.

No platform lists the instances of a seeded fleet. The settings of a daemon hold the addresses of
up to three replicas (the seeds), from which the daemon learns the other addresses.

"""

import math
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from ipaddress import IPv4Address
from itertools import chain
from pathlib import Path
from typing import Annotated, Any, Final, Self

from pydantic import BaseModel, ConfigDict, Field, PrivateAttr, model_validator
from pydantic.fields import FieldInfo

from millfork_core.ids import RegionId, ZoneId
from millfork_settings.common import Port, StateSettings, StrictModel

# The largest duration that a setting in `PromiseSettings` may have: one day, which in
# milliseconds fits the 32-bit fields of messages.
MAX_DURATION_S: Final = 86_400
MAX_DURATION_MS: Final = 1000 * MAX_DURATION_S

HostPort = Annotated[str, Field(pattern=r'^[0-9.]+:[0-9]+$')]


class SeededRole(Enum):
    """
    The role of a daemon of a seeded fleet.

    """

    ENTRY = 'entry'
    REPLICA = 'replica'
    ENDPOINT = 'endpoint'


def split_host_port(text: str) -> tuple[str, int]:
    """
    Split `HOST:PORT` into host and port.

    """
    host, _, port = text.rpartition(':')
    return host, int(port)


class SeededPorts(StrictModel):
    """
    The ports on which a daemon listens at its address.

    """

    wire: Port = Field(description="Port for millfork's own processes, the same on all instances.")
    admin: Port = Field(9400, description='Port for metrics, liveness and readiness.')


class Listen(StrictModel):
    """
    The sockets on which a daemon listens for processes that aren't part of millfork.

    """

    callers: HostPort | None = Field(None, description='For callers (entry).')
    ready: HostPort | None = Field(
        None, description="For the load balancer's readiness check (entry)."
    )
    control: HostPort | None = Field(None, description='For back ends and operators (replica).')


class BesideSettings(StrictModel):
    """
    The engine that runs on the same instance as an endpoint daemon.

    """

    address: HostPort = Field(description='Socket that it listens on.')
    service: str = Field(description='The service it belongs to.')


@dataclass(frozen=True, slots=True)
class ReplacedValue:
    """
    A setting whose value could not be used as given, and the number used instead.

    """

    key: str
    given: str
    used: float


class PromiseSettings(StrictModel):
    """
    The promises: bounds that the fleet keeps towards the platform.

    The platform fills in the values, so no value may prevent a daemon from starting: a number
    outside the limits of its setting is clamped, and any other value is replaced by the default.
    `replaced` lists the values changed in these ways. A promise that the daemon's role needs
    must be in the settings file (see `REQUIRED_PROMISES`).

    """

    heartbeat_ms: float = Field(
        1200, ge=10, le=MAX_DURATION_MS, description='Time between heartbeats of a back end.'
    )
    grace_s: float = Field(
        8,
        ge=0,
        le=MAX_DURATION_S,
        description='Time from SIGTERM to the end of the daemon, in seconds.',
    )
    retry_ratio: float = Field(
        0.2, ge=0, le=1000, description='Repeats per request that all entries together may send.'
    )
    retry_window_s: float = Field(
        10, ge=0.01, le=3600, description='Window that `retry_ratio` is measured over, in seconds.'
    )
    retry_slack: float = Field(
        100,
        ge=0,
        le=1e9,
        description='Repeats that all entries together may send in a window, beyond the ratio.',
    )
    version_ms: float = Field(
        8000,
        ge=0,
        le=MAX_DURATION_MS,
        description='Time after a new version from which no request begins on older weights.',
    )
    config_apply_ms: float = Field(
        2000,
        ge=0,
        le=MAX_DURATION_MS,
        description='Time after the acknowledgement of a document from which it is in force.',
    )
    transfer_mbps: float = Field(
        0, ge=0, le=1e9, description='Rate of the link, in Mbit/s; 0: unlimited.'
    )
    cold_over: float = Field(
        1,
        ge=0,
        le=1000,
        description='How many times the requests that its service names a cold back end may get.',
    )
    cold_slack: float = Field(
        0,
        ge=0,
        le=1e6,
        description='Requests that a cold back end may get within a second, beyond `cold_over`.',
    )
    _replaced: tuple[ReplacedValue, ...] = PrivateAttr(())

    @property
    def replaced(self) -> tuple[ReplacedValue, ...]:
        return self._replaced

    @model_validator(mode='wrap')
    @classmethod
    def replace_unusable_values(cls, given: Any, handler: Callable[[Any], Self]) -> Self:
        if not isinstance(given, dict):
            return handler(given)
        usable = {**given}
        replaced = []
        for name, info in cls.model_fields.items():
            if name not in given:
                continue
            if given[name] is None and name in chain(*OPTIONAL_PROMISES.values()):
                del usable[name]
                continue
            usable[name] = _usable_value(given[name], info)
            if usable[name] != _number(given[name]):
                replaced.append(ReplacedValue(f'promises.{name}', str(given[name]), usable[name]))
        settings = handler(usable)
        settings._replaced = tuple(replaced)
        return settings


def _usable_value(value: object, info: FieldInfo) -> float:
    """
    Return the value clamped to the limits of its setting, or the setting's default if the value
    isn't a number.

    """
    number = _number(value)
    if number is None:
        return float(info.default)
    return min(max(number, bound_of(info, 'ge')), bound_of(info, 'le'))


def bound_of(info: FieldInfo, side: str) -> float:
    """
    Return the lower (`ge`) or upper (`le`) limit of a setting.

    """
    return next(float(getattr(item, side)) for item in info.metadata if hasattr(item, side))


def _number(value: object) -> float | None:
    """
    Return the value as a number; None if it is a boolean, NaN or no number. Strings are converted
    too, as YAML reads `1e+22` as a string.

    """
    if isinstance(value, bool) or not isinstance(value, int | float | str):
        return None
    try:
        # Converted through a string, an integer beyond the range of floats becomes infinity.
        number = float(str(value))
    except ValueError:
        return None
    return None if math.isnan(number) else number


# The promises that the code of a role reads and that only some deployments make: an empty value
# stands for the default.
OPTIONAL_PROMISES: Final = {SeededRole.ENTRY: ('cold_over', 'cold_slack')}
# The promises that the code of each role reads and that the settings file of the role must contain.
# When a missing promise got its default, an entire fleet stopped using old versions 2 s too early.
REQUIRED_PROMISES: Final = {
    SeededRole.ENTRY: (
        'heartbeat_ms',
        'grace_s',
        'retry_ratio',
        'retry_window_s',
        'retry_slack',
        'version_ms',
        'config_apply_ms',
    ),
    SeededRole.REPLICA: ('heartbeat_ms', 'version_ms'),
    SeededRole.ENDPOINT: ('heartbeat_ms', 'version_ms', 'transfer_mbps'),
}


class SeededWeightsSettings(StrictModel):
    """
    How entries keep weights for the engines of their zones.

    """

    ahead_min_copy_s: float | None = Field(
        None,
        ge=0,
        description='The caches of a zone keep a copy before engines ask for it if the origin '
        'needs this many seconds or longer for one copy; none: never.',
    )


class SlowAnswerSettings(StrictModel):
    """
    Second attempts beside slow ones.

    """

    extra_share: float = Field(
        0,
        ge=0,
        le=0.2,
        description='Second attempts as a share of the requests of a route that may be repeated, '
        'for all entries together; 0: none.',
    )
    min_delay_ms: float = Field(
        100, ge=0, le=MAX_DURATION_MS, description='No second attempt is sent sooner than this.'
    )


class SeededSettings(BaseModel):
    """
    The content of a settings file of `millforkd` in a seeded fleet. Unknown keys are ignored, as
    the platform that writes the file may be newer than the daemon.

    """

    model_config = ConfigDict(extra='ignore')

    instance: str = Field(description='Id of this instance: `ADDRESS:WIRE_PORT`.')
    name: str = Field('', description='Its name in logs.')
    zone: str = Field(description='Its availability zone.')
    region: str = Field('', description='Its region.')
    zones: dict[str, str] | None = Field(
        None, description='Regions of the availability zones of the fleet, by zone.'
    )
    role: SeededRole = Field(description='`entry`, `replica` or `endpoint`.')
    address: IPv4Address = Field(description='Its own address.')
    ports: SeededPorts = Field(description='Its ports.')
    listen: Listen = Field(
        default_factory=Listen, description='Sockets for other processes than millfork.'
    )
    seeds: list[HostPort] = Field(
        description='Up to three replicas. Only the host is used; the port is the wire port.'
    )
    first_start: bool = Field(
        False, description='Whether this is the first start of the fleet, on empty disks.'
    )
    fleet_key_file: Path | None = Field(
        None,
        description='File with the key that authenticates peers; none: the network is private.',
    )
    data_folder: Path | None = Field(None, description='Folder for all files (replica).')
    log_level: str = Field(
        'INFO', pattern='^(DEBUG|INFO|NOTICE|WARNING|ERROR)$', description='Lowest level logged.'
    )
    state: StateSettings = Field(default_factory=StateSettings, description='Replicated state.')
    promises: PromiseSettings = Field(
        default_factory=PromiseSettings,
        description='Bounds that the fleet keeps; those that the role uses are required.',
    )
    weights: SeededWeightsSettings = Field(
        default_factory=SeededWeightsSettings, description='Copies of weights (entry).'
    )
    slow_answers: SlowAnswerSettings = Field(
        default_factory=SlowAnswerSettings, description='Second attempts beside slow ones (entry).'
    )
    beside: BesideSettings | None = Field(None, description='The engine of an endpoint.')

    @property
    def regions_by_zone(self) -> dict[ZoneId, RegionId]:
        """
        The regions of the availability zones of the fleet, this daemon's own zone included.

        """
        regions = {ZoneId(zone): RegionId(region) for zone, region in (self.zones or {}).items()}
        if self.region:
            regions.setdefault(ZoneId(self.zone), RegionId(self.region))
        return regions

    @property
    def seed_instances(self) -> list[str]:
        """
        The instance ids of the seeds: their hosts with this daemon's wire port.

        """
        return [f'{split_host_port(seed)[0]}:{self.ports.wire}' for seed in self.seeds]

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
