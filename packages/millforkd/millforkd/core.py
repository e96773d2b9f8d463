"""
Runs a daemon of a listed fleet (one whose instances the platform lists) or of a seeded fleet (one
whose daemons start from the addresses of a few replicas), and maps errors to exit statuses.

A daemon imports only the code of its own kind of fleet and, in a seeded fleet, of its own role:
imports take half of the start-up time, during which the daemon serves nothing.

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
    Run a daemon until it stops, or only check its settings file; return the exit status. With an
    adapter, the daemon belongs to a seeded fleet, else to a listed one.

    """
    if settings_path is None:
        print('millforkd: --settings is required; see --help', file=sys.stderr)
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
