"""
From accepted configuration to servable weights on this instance.

"""

from typing import Final

import curio

from millfork_core.environment import Environment
from millfork_core.ids import Digest
from millfork_core.logs import Component, logger
from millfork_settings.models import Settings
from millfork_state.config import Deployment, WeightPart
from millfork_state.roster import Roster
from millfork_state.selection import deployments, is_selected, select_endpoints
from millfork_state.view import View
from millfork_weights.links import Link
from millfork_weights.origin import Origin
from millfork_weights.store import WeightStore, WholeMismatch
from millfork_weights.transfer import Transfer, TransferFailed, TransferSettings
from millfork_weights.trees import Holder
from millfork_wire.peers import Peers
from millforkd.endpoint.door import Door
from millforkd.endpoint.engine import Engine, OrderFailed

RECONCILE_S: Final = 0.5
FAILED_PAUSE_S: Final = 5.0

log = logger(Component.WEIGHTS)


class Rollout:
    """
    Keeps what is held, loaded and served in step with the configuration.

    """

    def __init__(
        self,
        env: Environment,
        settings: Settings,
        view: View,
        roster: Roster,
        peers: Peers,
        store: WeightStore,
        link: Link,
        door: Door,
        engine: Engine,
    ) -> None:
        assert settings.weights.origin is not None
        self.env = env
        self.view = view
        self.roster = roster
        self.peers = peers
        self.store = store
        self.link = link
        self.door = door
        self.engine = engine
        host = str(settings.address)
        self.origin = Origin(*settings.weights.origin.pair, host)
        self.transfer_settings = TransferSettings(
            settings.weights.stripes,
            settings.weights.window,
            settings.weights.stall_ms / 1000,
            settings.weights.origin_copies,
        )
        self.transfers: dict[Digest, curio.Task] = {}
        self.failed_until: dict[Digest, float] = {}
        self.wanted: dict[str, Deployment] = {}
        self.basis: tuple[object, int] | None = None
        self.wake = curio.Event()

    async def keep(self) -> None:
        """
        The task that reconciles, on each change and now and then.

        """
        await self.env.spawn_essential(self._wake_on_change)
        while True:
            # Serving stops short of configuration older than the zone's.
            if self.view.cluster:
                await self._reconcile()
            self.wake.clear()
            try:
                async with curio.timeout_after(RECONCILE_S):
                    await self.wake.wait()
            except curio.TaskTimeout:
                pass

    async def _wake_on_change(self) -> None:
        while True:
            if await self.view.wait_for_change(self.view.position, RECONCILE_S):
                await self.wake.set()

    async def _reconcile(self) -> None:
        self.wanted = self._wanted_here()
        await self._keep_transfers()
        asked_at = self.env.monotonic()
        if not await self.engine.poll():
            await self.door.set_served({})
            return
        self.door.ends.note_incarnation(self.engine.status.incarnation, asked_at)
        await self._load_wanted()
        await self._serve_loaded()
        await self._unload_unwanted()

    # What is wanted.

    def _wanted_here(self) -> dict[str, Deployment]:
        """
        The deployments that select this instance, by `ORG/NAME`.

        """
        basis = (self.view.position, self.roster.version)
        facts = self.roster.instances.get(self.env.instance)
        if facts is None or basis == self.basis:
            return self.wanted
        self.basis = basis
        return {
            name: deployment
            for name, deployment in deployments(self.view).items()
            if is_selected(self.view, name, deployment, facts)
        }

    def _holders(self, part: WeightPart) -> list[Holder]:
        """
        All instances that a weight part should reach.

        """
        found: dict[str, Holder] = {}
        for name, deployment in deployments(self.view).items():
            if part.manifest not in {other.manifest for other in deployment.parts}:
                continue
            for facts in select_endpoints(self.view, self.roster, name, deployment):
                found[facts.instance] = Holder(facts.instance, facts.zone)
        return list(found.values())

    # Transfers.

    def _wanted_parts(self) -> dict[Digest, WeightPart]:
        return {
            part.manifest: part for deployment in self.wanted.values() for part in deployment.parts
        }

    async def _keep_transfers(self) -> None:
        parts = self._wanted_parts()
        for digest in list(self.transfers):
            if digest not in parts:
                await self.transfers.pop(digest).cancel()
                log.info('Transfer of {} is called off.', digest[:16])
        for digest, part in parts.items():
            holding = self.store.holdings.get(digest)
            if digest in self.transfers or (holding is not None and holding.whole):
                continue
            if self.failed_until.get(digest, 0.0) > self.env.monotonic():
                continue
            self.transfers[digest] = await self.env.spawn(self._transfer, part)

    async def _transfer(self, part: WeightPart) -> None:
        began = self.env.monotonic()
        transfer = Transfer(
            self.env,
            self.transfer_settings,
            self.store,
            self.link,
            self.origin,
            self.peers,
            self.roster.address,
        )
        log.info('Transfer of {} {} begins.', part.name, part.version)
        try:
            await transfer.run(part.name, part.version, part.manifest, self._holders(part))
        except (TransferFailed, WholeMismatch, OSError) as error:
            log.error('Transfer of {} {} failed: {}.', part.name, part.version, error)
            if isinstance(error, WholeMismatch):
                self.store.forget(part.manifest)
            self.failed_until[part.manifest] = self.env.monotonic() + FAILED_PAUSE_S
        else:
            took = self.env.monotonic() - began
            log.info('{} {} is whole after {:.2f} s.', part.name, part.version, took)
        self.transfers.pop(part.manifest, None)
        await self.wake.set()

    def _is_whole(self, deployment: Deployment) -> bool:
        for part in deployment.parts:
            holding = self.store.holdings.get(part.manifest)
            if holding is None or not holding.whole:
                return False
        return True

    # The engine.

    async def _load_wanted(self) -> None:
        for deployment in self.wanted.values():
            version = deployment.version
            if version in self.engine.status.loaded or not self._is_whole(deployment):
                continue
            parts = [
                {
                    'name': part.name,
                    'version': part.version,
                    'manifest': part.manifest,
                    'path': str(self.store.holdings[part.manifest].path.absolute()),
                }
                for part in deployment.parts
            ]
            try:
                await self.engine.load(version, parts)
            except OrderFailed as error:
                log.warning('Loading {} failed: {}.', version, error)
                continue
            self.engine.status.loaded.append(version)

    async def _serve_loaded(self) -> None:
        """
        Admit to the wanted version once it is loaded; until then go on with
        the one that is.

        """
        served = {}
        for name, deployment in self.wanted.items():
            if deployment.version in self.engine.status.loaded:
                served[name] = deployment.version
                continue
            current = self.door.served.get(name, '')
            if current in self.engine.status.loaded:
                served[name] = current
        await self.door.set_served(served)

    async def _unload_unwanted(self) -> None:
        """
        Drop versions that nothing wants, serves or still runs on, and then
        the weights that no version left here is made of.

        """
        wanted = {deployment.version for deployment in self.wanted.values()}
        kept = wanted | set(self.door.served.values())
        for version in list(self.engine.status.loaded):
            if version in kept or self.door.uses(version):
                continue
            try:
                await self.engine.unload(version)
            except OrderFailed:
                continue
            self.engine.status.loaded.remove(version)
        if set(self.engine.status.loaded) <= wanted and wanted == set(self.door.served.values()):
            self.store.forget_all_but(set(self._wanted_parts()))
