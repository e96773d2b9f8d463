"""
The tables of `docs/CAPACITY.md`, worked out from the cost experiment.

`python -m millfork_standins.bench.capacity` reads `build/bench/cost.json` and
prints them. Nothing here is guessed: a figure that was not measured is not in
the tables.

"""

import json
import random
import time
from pathlib import Path
from typing import Final

from millfork_core.ids import Digest, InstanceId, ZoneId
from millfork_standins.bench.rows import BUILD
from millfork_weights.trees import Receiver, plan_trees

# The two-year size.
DAEMONS: Final = 380
SERVERS: Final = 2800
ZONES: Final = 11
CHANGES_A_DAY: Final = 9400
ROLLOUT: Final = 310
REQUESTS_S: Final = 33_000
TOKENS_S: Final = 13_000_000
DAY_S: Final = 86_400
KEYS: Final = 300 + 1000 + SERVERS

# The budget of one daemon, for control.
CPU_BUDGET: Final = 1.2
MEMORY_BUDGET_MIB: Final = 128
BYTES_BUDGET: Final = 2048

SMALL, MIDDLE, LARGE = 8, 32, 128
# Connections of an entry at the three sizes: all, all, and the subset.
CONNECTIONS: Final = {SMALL: 8, MIDDLE: 32, LARGE: 40}
WAYS: Final = ('idle_bytes_in', 'idle_bytes_out', 'idle_bytes_platform')


class Figures:
    """
    Medians of the cost experiment by case and metric.

    """

    def __init__(self, path: Path) -> None:
        rows = json.loads(path.read_text())['rows']
        self.values = {(row['case'], row['metric']): row['value'] for row in rows}

    def of(self, role: str, metric: str, endpoints: int) -> float:
        return float(self.values[(f'{role}, {endpoints} endpoints', metric)])

    def bytes_s(self, role: str, endpoints: int) -> float:
        """
        All bytes of control of one daemon, both ways, by second.

        """
        return sum(self.of(role, way, endpoints) for way in WAYS)


def _idle_table(figures: Figures) -> list[str]:
    lines = [
        '| role | CPU, % of a core: 8, 32, 128 endpoints | memory, MiB | control, B/s |',
        '|---|---|---|---|',
    ]
    for role in ('leader', 'replica', 'entry', 'endpoint'):
        cells = []
        for metric, digits in (('idle_cpu', 2), ('memory', 1)):
            values = [figures.of(role, metric, size) for size in (SMALL, MIDDLE, LARGE)]
            cells.append(', '.join(f'{value:.{digits}f}' for value in values))
        moved = [figures.bytes_s(role, size) for size in (SMALL, MIDDLE, LARGE)]
        cells.append(', '.join(f'{value:.0f}' for value in moved))
        lines.append(f'| {role} | ' + ' | '.join(cells) + ' |')
    return lines


def _slope(small: float, middle: float) -> float:
    return (middle - small) / (CONNECTIONS[MIDDLE] - CONNECTIONS[SMALL])


def _slopes_table(figures: Figures) -> list[str]:
    cpu = _slope(figures.of('entry', 'idle_cpu', SMALL), figures.of('entry', 'idle_cpu', MIDDLE))
    moved = _slope(figures.bytes_s('entry', SMALL), figures.bytes_s('entry', MIDDLE))
    base_cpu = figures.of('entry', 'idle_cpu', SMALL) - cpu * CONNECTIONS[SMALL]
    base_bytes = figures.bytes_s('entry', SMALL) - moved * CONNECTIONS[SMALL]
    most_cpu = (CPU_BUDGET - base_cpu) / cpu
    most_bytes = (BYTES_BUDGET - base_bytes) / moved
    return [
        '| of an entry | base | for each connected endpoint | budget | reached at |',
        '|---|---|---|---|---|',
        f'| CPU, % of a core | {base_cpu:.2f} | {cpu:.4f} | {CPU_BUDGET} '
        f'| {most_cpu:.0f} endpoints |',
        f'| control, B/s | {base_bytes:.0f} | {moved:.1f} | {BYTES_BUDGET} '
        f'| {most_bytes:.0f} endpoints |',
    ]


