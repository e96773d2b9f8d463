"""
The story of a run: settings, environment, role, stop.

The two kinds of fleet, and within a seeded one the roles, are imported only where they run:
half of a daemon's start is imports, and until it is over nothing is served.

"""

import sys
from pathlib import Path

from millfork_adapter.adapter import Adapter
from millfork_core.status import ExitStatus
from millfork_settings.errors import BadFile


def run(
    settings_path: str | None,
    check_only: bool,
    adapter: Adapter | None = None,
) -> ExitStatus:
    """
    Run a daemon until it is told to stop; with an adapter, one that finds
    the others from seeds.

    """
    if settings_path is None:
        print('millforkd: --settings is needed; see --help', file=sys.stderr)
        return ExitStatus.USAGE
    path = Path(settings_path)
    try:
        if adapter is not None:
            return _run_seeded(path, check_only, adapter)
        return _run_listed(path, check_only)
    except BadFile as error:
        print(error, file=sys.stderr)
        return ExitStatus.BAD_SETTINGS


def _run_seeded(path: Path, check_only: bool, adapter: Adapter) -> ExitStatus:
    from millforkd.seeded_fleet import run_seeded

    return run_seeded(path, check_only, adapter)


def _run_listed(path: Path, check_only: bool) -> ExitStatus:
    from millforkd.listed_fleet import run_listed

    return run_listed(path, check_only)
