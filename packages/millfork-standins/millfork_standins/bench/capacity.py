"""
Computes the tables of `docs/CAPACITY.md` from the results of the cost experiment.

`python -m millfork_standins.bench.capacity` reads `build/bench/cost.json` and prints the tables.
The tables contain only measured costs, and values computed from these costs and from the planned
size of the fleet. The last line gives the CPU time of planning distribution trees, which is
measured by this script itself.

"""

import json
import random
import time
from pathlib import Path
from typing import Final

from millfork_core.ids import Digest, InstanceId, ZoneId
from millfork_standins.bench.results import RESULTS_FOLDER
from millfork_weights.trees import Receiver, plan_trees

# The planned size and load of the fleet in two years. Each server runs one endpoint daemon.
ENTRIES: Final = 380
SERVERS: Final = 2800
ZONES: Final = 11
CHANGES_PER_DAY: Final = 9400
ROLLOUT_INSTANCES: Final = 310
REQUESTS_PER_S: Final = 33_000
TOKENS_PER_S: Final = 13_000_000
DAY_S: Final = 86_400
CONFIGURATION_KEYS: Final = 300 + 1000 + SERVERS

# Budget of one daemon for control, that is for all its work except requests. CPU is in % of a core.
CPU_BUDGET_PERCENT: Final = 1.2
MEMORY_BUDGET_MIB: Final = 128
CONTROL_BUDGET_BYTES_PER_S: Final = 2048

# Sizes of the measured fleets in endpoints.
SMALL, MIDDLE, LARGE = 8, 32, 128
# The number of endpoints that one entry connects to, by the number of endpoints in the fleet. In
# the largest fleet an entry connects to a subset of them.
CONNECTIONS: Final = {SMALL: 8, MIDDLE: 32, LARGE: 40}
CONTROL_BYTE_METRICS: Final = ('idle_bytes_in', 'idle_bytes_out', 'idle_bytes_platform')


class CostMedians:
    """
    Medians from the results file of the cost experiment, by case and metric.

    """

    def __init__(self, path: Path) -> None:
        rows = json.loads(path.read_text())['rows']
        self.values = {(row['case'], row['metric']): row['value'] for row in rows}

    def median(self, role: str, metric: str, endpoints: int) -> float:
        return float(self.values[(f'{role}, {endpoints} endpoints', metric)])

    def control_bytes_per_s(self, role: str, endpoints: int) -> float:
        """
        The control traffic of one idle daemon in bytes/s: received messages, sent messages, and
        polls of the platform's instance list.

        """
        return sum(self.median(role, metric, endpoints) for metric in CONTROL_BYTE_METRICS)


def _idle_table(medians: CostMedians) -> list[str]:
    lines = [
        '| role | CPU, % of a core: 8, 32, 128 endpoints | memory, MiB | control, B/s |',
        '|---|---|---|---|',
    ]
    for role in ('leader', 'replica', 'entry', 'endpoint'):
        cells = []
        for metric, digits in (('idle_cpu', 2), ('memory', 1)):
            values = [medians.median(role, metric, size) for size in (SMALL, MIDDLE, LARGE)]
            cells.append(', '.join(f'{value:.{digits}f}' for value in values))
        control_bytes = [medians.control_bytes_per_s(role, size) for size in (SMALL, MIDDLE, LARGE)]
        cells.append(', '.join(f'{value:.0f}' for value in control_bytes))
        lines.append(f'| {role} | ' + ' | '.join(cells) + ' |')
    return lines


def _slope(small: float, middle: float) -> float:
    return (middle - small) / (CONNECTIONS[MIDDLE] - CONNECTIONS[SMALL])


def _slopes_table(medians: CostMedians) -> list[str]:
    cpu = _slope(
        medians.median('entry', 'idle_cpu', SMALL), medians.median('entry', 'idle_cpu', MIDDLE)
    )
    control_bytes = _slope(
        medians.control_bytes_per_s('entry', SMALL), medians.control_bytes_per_s('entry', MIDDLE)
    )
    base_cpu = medians.median('entry', 'idle_cpu', SMALL) - cpu * CONNECTIONS[SMALL]
    base_bytes = medians.control_bytes_per_s('entry', SMALL) - control_bytes * CONNECTIONS[SMALL]
    max_endpoints_by_cpu = (CPU_BUDGET_PERCENT - base_cpu) / cpu
    max_endpoints_by_bytes = (CONTROL_BUDGET_BYTES_PER_S - base_bytes) / control_bytes
    return [
        '| of an entry | base | for each connected endpoint | budget | reached at |',
        '|---|---|---|---|---|',
        f'| CPU, % of a core | {base_cpu:.2f} | {cpu:.4f} | {CPU_BUDGET_PERCENT} '
        f'| {max_endpoints_by_cpu:.0f} endpoints |',
        f'| control, B/s | {base_bytes:.0f} | {control_bytes:.1f} | {CONTROL_BUDGET_BYTES_PER_S} '
        f'| {max_endpoints_by_bytes:.0f} endpoints |',
    ]


