"""
A request that silences the back ends that run it.

A back end whose whole instance loses power under a request closes nothing: its connections
and its address are silent. An end was proved by a refused connection alone, at the moment at
which the answer broke off, so such a request ended one back end after another and was never
counted: `Not known whether a back end ended. server=i-1 error=TaskTimeout`, and no more was
looked. Behind a cut it is as silent, but there the back end is heard again; one that lost power
refuses connections once its instance is back, or lives on as another incarnation.

"""

import curio
import pytest

from millfork_core.environment import Environment
from millfork_core.ids import Fingerprint, InstanceId, ServiceName, ZoneId
from millfork_registry.suspicion_store import Suspicion, SuspicionStore
from millfork_scheduling.server import Server
from millforkd.proxy import ends as ends_module
from millforkd.proxy.ends import Address, Ends

FINGERPRINT = Fingerprint('ab')
ENOUGH_S = 5.0


@pytest.fixture(autouse=True)
def quick_looks(monkeypatch):
    monkeypatch.setattr(ends_module, 'WATCH_EVERY_S', 0.001)
    monkeypatch.setattr(ends_module, 'WATCHED_S', 0.2)


def ends_counted(found, meanwhile=None):
    """
    The ends counted of a request whose answer broke off at a back end, where looks at its
    address find these things, and the last one ever after.

    """

    async def run():
        env = Environment(InstanceId('a:1'), ZoneId('z1'))
        suspects = SuspicionStore(env.monotonic)
        ends = Ends(env, suspects)
        server = Server(InstanceId('i-1'), ServiceName('s'), '127.0.0.1', 1, ZoneId('z1'), 16)
        looks = list(found)

        async def look(server):
            if len(looks) == 1 and meanwhile is not None:
                meanwhile(server, env)
            return looks.pop(0) if len(looks) > 1 else looks[0]

        ends.look = look
        await ends.note_broken(server, Suspicion(FINGERPRINT))
        try:
            async with curio.timeout_after(ENOUGH_S):
                while not suspects.get(FINGERPRINT).ends and len(looks) > 1:
                    await curio.sleep(0.001)
        except curio.TaskTimeout:
            pass
        # What is known by now is noted within the next look.
        await curio.sleep(0.05)
        return suspects.get(FINGERPRINT).ends

    return curio.run(run)


def test_a_back_end_that_was_silent_and_refuses_then_has_ended():
    silent = [Address.SILENT] * 5
    assert ends_counted([*silent, Address.REFUSES]) == 1


def test_one_that_was_silent_and_lives_on_as_another_incarnation_has_ended():
    def replace(server, env):
        server.replaced = True

    assert ends_counted([Address.SILENT] * 5, replace) == 1


def test_one_behind_a_cut_that_is_heard_again_has_not():
    def hear(server, env):
        server.heard_at = env.monotonic() + 1

    assert ends_counted([Address.SILENT] * 5, hear) == 0


def test_nor_has_one_that_takes_connections_again():
    assert ends_counted([Address.SILENT] * 3 + [Address.ANSWERS]) == 0


def test_of_one_that_stays_silent_nothing_is_known():
    assert ends_counted([Address.SILENT] * 5) == 0
