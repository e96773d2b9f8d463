"""
The accepted configuration, typed: what the keys of the state hold.

Keys are paths: `organisations/ORG`, `labels/ORG/INSTANCE`,
`deployments/ORG/NAME`, `drains/INSTANCE`.

"""

from dataclasses import dataclass, field
from typing import Any, Final, TypeVar

import msgspec

from millfork_core.ids import Digest, InstanceId, ServiceName, ZoneId

ORGANISATIONS: Final = 'organisations/'
LABELS: Final = 'labels/'
DEPLOYMENTS: Final = 'deployments/'
DRAINS: Final = 'drains/'

Value = TypeVar('Value')


@dataclass(frozen=True, slots=True)
class Organisation:
    """
    An organisation's token hashes (SHA-256, hex), services and share.

    """

    caller_tokens: list[str] = field(default_factory=list)
    operator_tokens: list[str] = field(default_factory=list)
    services: list[ServiceName] = field(default_factory=list)
    share: int = 1


@dataclass(frozen=True, slots=True)
class WeightPart:
    """
    A base model or adapter at a version, pinned by its manifest's digest.

    """

    name: str
    version: str
    manifest: Digest


@dataclass(frozen=True, slots=True)
class Deployment:
    """
    Weights (base first, then adapters) and the instances to serve them.

    """

    parts: list[WeightPart]
    selector: dict[str, str | list[str]]

    @property
    def version(self) -> str:
        """
        The id of exactly these weights, as engines and answers name it.

        """
        return '+'.join(part.manifest[:16] for part in self.parts)


@dataclass(frozen=True, slots=True)
class InstanceFacts:
    """
    What the platform says of an instance.

    """

    instance: InstanceId
    host: str
    port: int
    zone: ZoneId
    region: str
    role: str
    service: ServiceName
    leaving: bool = False

    def facts(self) -> dict[str, str]:
        return {
            'instance': self.instance,
            'zone': self.zone,
            'region': self.region,
            'service': self.service,
        }


def encode(value: Any) -> bytes:
    return msgspec.json.encode(value)


def decode(value: bytes, kind: type[Value]) -> Value:
    """
    A value of the state as its type.

    :raises msgspec.ValidationError: if it is none.

    """
    return msgspec.json.decode(value, type=kind)


def matches(selector: dict[str, str | list[str]], labels: dict[str, str]) -> bool:
    """
    Whether labels meet every term; a list is a choice of values.

    """
    for key, wanted in selector.items():
        choices = [wanted] if isinstance(wanted, str) else wanted
        if labels.get(key) not in choices:
            return False
    return True
