"""
Rolls out the accepted configuration: transfers, loads and serves weights on this instance.

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
from millfork_weights.store import VersionDigestMismatch, WeightStore
from millfork_weights.transfer import Transfer, TransferFailed, TransferSettings
from millfork_weights.trees import Receiver
from millfork_wire.peers import Peers
from millforkd.endpoint.backend_gateway import BackendGateway
from millforkd.endpoint.engine_client import EngineClient, OrderFailed

RECONCILE_INTERVAL_S: Final = 0.5
TRANSFER_RETRY_DELAY_S: Final = 5.0

log = logger(Component.WEIGHTS)


class Rollout:
    """
    Makes this instance hold, load and serve the versions of weights that the configuration
    assigns to it, and drop all others.

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
        gateway: BackendGateway,
        engine: EngineClient,
    ) -> None:
        assert settings.weights.origin is not None
        self.env = env
        self.view = view
        self.roster = roster
        self.peers = peers
        self.store = store
        self.link = link
        self.gateway = gateway
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
        self.transfer_retry_times: dict[Digest, float] = {}
        self.wanted_deployments: dict[str, Deployment] = {}
        self.deployments_computed_from: tuple[object, int] | None = None
        self.wake_event = curio.Event()

    async def run(self) -> None:
        """
        Reconcile this instance with the configuration: after each change of the configuration,
        after each transfer, and every RECONCILE_INTERVAL_S.

        """
        await self.env.spawn_essential(self._wake_after_changes)
        while True:
            # Until a configuration is received, nothing is loaded or served.
            if self.view.cluster:
                await self._reconcile()
            self.wake_event.clear()
            try:
                async with curio.timeout_after(RECONCILE_INTERVAL_S):
                    await self.wake_event.wait()
            except curio.TaskTimeout:
                pass

    async def _wake_after_changes(self) -> None:
        while True:
            if await self.view.wait_for_change(self.view.position, RECONCILE_INTERVAL_S):
                await self.wake_event.set()

    async def _reconcile(self) -> None:
        self.wanted_deployments = self._find_wanted_deployments()
        await self._reconcile_transfers()
        asked_at = self.env.monotonic()
        if not await self.engine.poll():
            await self.gateway.set_served({})
            return
        self.gateway.incarnations.record_incarnation(self.engine.status.incarnation, asked_at)
        await self._load_wanted()
        await self._serve_loaded()
        await self._unload_unwanted()

    # Deployments of this instance.

    def _find_wanted_deployments(self) -> dict[str, Deployment]:
        """
        Return the deployments that select this instance, by `ORG/NAME`. If the platform doesn't
        list the instance, or if neither the configuration nor the list of instances changed since
        the last call, the result stays the same.

        """
        deployments_computed_from = (self.view.position, self.roster.version)
        facts = self.roster.instances.get(self.env.instance)
        if facts is None or deployments_computed_from == self.deployments_computed_from:
            return self.wanted_deployments
        self.deployments_computed_from = deployments_computed_from
        return {
            name: deployment
            for name, deployment in deployments(self.view).items()
            if is_selected(self.view, name, deployment, facts)
        }

    def _receivers(self, part: WeightPart) -> list[Receiver]:
        """
        Return the receivers of a weight part: all instances that deployments with this part select.

        """
        receivers: dict[str, Receiver] = {}
        for name, deployment in deployments(self.view).items():
            if part.manifest not in {other.manifest for other in deployment.parts}:
                continue
            for facts in select_endpoints(self.view, self.roster, name, deployment):
                receivers[facts.instance] = Receiver(facts.instance, facts.zone)
        return list(receivers.values())

    # Transfers.

    def _wanted_parts(self) -> dict[Digest, WeightPart]:
        return {
            part.manifest: part
            for deployment in self.wanted_deployments.values()
            for part in deployment.parts
        }

    async def _reconcile_transfers(self) -> None:
        parts = self._wanted_parts()
        for digest in list(self.transfers):
            if digest not in parts:
                await self.transfers.pop(digest).cancel()
                log.info('Transfer of {} is cancelled.', digest[:16])
        for digest, part in parts.items():
            stored = self.store.stored_versions.get(digest)
            if digest in self.transfers or (stored is not None and stored.is_complete):
                continue
            if self.transfer_retry_times.get(digest, 0.0) > self.env.monotonic():
                continue
            self.transfers[digest] = await self.env.spawn(self._transfer, part)

    async def _transfer(self, part: WeightPart) -> None:
        started_at = self.env.monotonic()
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
            await transfer.run(part.name, part.version, part.manifest, self._receivers(part))
        except (TransferFailed, VersionDigestMismatch, OSError) as error:
            log.error('Transfer of {} {} failed: {}.', part.name, part.version, error)
            if isinstance(error, VersionDigestMismatch):
                self.store.remove_version(part.manifest)
            self.transfer_retry_times[part.manifest] = self.env.monotonic() + TRANSFER_RETRY_DELAY_S
        else:
            duration_s = self.env.monotonic() - started_at
            log.info(
                'Transfer of {} {} is complete after {:.2f} s.', part.name, part.version, duration_s
            )
        self.transfers.pop(part.manifest, None)
        await self.wake_event.set()

    def _has_complete_weights(self, deployment: Deployment) -> bool:
        for part in deployment.parts:
            stored = self.store.stored_versions.get(part.manifest)
            if stored is None or not stored.is_complete:
                return False
        return True

    # The engine.

    async def _load_wanted(self) -> None:
        for deployment in self.wanted_deployments.values():
            version = deployment.version
            if version in self.engine.status.loaded or not self._has_complete_weights(deployment):
                continue
            parts = [
                {
                    'name': part.name,
                    'version': part.version,
                    'manifest': part.manifest,
                    'path': str(self.store.stored_versions[part.manifest].path.absolute()),
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
        Serve the wanted version of each deployment once the engine has loaded it. Until then,
        keep serving the current version if the engine still has it loaded.

        """
        served = {}
        for name, deployment in self.wanted_deployments.items():
            if deployment.version in self.engine.status.loaded:
                served[name] = deployment.version
                continue
            current = self.gateway.served.get(name, '')
            if current in self.engine.status.loaded:
                served[name] = current
        await self.gateway.set_served(served)

    async def _unload_unwanted(self) -> None:
        """
        Unload versions that are neither wanted nor served nor in use by a request. Once all wanted
        versions are served and no others are loaded, delete from the disk all weights that are not
        part of a wanted version.

        """
        wanted = {deployment.version for deployment in self.wanted_deployments.values()}
        kept_versions = wanted | set(self.gateway.served.values())
        for version in list(self.engine.status.loaded):
            if version in kept_versions or self.gateway.is_version_in_use(version):
                continue
            try:
                await self.engine.unload(version)
            except OrderFailed:
                continue
            self.engine.status.loaded.remove(version)
        if set(self.engine.status.loaded) <= wanted and wanted == set(self.gateway.served.values()):
            self.store.remove_all_except(set(self._wanted_parts()))
