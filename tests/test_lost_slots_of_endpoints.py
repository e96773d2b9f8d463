"""
Requests that are cancelled before their task at the endpoint runs, which must cost no slot.

After a pause, an endpoint finds `Reserve` and `Cancel` of the same request together.

"""

import curio

from millfork_core.verdicts import Reason, Verdict
from millfork_wire.messages import Cancel
from tests.test_backend_gateway import GatewayHarness


def assert_no_slot_is_taken(harness):
    queue = harness.gateway.queue
    assert (queue.running, queue.waiting, harness.gateway.in_progress) == (0, 0, 0)


def test_a_cancel_before_the_task_of_its_request_runs_frees_the_slot():
    harness = GatewayHarness()

    async def run():
        assert (await harness.reserve()).ok
        cancelled = await harness.gateway.on_cancel(harness.connection, Cancel('r'))
        assert cancelled.verdict == Verdict.NOT_RUN.value
        await harness.run_pending_tasks()
        assert_no_slot_is_taken(harness)

    curio.run(run)


def test_an_entry_that_is_lost_before_the_task_of_its_request_runs_frees_the_slot():
    harness = GatewayHarness()

    async def run():
        assert (await harness.reserve()).ok
        harness.connection.closed = True
        await harness.gateway.on_closed(harness.connection)
        await harness.run_pending_tasks()
        assert_no_slot_is_taken(harness)

    curio.run(run)


def test_a_cancel_that_is_handled_before_its_reservation_refuses_it():
    harness = GatewayHarness()

    async def run():
        await harness.gateway.on_cancel(harness.connection, Cancel('r'))
        reserved = await harness.reserve()
        assert (reserved.ok, reserved.reason) == (False, Reason.EXPIRED.value)
        await harness.run_pending_tasks()
        assert_no_slot_is_taken(harness)

    curio.run(run)


def test_a_slow_entry_that_lost_its_connection_gets_no_slot():
    harness = GatewayHarness()

    async def run():
        harness.connection.closed = True
        await harness.gateway.on_closed(harness.connection)
        await harness.reserve()
        await harness.run_pending_tasks()
        assert_no_slot_is_taken(harness)

    curio.run(run)
