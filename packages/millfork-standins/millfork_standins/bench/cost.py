"""
Measures the CPU, memory and control traffic of idle daemons and the cost of configuration changes,
by the size of the fleet; the memory of stored items; and the CPU and latency of requests.

The tables of `docs/CAPACITY.md` are computed from the results of this experiment.

"""

import json
import statistics
import tempfile
import threading
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass, replace
from pathlib import Path
from typing import Any, Final

import psutil

from millfork_core.ids import InstanceId, Revision, ServiceName, ZoneId
from millfork_standins.bench.results import ExperimentResults
from millfork_standins.deployments import LANTING
from millfork_standins.fleet import Fleet
from millfork_standins.layout import ADMIN_PORT, BACKEND_PORT, CALLERS_PORT, FleetOptions
from millfork_standins.requests import fetch
from millfork_state.commands import ClaimKey, SettleKey
from millfork_state.config import InstanceFacts
from millfork_state.state_machine import StateMachine
from millfork_state.view import StoredValue, View

IDLE_S: Final = 10.0
CHANGES: Final = 60
REQUESTS: Final = 300
TOKENS: Final = 200
SAMPLE_SIZE: Final = 20_000
KIB: Final = 1024
POOL: Final = 'millfork-pool'


@dataclass(frozen=True, slots=True)
class DaemonUsage:
    """
    The CPU time and control traffic of a daemon since its start, and its present resident memory.
    The keys of `control_bytes` are 'in' and 'out' (messages between daemons) and 'platform' (polls
    of the platform's instance list).

    """

    cpu_s: float
    resident_bytes: int
    control_bytes: dict[str, float]


def read_usage(fleet: Fleet, name: str) -> DaemonUsage:
    process = psutil.Process(fleet.processes[name].pid)
    times = process.cpu_times()
    text = fetch('GET', fleet.instances[name].host, ADMIN_PORT, '/metrics').body.decode()
    control_bytes = {}
    for line in text.splitlines():
        if line.startswith('millfork_wire_bytes_total{'):
            control_bytes[line.split('"')[1]] = float(line.rsplit(' ', 1)[1])
    return DaemonUsage(times.user + times.system, process.memory_info().rss, control_bytes)


def _make_fleet(folder: Path, endpoints: int) -> Fleet:
    shape = replace(LANTING, engines=0, plain_services={POOL: endpoints}, network_number=120)
    options = FleetOptions(log_level='WARNING', service={'answer_ms': 0})
    return Fleet(shape, folder, options)


def _daemons_by_role(fleet: Fleet) -> dict[str, list[str]]:
    """
    The names of the daemons to measure, by role: the leader, the other replicas, the entries
    without a disk, and at most 12 endpoint daemons.

    """
    leader = _find_leader(fleet)
    return {
        'leader': [leader],
        'replica': [replica.name for replica in fleet.replicas if replica.name != leader],
        'entry': [entry.name for entry in fleet.entries if not entry.has_disk],
        'endpoint': [i.name for i in fleet.instances.values() if i.role == 'endpoint'][:12],
    }


def _find_leader(fleet: Fleet) -> str:
    for replica in fleet.replicas:
        text = fetch('GET', replica.host, ADMIN_PORT, '/metrics').body.decode()
        if 'millfork_leader 1' in text:
            return replica.name
    raise RuntimeError('no replica is the leader')


def measure_control(results: ExperimentResults, endpoints: int) -> None:
    """
    Measure the cost of idle daemons and of configuration changes in a fleet with this many
    endpoints.

    """
    with tempfile.TemporaryDirectory(prefix='millfork-bench-') as folder:
        fleet = _make_fleet(Path(folder), endpoints)
        try:
            fleet.start(backends=False, timeout=120)
            fleet.apply(fleet.organisations_declaration())
            time.sleep(2)
            _measure_idle(results, fleet, endpoints)
            _measure_changes(results, fleet, endpoints)
        finally:
            fleet.close()


def _measure_idle(results: ExperimentResults, fleet: Fleet, endpoints: int) -> None:
    roles = _daemons_by_role(fleet)
    names = [name for members in roles.values() for name in members]
    before = {name: read_usage(fleet, name) for name in names}
    time.sleep(IDLE_S)
    for role, members in roles.items():
        after = {name: read_usage(fleet, name) for name in members}
        case = f'{role}, {endpoints} endpoints'
        cpu = [(after[n].cpu_s - before[n].cpu_s) / IDLE_S * 100 for n in members]
        results.add(case, 'idle_cpu', '% of a core', statistics.mean(cpu))
        memory = [after[name].resident_bytes / KIB / KIB for name in members]
        results.add(case, 'memory', 'MiB', statistics.mean(memory))
        for direction in ('in', 'out', 'platform'):
            rate = [
                (
                    after[n].control_bytes.get(direction, 0)
                    - before[n].control_bytes.get(direction, 0)
                )
                / IDLE_S
                for n in members
            ]
            results.add(case, f'idle_bytes_{direction}', 'B/s', statistics.mean(rate))
            results.add(case, f'idle_bytes_{direction}_worst', 'B/s', max(rate))


