"""
Settings of the stand-ins.

"""

from pathlib import Path

from pydantic import Field

from millfork_settings.common import StrictModel
from millfork_settings.models import Address


class EngineSettings(StrictModel):
    """
    Settings of a model engine.

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
    # Share of the cache events that are never published.
    event_gap_share: float = 0.1
    # Milliseconds from the start of a crashing request to the crash, and from the close of the
    # engine's connections to the end of the process, which closes the listening address (0: the
    # connections and the address close together).
    crash_after_ms: float = 200
    closes_after_ms: float = 0


class ServiceSettings(StrictModel):
    """
    Settings of a plain service.

    """

    listen: Address
    log: Path
    answer_ms: float = 5
    # Whether all requests are answered with 503 immediately, without a retry-after time.
    turns_away: bool = False


class VersionSettings(StrictModel):
    """
    One version at the origin, with bytes generated from `seed`. The version begins with the share
    `kept` of the bytes of `base`, another version of the same model (empty: no base).

    """

    name: str
    version: str
    size: int = Field(gt=0)
    seed: int = 0
    base: str = ''
    kept: float = 0.0


class OriginSettings(StrictModel):
    """
    Settings of the origin of weights.

    """

    listen: Address
    bytes_per_s: float
    chunk_bytes: int
    versions: list[VersionSettings]


class PlatformSettings(StrictModel):
    """
    Settings of the platform's instance list.

    """

    listen: Address
    lag_ms: float = 0


class RelaySettings(StrictModel):
    """
    Settings of the relay, the proxy between zones. The third octet of an address is its zone
    number.

    """

    listen: Address
