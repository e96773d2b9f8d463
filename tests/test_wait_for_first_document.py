"""
Callers of a starting entry wait for the entry's first document (the configuration with its
routes), for a bounded time.

"""

import curio
import pytest

from millfork_adapter.exchange import CallerRequest
from millfork_core.environment import Environment
from millfork_core.ids import InstanceId, ServiceName, ZoneId
from millfork_core.verdicts import Reason, Refused
from millfork_routing.documents import Document, Route, RouteKind, Service, Share
from millfork_routing.routes import RouteTable
from millfork_state.view import View
from millforkd.proxy import admission as admission_module
from millforkd.proxy.admission import Admission
from millforkd.versions import VersionTracker


def admission():
    env = Environment(InstanceId('a:1'), ZoneId('z1'))
    return Admission(env, VersionTracker(env, View(), 8000))


def caller(deadline_ms):
    return CallerRequest('id', 'host', '/', deadline_ms=deadline_ms)


async def waited_s(admitting, wait):
    started_at = admitting.env.monotonic()
    await wait
    return admitting.env.monotonic() - started_at


def test_a_caller_waits_for_the_first_document():
    async def run():
        admitting = admission()
        waiting = await curio.spawn(admitting.wait_until_ready, caller(6000))
        await curio.sleep(0)
        assert not waiting.terminated
        await admitting.ready_event.set()
        await waiting.join()
        assert admitting.env.monotonic() - admitting.created_at < admission_module.STARTUP_WAIT_S

    curio.run(run)


@pytest.mark.parametrize(('deadline_ms', 'max_s'), [(400, 0.1), (60_000, 0.2)])
def test_the_wait_is_bounded_by_the_deadline_and_the_startup_period(
    monkeypatch, deadline_ms, max_s
):
    monkeypatch.setattr(admission_module, 'STARTUP_WAIT_S', 0.2)

    async def run():
        admitting = admission()
        took_s = await waited_s(admitting, admitting.wait_until_ready(caller(deadline_ms)))
        assert max_s * 0.9 < took_s < max_s + 1.0
        again_s = await waited_s(admitting, admitting.wait_until_ready(caller(deadline_ms)))
        assert again_s < max_s + 1.0

    curio.run(run)


def test_no_caller_waits_after_the_startup_period(monkeypatch):
    monkeypatch.setattr(admission_module, 'STARTUP_WAIT_S', 0.0)

    async def run():
        admitting = admission()
        async with curio.timeout_after(5.0):
            await admitting.wait_until_ready(caller(6000))

    curio.run(run)


def route_table():
    shares = (Share(ServiceName('s'), 1),)
    route = Route('r', 'host', '/', RouteKind.SAFE, 4000, 300, 1, shares, 2, True, False, 0)
    return RouteTable(Document(1, (route,), (Service(ServiceName('s'), 4),), ()))


def test_the_wait_is_subtracted_from_the_deadline():
    # The deadline counts from the arrival of the request. When it was counted from the end of the
    # wait, a back end got more time than the caller had left, by up to a quarter of the deadline:
    # the full 1500 ms after a wait of 375 ms.
    admitting = admission()
    admitting.table = route_table()
    received_at = admitting.env.monotonic() - 0.375
    job = admitting.admit(None, caller(1500), received_at)
    assert job.remaining_s(received_at) == pytest.approx(1.5)
    with pytest.raises(Refused) as refused:
        admitting.admit(None, caller(370), received_at)
    assert refused.value.refusal.reason is Reason.EXPIRED
