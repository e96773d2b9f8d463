"""
Run one stand-in process: `python -m millfork_standins KIND SETTINGS`.

"""

import sys
from pathlib import Path
from typing import Any, Final

import curio
from pydantic import BaseModel

from millfork_core.signals import StopSignals
from millfork_core.status import ExitStatus
from millfork_settings.errors import BadFile
from millfork_settings.loading import load
from millfork_standins.engine import Engine
from millfork_standins.origin import Origin
from millfork_standins.platform import Platform
from millfork_standins.relay import Relay
from millfork_standins.service import Service
from millfork_standins.settings import (
    EngineSettings,
    OriginSettings,
    PlatformSettings,
    RelaySettings,
    ServiceSettings,
)

# The settings model and the class of each kind of stand-in.
KINDS: Final[dict[str, tuple[type[BaseModel], type[Any]]]] = {
    'engine': (EngineSettings, Engine),
    'service': (ServiceSettings, Service),
    'origin': (OriginSettings, Origin),
    'platform': (PlatformSettings, Platform),
    'relay': (RelaySettings, Relay),
}


async def _serve(standin: Any) -> None:
    async with StopSignals() as signals:
        await curio.spawn(standin.run, daemon=True)
        await signals.get()


def main() -> int:
    """
    Run the stand-in until a stop signal arrives; return the exit status.

    """
    if len(sys.argv) != 3 or sys.argv[1] not in KINDS:
        print(f'usage: python -m millfork_standins {"|".join(KINDS)} SETTINGS', file=sys.stderr)
        return ExitStatus.USAGE
    settings_model, standin_class = KINDS[sys.argv[1]]
    try:
        settings = load(Path(sys.argv[2]), settings_model)
    except BadFile as error:
        print(error, file=sys.stderr)
        return ExitStatus.BAD_SETTINGS
    curio.run(_serve, standin_class(settings))
    return ExitStatus.SUCCESS


if __name__ == '__main__':
    sys.exit(main())