def _measure_changes(results: ExperimentResults, fleet: Fleet, endpoints: int) -> None:
    roles = _daemons_by_role(fleet)
    names = [name for members in roles.values() for name in members]
    started_at = time.monotonic()
    before = {name: read_usage(fleet, name) for name in names}
    delays: list[float] = []
    for number in range(CHANGES):
        submitted_at = time.monotonic()
        labels = {'one': {'generation': str(number)}}
        revision = fleet.apply({'organisation': 'bench', 'labels': labels})
        delays.append(_wait_until_in_force(fleet, revision) - submitted_at)
    elapsed_s = time.monotonic() - started_at
    medians = {(row.case, row.metric): row.value for row in results.rows()}
    for role, members in roles.items():
        case = f'{role}, {endpoints} endpoints'
        after = {name: read_usage(fleet, name) for name in members}
        cpu = statistics.mean(after[n].cpu_s - before[n].cpu_s for n in members)
        cpu -= medians[(case, 'idle_cpu')] / 100 * elapsed_s
        results.add(case, 'cpu_per_change', 'ms', max(cpu, 0) / CHANGES * 1000)
        for direction in ('in', 'out'):
            control_bytes = statistics.mean(
                after[n].control_bytes[direction] - before[n].control_bytes[direction]
                for n in members
            )
            control_bytes -= medians[(case, f'idle_bytes_{direction}')] * elapsed_s
            results.add(case, f'bytes_per_change_{direction}', 'B', control_bytes / CHANGES)
    delays.sort()
    case = f'fleet, {endpoints} endpoints'
    results.add(case, 'in_force_p50', 's', delays[len(delays) // 2])
    results.add(case, 'in_force_worst', 's', delays[-1])


def _wait_until_in_force(fleet: Fleet, revision: int) -> float:
    """
    Wait until every daemon has applied the configuration up to this revision. Returns the monotonic
    time after the last query, so measured delays include the time to query all daemons.

    """
    for instance in fleet.instances.values():
        while True:
            answer = fetch('GET', instance.host, ADMIN_PORT, '/readyz')
            if answer.json()['revision'] >= revision:
                break
            time.sleep(0.005)
    return time.monotonic()


def measure_memory(results: ExperimentResults) -> None:
    """
    Measure the memory in bytes that each of these takes: a key of the configuration, a settled
    claim of an idempotency key (with an answer of 100 bytes), and an instance on the platform's
    list.

    """

    def build_view() -> Any:
        view = View()
        for number in range(SAMPLE_SIZE):
            key = f'labels/organisation-{number % 300}/instance-{number}'
            view.apply_change(
                Revision(number + 1), {key: StoredValue(b'{"tier":"gold"}', Revision(1))}, []
            )
        return view

    def build_claims() -> Any:
        machine = StateMachine(View())
        for number in range(SAMPLE_SIZE):
            key = f'organisation/service/{number:032x}'
            machine.apply(ClaimKey(key, f'{number:032x}', 'f' * 64, number))
            headers = [('content-type', 'application/json')]
            machine.apply(SettleKey(key, f'{number:032x}', False, 200, headers, b'x' * 100))
        return machine

    def build_instance_list() -> Any:
        return {
            f'instance-{number}': InstanceFacts(
                InstanceId(f'instance-{number}'),
                f'127.0.{number // 250}.{number % 250}',
                7400,
                ZoneId('zone'),
                'region',
                'endpoint',
                ServiceName('service'),
            )
            for number in range(SAMPLE_SIZE)
        }

    builders: dict[str, Callable[[], Any]] = {
        'key of the configuration': build_view,
        'claim of an idempotency key': build_claims,
        'listed instance': build_instance_list,
    }
    for name, build in builders.items():
        tracemalloc.start()
        built = build()
        size, _ = tracemalloc.get_traced_memory()
        tracemalloc.stop()
        results.add(name, 'memory_each', 'B', size / SAMPLE_SIZE)
        del built


def measure_requests(results: ExperimentResults) -> None:
    """
    Measure the CPU and latency of a request to a plain service (one without engines), and the CPU
    of a streamed token.

    """
    with tempfile.TemporaryDirectory(prefix='millfork-bench-') as folder:
        shape = replace(LANTING, engines=1, plain_services={POOL + '-plain': 1}, network_number=120)
        shape = replace(shape, entries=3)
        options = FleetOptions(log_level='WARNING', service={'answer_ms': 0})
        options.engine = {'first_token_ms': 0, 'cached_first_token_ms': 0, 'token_ms': 1}
        options.backend = {'slots': 64}
        options.engine['slots'] = 64
        fleet = Fleet(shape, Path(folder), options)
        try:
            fleet.start()
            fleet.apply(fleet.organisations_declaration())
            fleet.apply(fleet.deployment_declaration('v1'))
            time.sleep(4)
            _measure_plain(results, fleet)
            _measure_tokens(results, fleet)
        finally:
            fleet.close()


def _measure_plain(results: ExperimentResults, fleet: Fleet) -> None:
    service = POOL + '-plain'
    endpoint = next(i for i in fleet.instances.values() if i.service == service)
    entry = next(entry for entry in fleet.entries if entry.zone == endpoint.zone)
    token = fleet.caller_tokens[fleet.shape.organisations[0]]
    headers = {'authorization': f'Bearer {token}'}

    def send_through_fleet() -> None:
        answer = fetch('GET', entry.host, CALLERS_PORT, f'/services/{service}/x', b'', headers)
        assert answer.status == 200, answer.body

    def send_directly() -> None:
        assert fetch('GET', endpoint.host, BACKEND_PORT, '/x').status == 200

    before = {name: read_usage(fleet, name) for name in (entry.name, endpoint.name)}
    fleet_s = _median_duration_s(send_through_fleet)
    after = {name: read_usage(fleet, name) for name in before}
    direct_s = _median_duration_s(send_directly)
    for role, name in (('entry', entry.name), ('endpoint', endpoint.name)):
        cpu = (after[name].cpu_s - before[name].cpu_s) / REQUESTS
        results.add('plain request', f'{role}_cpu', 'ms', cpu * 1000)
    results.add('plain request', 'latency_p50', 'ms', fleet_s * 1000, 'direct request')
    results.add('direct request', 'latency_p50', 'ms', direct_s * 1000)


def _median_duration_s(call: Callable[[], None]) -> float:
    durations_s = []
    for _ in range(REQUESTS):
        started_at = time.monotonic()
        call()
        durations_s.append(time.monotonic() - started_at)
    return statistics.median(durations_s)


def _measure_tokens(results: ExperimentResults, fleet: Fleet) -> None:
    """
    Measure the CPU time that an entry and an endpoint daemon spend on each token, while several
    streams run at once.

    """
    engine = fleet.engines[0]
    entry = next(entry for entry in fleet.entries if entry.zone == engine.zone)
    token = fleet.caller_tokens[fleet.shape.organisations[0]]
    headers = {'authorization': f'Bearer {token}', 'millfork-repeatable': 'yes'}
    body = {'model': 'main', 'prompt': 'p', 'max_tokens': TOKENS, 'stream': True, 'nonce': 'n'}
    data = json.dumps(body).encode()
    streams = 16

    def stream() -> None:
        answer = fetch('POST', entry.host, CALLERS_PORT, '/v1/completions', data, headers)
        assert answer.status == 200 and answer.body.endswith(b'[DONE]\n\n'), answer.body[-200:]

    before = {name: read_usage(fleet, name) for name in (entry.name, engine.name)}
    threads = [threading.Thread(target=stream) for _ in range(streams)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    for role, name in (('entry', entry.name), ('endpoint', engine.name)):
        cpu = read_usage(fleet, name).cpu_s - before[name].cpu_s
        results.add('streamed token', f'{role}_cpu', 'us', cpu / streams / TOKENS * 1e6)


def run(repetitions: int, quick: bool) -> Path:
    """
    Run the experiment. With `quick`, configuration changes and idle daemons are not measured.
    Returns the path of the JSON file with the results.

    """
    sizes = () if quick else (8, 32, 128)
    settings = {'endpoints': sizes, 'idle_s': IDLE_S, 'changes': CHANGES, 'requests': REQUESTS}
    results = ExperimentResults('cost', {**settings, 'repetitions': repetitions})
    measure_memory(results)
    for _ in range(repetitions):
        measure_requests(results)
        for endpoints in sizes:
            measure_control(results, endpoints)
    return results.write()
