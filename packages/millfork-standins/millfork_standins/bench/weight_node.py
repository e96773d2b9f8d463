"""
Runs weight nodes in one process. A weight node is an instance without an engine, which fetches
weights with the real store, trees and transfers over real connections.

Reads a `Plan` as one JSON line from standard input, and prints the result of each node as one JSON
line.

"""

import json
import sys
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Any, Final

import curio
import msgspec

from millfork_core.environment import Environment
from millfork_core.ids import Digest, InstanceId, ZoneId
from millfork_standins.bench.baselines import PLANNERS
from millfork_weights.chunk_server import ChunkServer
from millfork_weights.links import Link
from millfork_weights.origin import Origin
from millfork_weights.store import StoredVersion, WeightStore
from millfork_weights.transfer import Transfer, TransferSettings
from millfork_weights.trees import Receiver
from millfork_wire.connection import Connection, PeerUnreachable
from millfork_wire.messages import GetChunk, GetManifest, Message
from millfork_wire.peers import PeerAddress, Peers

FLEET_KEY: Final = b'bench'
PORT: Final = 7400
RUN_TIMEOUT_S: Final = 60.0


class NodeSpec(msgspec.Struct):
    """
    One node and the fault to inject: `trouble` is '' (no fault), 'stall' (the node stops answering
    its peers), 'kill' or 'cut' (the node is cut off from the other zones). The fault occurs
    `trouble_s` seconds after the node starts to fetch.

    """

    name: str
    host: str
    zone: str
    trouble: str = ''
    trouble_s: float = 0.0


class Plan(msgspec.Struct):
    """
    All nodes of a run, and in `mine` the names of the nodes that this process runs. `versions`
    holds one or two items of (model name, version, digest). All nodes start at `start_at`
    (monotonic seconds). If there is a second version, it replaces the first version `second_s`
    seconds after the start. Transfers use at most `share` of the link, and both directions have one
    common limit if `together` is set.

    """

    nodes: list[NodeSpec]
    mine: list[str]
    folder: str
    origin: tuple[str, int]
    versions: list[tuple[str, str, str]]
    second_s: float
    start_at: float
    planner: str
    origin_copies: int
    stripes: int
    window: int
    stall_s: float
    bytes_per_s: int
    together: bool
    share: float = 1.0
    live_bytes_per_s: float = 0.0


@dataclass
class ZonePartition:
    """
    Whether this node is cut off from the other zones.

    """

    active: bool = False


class PartitionedPeers(Peers):
    """
    Connections to peers. While the partition is active, peers in other zones are unreachable.

    """

    partition: ZonePartition
    zones: dict[str, str]

    async def connect(self, address: PeerAddress) -> Connection:
        if self.partition.active and self.zones[address.instance] != self.env.zone:
            raise PeerUnreachable('cut off')
        return await super().connect(address)