def _changes_table(figures: Figures) -> list[str]:
    rate = CHANGES_A_DAY / DAY_S
    lines = [
        f'| role | CPU of one change, ms | at {rate:.3f} changes/s, % of a core '
        '| bytes of one change, in and out | at that rate, B/s |',
        '|---|---|---|---|---|',
    ]
    for role in ('leader', 'replica', 'entry', 'endpoint'):
        cpu = figures.of(role, 'cpu_per_change', LARGE)
        moved = [max(figures.of(role, f'bytes_per_change_{w}', LARGE), 0) for w in ('in', 'out')]
        lines.append(
            f'| {role} | {cpu:.1f} | {cpu * rate / 10:.2f} | {moved[0]:.0f}, {moved[1]:.0f} '
            f'| {sum(moved) * rate:.0f} |'
        )
    return lines


def _memory_table(figures: Figures) -> list[str]:
    each = {
        name: figures.values[(name, 'memory_each')]
        for name in (
            'key of the configuration',
            'listed instance',
            'claim of an idempotency key',
        )
    }
    listed = DAEMONS + SERVERS
    room = MEMORY_BUDGET_MIB - figures.of('replica', 'memory', LARGE)
    claims = room * 1024 * 1024 / each['claim of an idempotency key']
    mib = 1024 * 1024
    return [
        '| what grows | bytes each | number | MiB |',
        '|---|---|---|---|',
        f'| key of the configuration | {each["key of the configuration"]:.0f} | {KEYS} '
        f'| {each["key of the configuration"] * KEYS / mib:.1f} |',
        f'| listed instance | {each["listed instance"]:.0f} | {listed} '
        f'| {each["listed instance"] * listed / mib:.1f} |',
        f'| claim (100 bytes of answer), replicas only '
        f'| {each["claim of an idempotency key"]:.0f} | fills the budget at {claims:.0f} a day '
        f'| {room:.0f} |',
    ]


def _requests_table(figures: Figures) -> list[str]:
    values = figures.values
    entry_s = REQUESTS_S / DAEMONS
    endpoint_s = REQUESTS_S / SERVERS
    token_entry = values[('streamed token', 'entry_cpu')] / 1e6
    token_endpoint = values[('streamed token', 'endpoint_cpu')] / 1e6
    request_entry = values[('plain request', 'entry_cpu')] / 1000
    request_endpoint = values[('plain request', 'endpoint_cpu')] / 1000
    lines = [
        '| at the peak, by daemon | each | cores for requests | cores for tokens |',
        '|---|---|---|---|',
    ]
    for role, rate, request, token, count in (
        ('entry', entry_s, request_entry, token_entry, DAEMONS),
        ('endpoint', endpoint_s, request_endpoint, token_endpoint, SERVERS),
    ):
        tokens_s = TOKENS_S / count
        lines.append(
            f'| {role} | {rate:.0f} requests/s, {tokens_s:.0f} tokens/s '
            f'| {rate * request:.2f} | {tokens_s * token:.2f} |'
        )
    return lines


def _plan_line() -> str:
    """
    The time to compute the trees of a rollout at the two-year size.

    """
    chance = random.Random(0)
    receivers = [
        Receiver(InstanceId(f'instance-{n}'), ZoneId(f'zone-{chance.randrange(ZONES)}'))
        for n in range(ROLLOUT)
    ]
    began = time.process_time()
    plan_trees(Digest('d'), receivers, 4, 1)
    spent = time.process_time() - began
    return f'Trees over {ROLLOUT} instances in {ZONES} zones: {spent * 1000:.1f} ms of CPU.'


def main() -> None:
    figures = Figures(BUILD / 'cost.json')
    sections = {
        'Idle, as measured': _idle_table(figures),
        'Slopes of an entry': _slopes_table(figures),
        'Changes': _changes_table(figures),
        'Memory': _memory_table(figures),
        'Requests and tokens': _requests_table(figures),
    }
    for title, lines in sections.items():
        print(f'### {title}\n')
        print('\n'.join(lines) + '\n')
    print(_plan_line())


if __name__ == '__main__':
    main()