def _changes_table(medians: CostMedians) -> list[str]:
    changes_per_s = CHANGES_PER_DAY / DAY_S
    lines = [
        f'| role | CPU of one change, ms | at {changes_per_s:.3f} changes/s, % of a core '
        '| bytes of one change, in and out | at that rate, B/s |',
        '|---|---|---|---|---|',
    ]
    for role in ('leader', 'replica', 'entry', 'endpoint'):
        cpu = medians.median(role, 'cpu_per_change', LARGE)
        control_bytes = [
            max(medians.median(role, f'bytes_per_change_{direction}', LARGE), 0)
            for direction in ('in', 'out')
        ]
        lines.append(
            f'| {role} | {cpu:.1f} | {cpu * changes_per_s / 10:.2f} '
            f'| {control_bytes[0]:.0f}, {control_bytes[1]:.0f} '
            f'| {sum(control_bytes) * changes_per_s:.0f} |'
        )
    return lines


def _memory_table(medians: CostMedians) -> list[str]:
    bytes_each = {
        name: medians.values[(name, 'memory_each')]
        for name in (
            'key of the configuration',
            'listed instance',
            'claim of an idempotency key',
        )
    }
    listed_instances = ENTRIES + SERVERS
    available_mib = MEMORY_BUDGET_MIB - medians.median('replica', 'memory', LARGE)
    claims = available_mib * 1024 * 1024 / bytes_each['claim of an idempotency key']
    mib = 1024 * 1024
    return [
        '| what grows | bytes each | number | MiB |',
        '|---|---|---|---|',
        f'| key of the configuration | {bytes_each["key of the configuration"]:.0f} '
        f'| {CONFIGURATION_KEYS} '
        f'| {bytes_each["key of the configuration"] * CONFIGURATION_KEYS / mib:.1f} |',
        f'| listed instance | {bytes_each["listed instance"]:.0f} | {listed_instances} '
        f'| {bytes_each["listed instance"] * listed_instances / mib:.1f} |',
        f'| claim (100 bytes of answer), replicas only '
        f'| {bytes_each["claim of an idempotency key"]:.0f} '
        f'| fills the budget at {claims:.0f} a day '
        f'| {available_mib:.0f} |',
    ]


def _requests_table(medians: CostMedians) -> list[str]:
    values = medians.values
    entry_requests_per_s = REQUESTS_PER_S / ENTRIES
    endpoint_requests_per_s = REQUESTS_PER_S / SERVERS
    token_entry_cpu_s = values[('streamed token', 'entry_cpu')] / 1e6
    token_endpoint_cpu_s = values[('streamed token', 'endpoint_cpu')] / 1e6
    request_entry_cpu_s = values[('plain request', 'entry_cpu')] / 1000
    request_endpoint_cpu_s = values[('plain request', 'endpoint_cpu')] / 1000
    lines = [
        '| at the peak, by daemon | each | cores for requests | cores for tokens |',
        '|---|---|---|---|',
    ]
    for role, requests_per_s, request, token, count in (
        ('entry', entry_requests_per_s, request_entry_cpu_s, token_entry_cpu_s, ENTRIES),
        (
            'endpoint',
            endpoint_requests_per_s,
            request_endpoint_cpu_s,
            token_endpoint_cpu_s,
            SERVERS,
        ),
    ):
        tokens_per_s = TOKENS_PER_S / count
        lines.append(
            f'| {role} | {requests_per_s:.0f} requests/s, {tokens_per_s:.0f} tokens/s '
            f'| {requests_per_s * request:.2f} | {tokens_per_s * token:.2f} |'
        )
    return lines


def _format_plan_cost() -> str:
    """
    Plan the distribution trees of one rollout in the planned fleet. Returns a line of text with
    the CPU time of the planning.

    """
    random_source = random.Random(0)
    receivers = [
        Receiver(InstanceId(f'instance-{n}'), ZoneId(f'zone-{random_source.randrange(ZONES)}'))
        for n in range(ROLLOUT_INSTANCES)
    ]
    started_at_s = time.process_time()
    plan_trees(Digest('d'), receivers, 4, 1)
    cpu_s = time.process_time() - started_at_s
    return (
        f'Trees over {ROLLOUT_INSTANCES} instances in {ZONES} zones: {cpu_s * 1000:.1f} ms of CPU.'
    )


def main() -> None:
    medians = CostMedians(RESULTS_FOLDER / 'cost.json')
    sections = {
        'Idle, as measured': _idle_table(medians),
        'Slopes of an entry': _slopes_table(medians),
        'Changes': _changes_table(medians),
        'Memory': _memory_table(medians),
        'Requests and tokens': _requests_table(medians),
    }
    for title, lines in sections.items():
        print(f'### {title}\n')
        print('\n'.join(lines) + '\n')
    print(_format_plan_cost())


if __name__ == '__main__':
    main()
