"""
The settings of a daemon of a listed fleet. `docs/SETTINGS.md` is generated from these models.

"""

from enum import Enum
from ipaddress import IPv4Address
from pathlib import Path
from typing import Self

from pydantic import Field, model_validator

from millfork_settings.common import Name, Port, StateSettings, StrictModel


class Role(Enum):
    """
    The role of a daemon of a listed fleet.

    """

    ENTRY = 'entry'
    ENDPOINT = 'endpoint'


class BackendKind(Enum):
    """
    Whether the back end of an endpoint is an engine (a model server) or a plain service.

    """

    ENGINE = 'engine'
    PLAIN = 'plain'


class Address(StrictModel):
    """
    An IP address and port.

    """

    host: IPv4Address = Field(description='IPv4 address.')
    port: Port = Field(description='TCP port.')

    @property
    def pair(self) -> tuple[str, int]:
        return str(self.host), self.port


class Ports(StrictModel):
    """
    The ports on which a daemon listens at its address.

    """

    wire: Port = Field(7400, description="Port for millfork's own processes.")
    callers: Port = Field(8080, description='Port for callers and operators (entry only).')
    admin: Port = Field(9400, description='Port for metrics, liveness and readiness.')


class ReplicaAddress(StrictModel):
    """
    The address of an instance that holds a replica of the state.

    """

    instance: Name = Field(description='Id of the instance.')
    host: IPv4Address = Field(description='Its address.')
    port: Port = Field(7400, description='Its wire port.')


class LinkSettings(StrictModel):
    """
    Settings of the instance's network link.

    """

    bytes_per_s: int = Field(1_250_000_000, ge=1000, description='Rate of the link, in bytes/s.')
    transfer_share: float = Field(
        0.9, gt=0, le=1, description='Share of the link that weight transfers may use.'
    )
    both_directions_together: bool = Field(
        False, description='Whether bytes in and out share the one rate.'
    )


class WeightSettings(StrictModel):
    """
    Settings of how weights are fetched from the origin and distributed among instances.

    """

    origin: Address | None = Field(None, description='The origin of weights.')
    origin_copies: int = Field(
        1, ge=1, le=4, description='Copies that a fleet may fetch from the origin at once.'
    )
    stripes: int = Field(4, ge=1, le=16, description='Distribution trees per version.')
    window: int = Field(4, ge=1, le=64, description='Chunk requests in flight per stripe.')
    stall_ms: int = Field(
        2000,
        ge=50,
        description='Silence after which a chunk is requested from another source, in ms.',
    )


class BackendSettings(StrictModel):
    """
    Settings of the engine or plain service behind an endpoint.

    """

    kind: BackendKind = Field(description='`engine` or `plain`.')
    service: Name = Field(description='The service this endpoint belongs to.')
    address: Address = Field(description='Address that it listens on.')
    slots: int = Field(8, ge=1, description='Requests that it runs at once.')
    queue: int = Field(64, ge=0, description='Requests that may wait for a slot.')
    coalesce_ms: int = Field(
        20,
        ge=0,
        le=60,
        description='Time for which tokens of a stream are collected before they are sent, in ms.',
    )
    refuses_old_orders: bool = Field(
        True, description='Whether the engine refuses an order with an old fencing number.'
    )


class RoutingSettings(StrictModel):
    """
    Settings of deadlines, retries and limits of requests.

    """

    request_timeout_ms: int = Field(30_000, ge=100, description='Deadline of a request, in ms.')
    reserve_timeout_ms: int = Field(
        1000, ge=10, description='Wait for an endpoint before another is tried, in ms.'
    )
    retry_ratio: float = Field(
        0.1, ge=0, le=1, description='Retries per request that the budget allows.'
    )
    retry_floor: int = Field(
        10, ge=0, description='Retries allowed in ten seconds whatever the ratio.'
    )
    subset: int = Field(32, ge=1, description='Endpoints of a service that one entry uses.')
    organisation_slots: int = Field(
        256, ge=1, description='Requests in progress for one organisation on one entry.'
    )
    drain_ms: int = Field(
        30_000, ge=0, description='Time for requests in progress to end in a planned stop, in ms.'
    )


class Settings(StrictModel):
    """
    The content of a settings file of `millforkd` in a listed fleet.

    """

    instance: Name = Field(description='Id of this instance.')
    zone: Name = Field(description='Its availability zone.')
    region: Name = Field(description='Its region.')
    role: Role = Field(description='`entry` or `endpoint`.')
    address: IPv4Address = Field(description='Its own address.')
    ports: Ports = Field(default_factory=Ports, description='Its ports.')
    fleet_key_file: Path = Field(description='File with the key that authenticates peers.')
    admin_token_file: Path | None = Field(
        None, description="File with the fleet administrator's token (entry only)."
    )
    data_folder: Path | None = Field(
        None, description='Folder for all files; needed for a replica and for an engine endpoint.'
    )
    replicas: list[ReplicaAddress] = Field(
        min_length=1, description='The instances that hold the replicated state.'
    )
    platform: Address = Field(description="Address of the platform's instance list.")
    via: Address | None = Field(None, description='HTTP CONNECT proxy to reach peers through.')
    log_level: str = Field(
        'INFO', pattern='^(DEBUG|INFO|NOTICE|WARNING|ERROR)$', description='Lowest level logged.'
    )
    state: StateSettings = Field(default_factory=StateSettings, description='Replicated state.')
    link: LinkSettings = Field(default_factory=LinkSettings, description='Network link.')
    weights: WeightSettings = Field(default_factory=WeightSettings, description='Weights.')
    routing: RoutingSettings = Field(default_factory=RoutingSettings, description='Routing.')
    backend: BackendSettings | None = Field(None, description='The back end of an endpoint.')

    @property
    def is_replica(self) -> bool:
        return any(replica.instance == self.instance for replica in self.replicas)

    @model_validator(mode='after')
    def check_role(self) -> Self:
        if self.role is Role.ENDPOINT and self.backend is None:
            raise ValueError('role endpoint needs backend')
        if self.role is Role.ENTRY and self.backend is not None:
            raise ValueError('role entry takes no backend')
        if self.is_replica and self.data_folder is None:
            raise ValueError('a replica needs data_folder')
        if self.is_replica and self.role is not Role.ENTRY:
            raise ValueError('only an entry can be a replica')
        engine = self.backend is not None and self.backend.kind is BackendKind.ENGINE
        if engine and (self.data_folder is None or self.weights.origin is None):
            raise ValueError('an engine endpoint needs data_folder and weights.origin')
        return self
