"""
An entry that starts: callers wait for its first document and loads, not for ever.

"""

from random import Random
from types import SimpleNamespace

import curio
import pytest

from millfork_adapter.exchange import CallerRequest
from millfork_core.environment import Environment
from millfork_core.ids import InstanceId, ServiceName, ZoneId
from millfork_registry.records import EndpointState
from millfork_scheduling.book import ServerBook
from millfork_scheduling.placement import Wanted
from millfork_state.view import View
from millforkd.proxy import admission as admissions
from millforkd.proxy.admission import Admission
from millforkd.versions import Versions
from tests.test_servers import ENGINE, lease


def admission():
    env = Environment(InstanceId('a:1'), ZoneId('z1'))
    return Admission(env, Versions(env, View(), 8000))


def caller(deadline_ms):
    return CallerRequest('id', 'host', '/', deadline_ms=deadline_ms)


async def waited_s(made, wait):
    began = made.env.monotonic()
    await wait
    return made.env.monotonic() - began


def test_a_caller_waits_until_there_is_something_to_serve_with():
    async def run():
        made = admission()
        waiting = await curio.spawn(made.until_begun, caller(6000))
        await curio.sleep(0)
        assert not waiting.terminated
        await made.begun.set()
        await waiting.join()
        assert made.env.monotonic() - made.began < admissions.BEGINNING_S

    curio.run(run)


@pytest.mark.parametrize(('deadline_ms', 'most_s'), [(400, 0.1), (60_000, 0.2)])
def test_it_waits_for_no_more_than_a_part_of_its_time_and_of_the_beginning(
    monkeypatch, deadline_ms, most_s
):
    monkeypatch.setattr(admissions, 'BEGINNING_S', 0.2)

    async def run():
        made = admission()
        took_s = await waited_s(made, made.until_begun(caller(deadline_ms)))
        assert most_s * 0.9 < took_s < most_s + 1.0
        again_s = await waited_s(made, made.until_begun(caller(deadline_ms)))
        assert again_s < most_s + 1.0

    curio.run(run)


def test_later_nobody_waits(monkeypatch):
    monkeypatch.setattr(admissions, 'BEGINNING_S', 0.0)

    async def run():
        made = admission()
        async with curio.timeout_after(5.0):
            await made.until_begun(caller(6000))

    curio.run(run)


def test_only_requests_to_engines_wait_for_loads():
    async def run():
        made = admission()
        plain = SimpleNamespace(wanted=Wanted(ServiceName('s')), caller=caller(6000))
        async with curio.timeout_after(0.5):
            await made.until_informed(plain)
        engine = SimpleNamespace(wanted=Wanted(ServiceName('s'), ENGINE), caller=caller(6000))
        waiting = await curio.spawn(made.until_informed, engine)
        await curio.sleep(0)
        assert not waiting.terminated
        await made.informed.set()
        await waiting.join()

    curio.run(run)


def test_the_load_of_half_of_the_engines_is_enough():
    book = ServerBook(ZoneId('z1'), Random(1), lambda: 100.0)
    assert not book.is_informed()
    leases = [lease(name) for name in ('a', 'b', 'c', 'd')]
    book.take_leases(leases)
    for number, item in enumerate(leases[:2]):
        assert not book.is_informed()
        state = EndpointState(
            f'e-{number}', 's', 'z1', item.host, item.port, 1, '', True, served=item.served
        )
        book.take_reports([state])
    assert book.is_informed()
