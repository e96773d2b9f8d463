"""
Keys of the configuration of listed fleets (whose instances the platform lists), and the types of
the values.

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
    An organisation's token hashes (SHA-256, hex), services, and weight in fair queues (`share`).

    """

    caller_tokens: list[str] = field(default_factory=list)
    operator_tokens: list[str] = field(default_factory=list)
    services: list[ServiceName] = field(default_factory=list)
    share: int = 1


@dataclass(frozen=True, slots=True)
class WeightPart:
    """
    One version of a base model or adapter. `manifest` is the digest of the version's manifest.

    """

    name: str
    version: str
    manifest: Digest


@dataclass(frozen=True, slots=True)
class Deployment:
    """
    Weights (base model first, then adapters) and the selector of the instances that serve them.

    """

    parts: list[WeightPart]
    selector: dict[str, str | list[str]]

    @property
    def version(self) -> str:
        """
        The id of this combination of weights: the first 16 characters of the digest of each part's
        manifest, joined by '+'. Engines report the id, and answers to callers contain it.

        """
        return '+'.join(part.manifest[:16] for part in self.parts)


@dataclass(frozen=True, slots=True)
class InstanceFacts:
    """
    An instance as the platform's list of instances describes it.

    """

    instance: InstanceId
    host: str
    port: int
    zone: ZoneId
    region: str
    role: str
    service: ServiceName
    leaving: bool = False

    def to_labels(self) -> dict[str, str]:
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
    Decode a value of the configuration.

    :raises msgspec.ValidationError: if the value isn't of type `kind`.

    """
    return msgspec.json.decode(value, type=kind)


def matches(selector: dict[str, str | list[str]], labels: dict[str, str]) -> bool:
    """
    Whether the labels match the selector: for each key of the selector, the label has the required
    value, or one of the required list of values.

    """
    for key, required in selector.items():
        allowed = [required] if isinstance(required, str) else required
        if labels.get(key) not in allowed:
            return False
    return True
