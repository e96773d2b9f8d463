"""
Runs the soak test: `python -m millfork_standins.soak --seed=1 --runs=5 --seconds=20`.

"""

import sys
import tempfile
from collections import Counter
from pathlib import Path

from absl import app, flags

from millfork_standins.soak.run import SoakRun

SEED = flags.DEFINE_integer('seed', 1, 'Seed of the first run.', lower_bound=0)
RUNS = flags.DEFINE_integer('runs', 1, 'Number of runs, each with the next seed.', lower_bound=1)
SECONDS = flags.DEFINE_float('seconds', 20.0, 'Seconds of faults in a run.', lower_bound=1)
PLANNED_SECONDS = flags.DEFINE_float(
    'planned_seconds', 8.0, 'Seconds of planned work before the faults.', lower_bound=0
)
ENTRIES = flags.DEFINE_integer('entries', 2, 'Number of entries.', lower_bound=1)
CALLERS = flags.DEFINE_integer('callers', 6, 'Number of callers.', lower_bound=1)
BACKPRESSURE = flags.DEFINE_bool('backpressure', True, 'Back ends send backpressure signals.')
CRASHING_PART = flags.DEFINE_bool(
    'crashing_part', False, 'Some prompts have a part that crashes each back end.'
)
EVACUATIONS = flags.DEFINE_bool('evacuations', True, 'Zones are evacuated.')
COLD = flags.DEFINE_bool('cold', True, 'Back ends become cold.')
REPLACEMENTS = flags.DEFINE_bool('replacements', True, 'Replicas are replaced.')
WEIGHTS = flags.DEFINE_bool('weights', False, 'Engines change the versions of their weights.')
ENGINES = flags.DEFINE_integer('engines', 3, 'Number of engines with --weights.', lower_bound=1)
flags.mark_bool_flags_as_mutual_exclusive(['weights', 'crashing_part'])
REGIONS = flags.DEFINE_bool(
    'regions', False, 'Slow links between three regions, large documents, replicas that lag.'
)
REPLICAS = flags.DEFINE_integer('replicas', 3, 'Number of replicas.', lower_bound=1)
FOLDER = flags.DEFINE_string(
    'folder', '', 'Folder for the files of the runs; empty: they are deleted.'
)


def _counts(statuses: Counter[int]) -> str:
    return ' '.join(f'{status}:{count}' for status, count in sorted(statuses.items()))


def main(argv: list[str]) -> int:
    failed = 0
    for seed in range(SEED.value, SEED.value + RUNS.value):
        with tempfile.TemporaryDirectory(prefix='millfork-soak-') as scratch:
            folder = Path(FOLDER.value) / str(seed) if FOLDER.value else Path(scratch)
            folder.mkdir(parents=True, exist_ok=True)
            result = SoakRun(
                folder,
                seed,
                SECONDS.value,
                BACKPRESSURE.value,
                PLANNED_SECONDS.value,
                ENTRIES.value,
                CALLERS.value,
                CRASHING_PART.value,
                EVACUATIONS.value,
                COLD.value,
                REPLACEMENTS.value,
                ENGINES.value if WEIGHTS.value else 0,
                REGIONS.value,
                REPLICAS.value,
            ).run()
        failed += bool(result.violations)
        print(
            f'seed {result.seed}: {result.faults} faults, answers {_counts(result.statuses)}, '
            f'{result.acknowledged_version} documents, {result.reads} reads, '
            f'{result.evacuations} evacuations, {result.cold_requests} cold requests, '
            f'{len(result.violations)} broken',
            flush=True,
        )
        if WEIGHTS.value:
            weights = result.weights
            print(
                f'  engines: {weights.versions} versions, {weights.layers} layers loaded, '
                f'{weights.bad_layers} of bad pieces, {weights.streams} streams, '
                f'answers {_counts(weights.statuses)}',
                flush=True,
            )
        if REGIONS.value:
            regions = result.regions
            print(
                f'  regions: documents of {regions.document_bytes} bytes, {regions.lags} lags, '
                f'{regions.disk_losses} disks lost after a lag, {regions.calm_reads} of '
                f'{regions.reads} reads in calm times, {regions.refused_reads} refused by all, '
                f'{regions.calls_in_touch} calls of added routes in touch, '
                f'answers {_counts(regions.statuses)}',
                flush=True,
            )
        for line in result.violations:
            print(f'  {line}', flush=True)
    print(f'{RUNS.value - failed} passed, {failed} failed')
    return 1 if failed else 0


if __name__ == '__main__':
    sys.exit(app.run(main))