class Node:
    """
    One instance that fetches the weights and serves them to its peers.

    """

    def __init__(self, plan: Plan, spec: NodeSpec) -> None:
        self.plan = plan
        self.spec = spec
        self.env = Environment(InstanceId(spec.name), ZoneId(spec.zone))
        self.partition = ZonePartition()
        self.peers = PartitionedPeers(self.env, 'endpoint', spec.host, PORT, FLEET_KEY, self.handle)
        self.peers.partition = self.partition
        self.peers.zones = {node.name: node.zone for node in plan.nodes}
        self.link = Link(plan.bytes_per_s, plan.share, plan.together, time.monotonic)
        self.store = WeightStore(Path(plan.folder) / spec.name)
        self.chunk_server = ChunkServer(self.env, self.store, self.link)
        self.addresses = {
            node.name: PeerAddress(InstanceId(node.name), node.host, PORT) for node in plan.nodes
        }
        self.stalled = False
        self.live_waits: list[float] = []

    async def handle(self, connection: Connection, message: Message) -> Message | None:
        while self.stalled:
            await curio.sleep(0.1)
        if isinstance(message, GetManifest):
            return await self.chunk_server.on_get_manifest(message)
        if isinstance(message, GetChunk):
            return await self.chunk_server.on_get_chunk(message)
        return None

    async def run(self) -> dict[str, Any]:
        """
        Fetch the versions of the plan and inject the node's fault. The result holds the name of the
        node, the seconds from the common start until the plan's last version was complete on the
        node (None for a node that was killed), and the seconds that each live answer waited.

        """
        listening = await curio.spawn(self.peers.listen, daemon=True)
        await curio.sleep(max(self.plan.start_at - time.monotonic(), 0))
        fault_task = await curio.spawn(self._inject_fault, daemon=True)
        if self.plan.live_bytes_per_s:
            await curio.spawn(self._measure_live_waits, daemon=True)
        fetching = await curio.spawn(self._fetch_all, daemon=True)
        if self.spec.trouble == 'kill':
            await fault_task.wait()
            await fetching.cancel()
            await listening.cancel()
            for connection in list(self.peers.connections.values()):
                await connection.close()
            return {'name': self.spec.name, 'seconds': None, 'live_waits': []}
        await fetching.wait()
        seconds = time.monotonic() - self.plan.start_at
        return {'name': self.spec.name, 'seconds': seconds, 'live_waits': self.live_waits}

    async def _inject_fault(self) -> None:
        await curio.sleep(self.spec.trouble_s)
        self.stalled = self.spec.trouble == 'stall'
        self.partition.active = self.spec.trouble == 'cut'
        if self.partition.active:
            for connection in list(self.peers.connections.values()):
                if self.peers.zones[connection.peer] != self.env.zone:
                    await connection.close()

    async def _fetch_all(self) -> None:
        first_fetch = await curio.spawn(self._fetch, *self.plan.versions[0], daemon=True)
        if len(self.plan.versions) == 1:
            await first_fetch.wait()
            return
        await curio.sleep(max(self.plan.start_at + self.plan.second_s - time.monotonic(), 0))
        await first_fetch.cancel()
        await self._fetch(*self.plan.versions[1])

    async def _fetch(self, name: str, version: str, digest: str) -> StoredVersion:
        plan = self.plan
        settings = TransferSettings(
            plan.stripes, plan.window, plan.stall_s, plan.origin_copies, PLANNERS[plan.planner]
        )
        origin = Origin(*plan.origin, self.spec.host)
        receivers = [Receiver(InstanceId(n.name), ZoneId(n.zone)) for n in plan.nodes]
        transfer = Transfer(
            self.env, settings, self.store, self.link, origin, self.peers, self.addresses.get
        )
        return await transfer.run(name, version, Digest(digest), receivers)

    async def _measure_live_waits(self) -> None:
        """
        Simulate live answers (answers to callers), with a pause of 0.1 s between them, and record
        how long each waits for the outbound link. If transfers may use only a part of the link, an
        answer waits for the time in which the rest of the link sends it. Otherwise it waits until
        the queued transfers are sent. Live answers must not wait behind transfers.

        """
        size = self.plan.live_bytes_per_s / 10
        while True:
            started_at = time.monotonic()
            available_bytes_per_s = self.plan.bytes_per_s * (1 - self.plan.share)
            await curio.sleep(
                size / available_bytes_per_s
                if available_bytes_per_s
                else self.link.outbound.backlog_s
            )
            self.live_waits.append(time.monotonic() - started_at)
            await curio.sleep(0.1)


async def _run(plan: Plan) -> None:
    nodes = [Node(plan, spec) for spec in plan.nodes if spec.name in plan.mine]
    async with curio.timeout_after(RUN_TIMEOUT_S):
        async with curio.TaskGroup() as group:
            for node in nodes:
                await group.spawn(node.run)
            async for task in group:
                print(json.dumps(task.result), flush=True)
        # Serve chunks to the nodes of other processes until the parent sends a line.
        await curio.run_in_thread(sys.stdin.readline)


def main() -> None:
    plan = msgspec.json.decode(sys.stdin.readline(), type=Plan)
    curio.run(_run, plan)


if __name__ == '__main__':
    main()
