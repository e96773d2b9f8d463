"""
Settings of the stand-ins.

"""

from pathlib import Path

from pydantic import Field

from millfork_settings.common import StrictModel
from millfork_settings.models import Address


class EngineSettings(StrictModel):
    """
    A model engine.

    """

    listen: Address
    log: Path
    slots: int = Field(4, ge=1)
    first_token_ms: float = 20
    cached_first_token_ms: float = 5
    token_ms: float = 2
    load_s: float = 0.1
    refuses_old_orders: bool = True
    cached_prefixes: int = 64
    load_lag_ms: float = 200
    event_lag_ms: float = 500
    event_gap_share: float = 0.1
    # How long it works on a request that ends it, and how long after its connections its
    # address closes then.
    crash_after_ms: float = 200
    closes_after_ms: float = 0


class ServiceSettings(StrictModel):
    """
    A plain service.

    """

    listen: Address
    log: Path
    answer_ms: float = 5
    # Answers at once that it takes nothing, without a word for how long.
    turns_away: bool = False


class VersionSettings(StrictModel):
    """
    One version that the origin has; `kept` is the share of its bytes that
    are those of `base`, another version of the same model.

    """

    name: str
    version: str
    size: int = Field(gt=0)
    seed: int = 0
    base: str = ''
    kept: float = 0.0


class OriginSettings(StrictModel):
    """
    The origin of weights.

    """

    listen: Address
    bytes_per_s: float
    chunk_bytes: int
    versions: list[VersionSettings]


class PlatformSettings(StrictModel):
    """
    The platform's instance list.

    """

    listen: Address
    lag_ms: float = 0


class RelaySettings(StrictModel):
    """
    A proxy between zones that can cut them; it knows an address's zone by
    its third number.

    """

    listen: Address
