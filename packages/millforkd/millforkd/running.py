"""
The story of a seeded daemon: start, reload, stop.

"""

import signal
from pathlib import Path
from typing import Final, Protocol

import curio

from millfork_adapter.adapter import Adapter
from millfork_core import logs
from millfork_core.environment import Environment
from millfork_core.ids import InstanceId, ZoneId
from millfork_core.logs import Part, logger
from millfork_core.signals import StopSignals
from millfork_core.status import ExitStatus
from millfork_settings.errors import BadFile
from millfork_settings.loading import load
from millfork_settings.seeded import SeededRole, SeededSettings
from millfork_state.storage import CorruptStorage
from millforkd.beside.daemon import BesideDaemon
from millforkd.proxy.daemon import ProxyDaemon
from millforkd.replica.daemon import ReplicaDaemon
from millforkd.stopping import Drains, drain_or_end

# The settings file may change without a signal.
SETTINGS_POLL_S: Final = 2.0

log = logger(Part.DAEMON)


class SeededDaemon(Drains, Protocol):
    """
    What every role of a seeded fleet is.

    """

    async def start(self) -> None: ...

    async def reload(self, settings: SeededSettings) -> None: ...


def build_seeded(env: Environment, settings: SeededSettings, adapter: Adapter) -> SeededDaemon:
    """
    The daemon of the role that the settings name.

    """
    if settings.role is SeededRole.ENTRY:
        return ProxyDaemon(env, settings, adapter)
    if settings.role is SeededRole.REPLICA:
        return ReplicaDaemon(env, settings, adapter)
    return BesideDaemon(env, settings, adapter)


async def serve_seeded(path: Path, settings: SeededSettings, adapter: Adapter) -> ExitStatus:
    """
    Run the role until SIGTERM or SIGINT, then drain; a second one ends the
    drain. SIGHUP, or a change of the file, reloads the settings.

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
    try:
        daemon = build_seeded(env, settings, adapter)
        async with StopSignals(reloads=True) as signals:
            await daemon.start()
            await env.keep(_watch_settings, path, daemon)
            if not await _wait_for_stop(env, signals, path, daemon):
                return ExitStatus.ERROR
            log.notice('Stopping. in_progress={}', daemon.in_progress)
            await drain_or_end(env, daemon, signals)
    except CorruptStorage as error:
        log.error('Storage is corrupt: {}. Not starting.', error)
        return ExitStatus.ERROR
    except OSError as error:
        log.error('Cannot start: {}.', error)
        return ExitStatus.ERROR
    log.notice('Stopped.')
    return ExitStatus.SUCCESS


async def _wait_for_stop(
    env: Environment, signals: StopSignals, path: Path, daemon: SeededDaemon
) -> bool:
    """
    Wait for a stop signal; False if a task failed that can't be done without.

    """
    failed = await curio.spawn(env.failed.wait)
    while True:
        signalled = await curio.spawn(signals.get)
        async with curio.TaskGroup([signalled], wait=any) as group:
            await group.add_task(failed)
        if group.completed is failed:
            return False
        if signalled.result is not signal.SIGHUP:
            return True
        failed = await curio.spawn(env.failed.wait)
        await _reload(path, daemon)


async def _watch_settings(path: Path, daemon: SeededDaemon) -> None:
    seen = _content(path)
    while True:
        await curio.sleep(SETTINGS_POLL_S)
        content = _content(path)
        if content and content != seen:
            seen = content
            await _reload(path, daemon)


def _content(path: Path) -> bytes:
    try:
        return path.read_bytes()
    except OSError as error:
        log.warning('The settings file can not be read: {}.', error)
        return b''


async def _reload(path: Path, daemon: SeededDaemon) -> None:
    try:
        settings = load(path, SeededSettings)
    except BadFile as error:
        log.error('Settings not reloaded: {}', ' '.join(str(error).split()))
        return
    await daemon.reload(settings)
    log.notice('Settings reloaded. seeds={}', ','.join(settings.seeds))
