"""
Settings that are the same in listed fleets (whose instances the platform lists) and in seeded
fleets (whose daemons start from the addresses of a few replicas).

They are in a separate module so that a daemon of a seeded fleet doesn't import the models of
listed fleets: that import took 0.04 s of each start.

"""

import math
from typing import Annotated, Self

from pydantic import BaseModel, BeforeValidator, ConfigDict, Field, model_validator

Port = Annotated[int, Field(ge=1, le=65535)]
Name = Annotated[str, Field(pattern=r'^[a-z0-9][a-z0-9.-]{0,62}$')]


def round_down(value: object) -> object:
    """
    Round a finite float down to an integer; return other values unchanged.

    """
    if isinstance(value, float) and math.isfinite(value):
        return math.floor(value)
    return value


class StrictModel(BaseModel):
    """
    Base of the settings and declarations in which unknown keys are errors.

    """

    model_config = ConfigDict(extra='forbid')


class StateSettings(StrictModel):
    """
    Settings of the consensus protocol that replicates the state.

    """

    heartbeat_ms: int = Field(500, ge=20, le=5000, description='Leader heartbeat, in ms.')
    election_ms: int = Field(
        1500,
        ge=100,
        le=30000,
        description='Silence after which a replica starts an election, in ms.',
    )
    snapshot_entries: int = Field(1000, ge=10, description='Log entries between two snapshots.')
    losses: Annotated[int | None, BeforeValidator(round_down)] = Field(
        None,
        ge=0,
        description='Number of disks that may be lost at once; fractions are rounded down. '
        'A silent voter is removed as long as enough voters remain.',
    )

    @model_validator(mode='after')
    def check_times(self) -> Self:
        if self.election_ms < 3 * self.heartbeat_ms:
            raise ValueError('election_ms must be at least three times heartbeat_ms')
        return self
