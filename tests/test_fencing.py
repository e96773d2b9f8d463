"""
Only one endpoint daemon controls an engine. Each new daemon process takes a higher fencing number,
so that the engine can refuse late load and unload orders of the previous process. No second daemon
starts beside a running or frozen one.

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
from millforkd.endpoint.engine_client import EngineClient, OrderFailed
from tests.utils.fleets import wait_until


@pytest.fixture(params=[True, False], ids=['refuses-old', 'ignores-numbers'])
def fleet(request, tmp_path):
    new_fleet = Fleet(LANTING, tmp_path, FleetOptions(engine={'refuses_old_orders': request.param}))
    new_fleet.start_standins()
    new_fleet.start_backend(new_fleet.engines[0])
    new_fleet.wait_http(
        f'{new_fleet.engines[0].name}.backend', new_fleet.engines[0].host, BACKEND_PORT, '/status'
    )
    yield new_fleet
    new_fleet.close()


def make_engine_client(instance):
    settings = BackendSettings(
        kind=BackendKind.ENGINE,
        service='millfork-pool',
        address=Address(host=instance.host, port=BACKEND_PORT),
    )
    return EngineClient(Environment(InstanceId('e'), ZoneId('z')), settings, instance.host)


def test_a_successor_takes_a_higher_fencing_number(fleet):
    instance = fleet.engines[0]

    async def run_both_clients():
        first = make_engine_client(instance)
        await first.poll()
        await first.unload('x')
        second = make_engine_client(instance)
        await second.poll()
        await second.unload('x')
        return first, second

    first, second = curio.run(run_both_clients)
    assert second.number > first.number


def test_engines_that_check_numbers_refuse_old_orders(fleet):
    instance = fleet.engines[0]

    async def send_late_order():
        first = make_engine_client(instance)
        await first.poll()
        second = make_engine_client(instance)
        second.number = FencingNumber(first.number + 1)
        await second.unload('x')
        await first.unload('late')

    refuses = fleet.options.engine['refuses_old_orders']
    if refuses:
        with pytest.raises(OrderFailed, match='higher fencing number'):
            curio.run(send_late_order)
    else:
        curio.run(send_late_order)
    late = [
        line for line in read_executions(fleet.execution_log_path(instance.name)) if line['old']
    ]
    assert len(late) == (0 if refuses else 1)


def test_a_second_endpoint_cannot_start_beside_a_running_or_frozen_one(fleet):
    """
    Engines that ignore fencing numbers rely on there being only one endpoint daemon.

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
