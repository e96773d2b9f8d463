"""
Endpoint daemons that end between a load order and the report that shows its layers. The next
process can't know what its predecessor had read back, so no engine may serve a layer that was
loaded from a piece that had been bad for over 3 s.

"""

import curio
import pytest

from tests.test_stale_pieces import LATE_ORDER_S, PIECES, Daemon, StagingEngine, spoil_after_order


class RestartedDaemon(Daemon):
    """
    A process of the endpoint daemon, with the states of daemons that it receives with its feed.

    """

    def __init__(self, engine, announced=()):
        super().__init__(engine)
        self.rollout.fleet.states = lambda: list(announced)
        self.tasks = []

    async def start(self):
        self.tasks.append(await curio.spawn(self._report))
        await self.until(lambda: self.rollout.report is not None)
        for run in (self.rollout.run, self.expiry.run, self._check):
            self.tasks.append(await curio.spawn(run))

    async def end(self):
        for task in self.tasks:
            await task.cancel()


@pytest.mark.parametrize('spoiled', [(0,), range(PIECES)], ids=len)
def test_layers_of_an_ended_daemon_are_not_used_if_their_pieces_were_bad(spoiled):
    async def run():
        engine = StagingEngine(unanswered_delays=[LATE_ORDER_S])
        engine.on_first_stage = spoil_after_order(engine, spoiled)
        first = RestartedDaemon(engine)
        await first.start()
        await first.until(lambda: engine.orders)
        await first.end()
        await first.until(lambda: engine.served.version == 2)
        assert engine.worst_bad_s > 3.0
        second = RestartedDaemon(engine)
        await second.start()
        await second.until_changed()
        await second.end()
        return second

    assert curio.run(run).violations == []
