"""
Runs a daemon of a listed fleet: one whose instances the platform lists.

"""

from pathlib import Path

import curio

from millfork_core import logs
from millfork_core.environment import Environment
from millfork_core.ids import InstanceId, ZoneId
from millfork_core.status import ExitStatus
from millfork_settings.loading import load
from millfork_settings.models import Role, Settings
from millforkd.endpoint.daemon import EndpointDaemon
from millforkd.entry.daemon import EntryDaemon
from millforkd.running import run_daemon


def run_listed(path: Path, check_only: bool) -> ExitStatus:
    """
    Run a daemon of a listed fleet until a stop signal comes; with `check_only`, only check its
    settings.

    :raises BadFile: if the settings can't be used.

    """
    settings = load(path, Settings)
    if check_only:
        print(f'{path}: good')
        return ExitStatus.SUCCESS
    logs.set_up(settings.log_level)
    status: ExitStatus = curio.run(_serve, settings)
    return status


async def _serve(settings: Settings) -> ExitStatus:
    env = Environment(InstanceId(settings.instance), ZoneId(settings.zone))
    return await run_daemon(env, lambda: build(env, settings))


def build(env: Environment, settings: Settings) -> EntryDaemon | EndpointDaemon:
    """
    Create the daemon for the role in the settings.

    """
    if settings.role is Role.ENTRY:
        return EntryDaemon(env, settings)
    return EndpointDaemon(env, settings)
