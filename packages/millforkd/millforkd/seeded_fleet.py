"""
Runs a daemon of a seeded fleet: one whose daemons find each other from the addresses of a few
replicas (the seeds).

"""

from pathlib import Path

import curio

from millfork_adapter.adapter import Adapter
from millfork_core import logs
from millfork_core.environment import Environment
from millfork_core.ids import InstanceId, ZoneId
from millfork_core.logs import Component, logger
from millfork_core.status import ExitStatus
from millfork_settings.loading import load
from millfork_settings.seeded import SeededRole, SeededSettings
from millforkd.running import Daemon, run_daemon

log = logger(Component.DAEMON)


def run_seeded(path: Path, check_only: bool, adapter: Adapter) -> ExitStatus:
    """
    Run a daemon of a seeded fleet until a stop signal comes; with `check_only`, only check its
    settings.

    :raises BadFile: if the settings can't be used.

    """
    settings = load(path, SeededSettings)
    if check_only:
        print(f'{path}: good')
        return ExitStatus.SUCCESS
    status: ExitStatus = curio.run(_serve, path, settings, adapter)
    return status


async def _serve(path: Path, settings: SeededSettings, adapter: Adapter) -> ExitStatus:
    """
    Set up logs and run the daemon. SIGHUP or a change of the settings file reloads the settings.

    """
    env = Environment(InstanceId(settings.instance), ZoneId(settings.zone))
    logs.set_up_bounded(
        settings.log_level, lambda fate: env.metrics.count(env.metrics.log_lines, fate=fate)
    )
    log.notice(
        'Starting. role={} name={} instance={} zone={} seeds={} first_start={}',
        settings.role.value,
        settings.name,
        settings.instance,
        settings.zone,
        ','.join(settings.seeds),
        settings.first_start,
    )
    for value in settings.promises.replaced:
        log.warning(
            'Setting {} cannot be used as given: {!r}. Using {:g} instead.',
            value.key,
            value.given,
            value.used,
        )
    return await run_daemon(env, lambda: build(env, settings, adapter), path)


def build(env: Environment, settings: SeededSettings, adapter: Adapter) -> Daemon:
    """
    Create the daemon for the role in the settings. The code of other roles isn't imported.

    """
    if settings.role is SeededRole.ENTRY:
        from millforkd.proxy.daemon import ProxyDaemon

        return ProxyDaemon(env, settings, adapter)
    if settings.role is SeededRole.REPLICA:
        from millforkd.replica.daemon import ReplicaDaemon

        return ReplicaDaemon(env, settings, adapter)
    from millforkd.sidecar.daemon import SidecarDaemon

    return SidecarDaemon(env, settings, adapter)
