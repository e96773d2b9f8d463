"""
What the settings of all fleets are made of. Apart from the rest, as a daemon of a seeded
fleet needs no more: the models of the listed fleets took 0.04 s of each start (the
interpreter's import times, one run).

"""

import math
from typing import Annotated, Self

from pydantic import BaseModel, BeforeValidator, ConfigDict, Field, model_validator

Port = Annotated[int, Field(ge=1, le=65535)]
Name = Annotated[str, Field(pattern=r'^[a-z0-9][a-z0-9.-]{0,62}$')]


def round_down(value: object) -> object:
    """
    A count that is given as a fraction, as the count below it; anything else as it is.

    """
    if isinstance(value, float) and math.isfinite(value):
        return math.floor(value)
    return value


class StrictModel(BaseModel):
    """
    Base of all settings: unknown keys are errors.

    """

    model_config = ConfigDict(extra='forbid')


class StateSettings(StrictModel):
    """
    How the replicated state is kept.

    """

    heartbeat_ms: int = Field(500, ge=20, le=5000, description='Leader heartbeat, in ms.')
    election_ms: int = Field(
        1500, ge=100, le=30000, description='Silence after which a replica seeks election, in ms.'
    )
    snapshot_entries: int = Field(1000, ge=10, description='Log entries between two snapshots.')
    losses: Annotated[int | None, BeforeValidator(round_down)] = Field(
        None,
        ge=0,
        description='Disks that may be lost at once, a fraction rounded down; a silent voter '
        'leaves while enough are left.',
    )

    @model_validator(mode='after')
    def check_times(self) -> Self:
        if self.election_ms < 3 * self.heartbeat_ms:
            raise ValueError('election_ms must be at least three times heartbeat_ms')
        return self
