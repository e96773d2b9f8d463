"""
Orders to the engine come from one process, under numbers that only grow.

"""

import curio
import pytest

from millfork_core.environment import Environment
from millfork_core.ids import FencingNumber, InstanceId, ZoneId
from millfork_core.status import ExitStatus
from millfork_settings.models import Address, BackendKind, BackendSettings
from millfork_standins.deployments import LANTING
from millfork_standins.execution_log import read_executions
from millfork_standins.fleet import Fleet
from millfork_standins.layout import BACKEND_PORT, FleetOptions
from millforkd.endpoint.engine import Engine, OrderFailed
from tests.utils.fleets import wait_until


@pytest.fixture(params=[True, False], ids=['refuses-old', 'ignores-numbers'])
def fleet(request, tmp_path):
    made = Fleet(LANTING, tmp_path, FleetOptions(engine={'refuses_old_orders': request.param}))
    made.start_standins()
    made.start_backend(made.engines[0])
    made.wait_http(f'{made.engines[0].name}.backend', made.engines[0].host, BACKEND_PORT, '/status')
    yield made
    made.close()


def order_giver(instance):
    settings = BackendSettings(
        kind=BackendKind.ENGINE,
        service='millfork-pool',
        address=Address(host=instance.host, port=BACKEND_PORT),
    )
    return Engine(Environment(InstanceId('e'), ZoneId('z')), settings, instance.host)


def test_a_successor_numbers_above_its_predecessor(fleet):
    instance = fleet.engines[0]

    async def take_over():
        first = order_giver(instance)
        await first.poll()
        await first.unload('x')
        second = order_giver(instance)
        await second.poll()
        await second.unload('x')
        return first, second

    first, second = curio.run(take_over)
    assert second.number > first.number


def test_an_old_order_is_refused_by_engines_that_look(fleet):
    instance = fleet.engines[0]

    async def order_late():
        first = order_giver(instance)
        await first.poll()
        second = order_giver(instance)
        second.number = FencingNumber(first.number + 1)
        await second.unload('x')
        await first.unload('late')

    refuses = fleet.options.engine['refuses_old_orders']
    if refuses:
        with pytest.raises(OrderFailed, match='higher fencing number'):
            curio.run(order_late)
    else:
        curio.run(order_late)
    late = [
        line for line in read_executions(fleet.execution_log_path(instance.name)) if line['old']
    ]
    assert len(late) == (0 if refuses else 1)


def test_no_second_order_giver_beside_a_running_or_frozen_one(fleet):
    """
    For engines that ignore numbers the order-giver itself must be singular.

    """
    instance = fleet.engines[0]
    name = instance.name
    fleet.start_daemon(instance)
    fleet.wait_http(name, instance.host, 9400, '/livez')
    first = fleet.processes.pop(name)
    try:
        for frozen in (False, True):
            if frozen:
                fleet.processes[name] = first
                fleet.freeze(name)
                del fleet.processes[name]
            fleet.start_daemon(instance)
            second = fleet.processes[name]
            wait_until(lambda second=second: second.poll() is not None)
            assert second.returncode == ExitStatus.ERROR
    finally:
        fleet.processes[name] = first
