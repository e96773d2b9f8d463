"""
Runs a daemon from start to stop: signals, settings reloads and draining.

"""

import signal
from collections.abc import Callable
from pathlib import Path
from typing import Final, Protocol, runtime_checkable

import curio

from millfork_core.environment import Environment
from millfork_core.logs import Component, logger
from millfork_core.signals import StopSignals
from millfork_core.status import ExitStatus
from millfork_settings.errors import BadFile
from millfork_settings.loading import load
from millfork_settings.seeded import SeededSettings
from millfork_state.storage import CorruptStorage
from millforkd.stopping import Drainable, drain_until_second_signal

# The time between two checks of the settings file, which may change without a SIGHUP.
SETTINGS_POLL_S: Final = 2.0

log = logger(Component.DAEMON)


class Daemon(Drainable, Protocol):
    """
    A daemon of any role, which `run_daemon` starts and later drains.

    """

    async def start(self) -> None: ...


@runtime_checkable
class Reloadable(Protocol):
    """
    A daemon that can apply changed settings while it runs.

    """

    async def reload(self, settings: SeededSettings) -> None: ...


async def run_daemon(
    env: Environment, build: Callable[[], Daemon], settings_path: Path | None = None
) -> ExitStatus:
    """
    Run a daemon until SIGTERM or SIGINT, then drain it; a second signal ends the drain. If an
    essential task fails, the daemon stops without a drain. If `settings_path` is given, a
    `Reloadable` daemon applies changes of that file while it runs. Returns the exit status, also
    for errors that prevent the start.

    """
    try:
        daemon = build()
        async with StopSignals(reloads=settings_path is not None) as signals:
            await daemon.start()
            reloader = None
            if settings_path is not None and isinstance(daemon, Reloadable):
                reloader = SettingsReloader(settings_path, daemon)
                await env.spawn_essential(reloader.watch)
            if not await _wait_for_stop(env, signals, reloader):
                return ExitStatus.ERROR
            log.notice('Stopping; requests in progress go on. count={}', daemon.in_progress)
            await drain_until_second_signal(env, daemon, signals)
    except BadFile as error:
        log.error('{}', error)
        return ExitStatus.BAD_SETTINGS
    except CorruptStorage as error:
        log.error('Storage is corrupt: {}. Not starting.', error)
        return ExitStatus.ERROR
    except OSError as error:
        log.error('Cannot start: {}.', error)
        return ExitStatus.ERROR
    finally:
        # Next, curio cancels the remaining tasks one by one. A task that is not cancelled yet must
        # start no new task.
        env.ended = True
    log.notice('Stopped.')
    return ExitStatus.SUCCESS


async def _wait_for_stop(
    env: Environment, signals: StopSignals, reloader: 'SettingsReloader | None'
) -> bool:
    """
    Wait for a stop signal, and reload the settings on each SIGHUP before it. Returns False if an
    essential task fails before the stop signal, else True.

    """
    failure_task = await curio.spawn(env.failed.wait)
    while True:
        signal_task = await curio.spawn(signals.get)
        async with curio.TaskGroup([signal_task], wait=any) as group:
            await group.add_task(failure_task)
        if group.completed is failure_task:
            return False
        if reloader is None or signal_task.result is not signal.SIGHUP:
            return True
        failure_task = await curio.spawn(env.failed.wait)
        await reloader.reload()


class SettingsReloader:
    """
    Applies changes of the settings file to a running daemon.

    """

    def __init__(self, path: Path, daemon: Reloadable) -> None:
        self.path = path
        self.daemon = daemon

    async def watch(self) -> None:
        """
        Poll the settings file, and reload it whenever its content has changed.

        """
        seen = self._content()
        while True:
            await curio.sleep(SETTINGS_POLL_S)
            content = self._content()
            if content and content != seen:
                seen = content
                await self.reload()

    async def reload(self) -> None:
        """
        Apply the current content of the settings file. An invalid file is logged and ignored.

        """
        try:
            settings = load(self.path, SeededSettings)
        except BadFile as error:
            log.error('Settings not reloaded: {}', ' '.join(str(error).split()))
            return
        await self.daemon.reload(settings)
        log.notice('Settings reloaded. seeds={}', ','.join(settings.seeds))

    def _content(self) -> bytes:
        try:
            return self.path.read_bytes()
        except OSError as error:
            log.warning('The settings file cannot be read: {}.', error)
            return b''
