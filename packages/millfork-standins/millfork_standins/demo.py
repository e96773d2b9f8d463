"""
The demo: two rollouts on a fleet, the second under load and with killed processes.

"""

import json
import sys
import tempfile
import time
from dataclasses import asdict
from pathlib import Path
from typing import Any, Final

from absl import app, flags

from millfork_core.status import ExitStatus
from millfork_standins.callers import Callers, CallOutcome
from millfork_standins.deployments import SHAPES
from millfork_standins.fleet import Fleet
from millfork_standins.layout import FleetError, FleetOptions
from millfork_standins.run_summary import summarize_fleet_run
from millfork_standins.versions import fetch_version

FLAGS: Final = flags.FLAGS
ROLLOUT_TIMEOUT_S: Final = 60
POLL_S: Final = 0.05
LOAD_AFTER_ROLLOUT_S: Final = 2.0

flags.DEFINE_enum('deployment', 'lanting', sorted(SHAPES), 'The shape of the fleet.')
flags.DEFINE_string(
    'folder', '', 'Folder for the files of the fleet; a new temporary one by default.'
)


def report(text: str) -> None:
    print(text, flush=True)


class Demo:
    """
    One run of the demo on a started fleet.

    """

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.versions = {name: fetch_version(fleet, name) for name in ('v1', 'v2')}
        keys = {version.id: version.key for version in self.versions.values()}
        self.callers = Callers(fleet, keys)

    def apply(self, name: str, declaration: dict[str, Any]) -> None:
        path = self.fleet.write_declaration(name, declaration)
        result = self.fleet.run_millfork('apply', str(path))
        if result.returncode != ExitStatus.SUCCESS:
            raise FleetError(f'millfork apply {name}: {result.stderr}')
        report(f'  millfork apply {name}: {result.stdout.strip()}')

    def fetch_rollouts(self) -> list[dict[str, Any]]:
        result = self.fleet.run_millfork('status', '--json')
        if result.returncode != ExitStatus.SUCCESS:
            return []
        rows: list[dict[str, Any]] = json.loads(result.stdout)['deployments']
        return rows

    def wait_until_serving(self, version: str, engine_count: int, started_at: float) -> float:
        """
        Wait until at least `engine_count` engines serve a version, and return the seconds since
        `started_at`. The output calls these engines replicas.

        :raises FleetError: if fewer engines serve the version `ROLLOUT_TIMEOUT_S` seconds after
            `started_at`.

        """
        last_reported = -1
        while time.monotonic() - started_at < ROLLOUT_TIMEOUT_S:
            rows = [r for r in self.fetch_rollouts() if r['version'] == self.versions[version].id]
            serving = rows[0]['serving'] if rows else 0
            if serving != last_reported:
                report(f'  {serving} of {engine_count} replicas serve {version}')
                last_reported = serving
            if serving >= engine_count:
                return time.monotonic() - started_at
            time.sleep(POLL_S)
        raise FleetError(
            f'{last_reported} of {engine_count} replicas serve {version} '
            f'after {ROLLOUT_TIMEOUT_S} s'
        )

    def run(self) -> dict[str, Any]:
        """
        Roll out the first version, start the callers, roll out the second version while an
        endpoint and an entry are killed and started again, and return the measurements.

        """
        fleet = self.fleet
        engine_count = len(fleet.engines)
        self.apply('organisations.yaml', fleet.organisations_declaration())
        report(f'Rollout of v1 to {engine_count} replicas.')
        started_at = time.monotonic()
        self.apply('v1.yaml', fleet.deployment_declaration('v1'))
        first_s = self.wait_until_serving('v1', engine_count, started_at)
        copies = self._count_copies('v1')
        report(f'  all replicas serve v1 after {first_s:.2f} s; origin sent {copies:.2f} copies')
        report('Starting the callers. Rollout of v2 under their load.')
        self.callers.start()
        started_at = time.monotonic()
        self.apply('v2.yaml', fleet.deployment_declaration('v2'))
        victim = fleet.engines[1]
        report(f'  killing endpoint {victim.name} and entry {fleet.replicas[1].name}')
        fleet.kill(victim.name)
        fleet.kill(fleet.replicas[1].name)
        self.wait_until_serving('v2', engine_count - 1, started_at)
        report('  starting both again')
        fleet.start_daemon(victim)
        fleet.start_daemon(fleet.replicas[1])
        second_s = self.wait_until_serving('v2', engine_count, started_at)
        copies = self._count_copies('v2')
        report(f'  all replicas serve v2 after {second_s:.2f} s; origin sent {copies:.2f} copies')
        time.sleep(LOAD_AFTER_ROLLOUT_S)
        self.callers.stop()
        return self._summary(engine_count, first_s, second_s)

    def _count_copies(self, version: str) -> float:
        stats = self.fleet.origin_stats()
        name = f'{self.fleet.shape.model}/{version}'
        return float(stats['draws'].get(name, 0)) / self.fleet.options.model_bytes

    def _summary(self, engine_count: int, first_s: float, second_s: float) -> dict[str, Any]:
        records = self.callers.records
        for record in records:
            if record.outcome not in (
                CallOutcome.RIGHT,
                CallOutcome.MAY_HAVE_RUN,
                CallOutcome.NOT_RUN,
            ):
                report(f'  {record}')
        return {
            'deployment': self.fleet.shape.name,
            'replicas': engine_count,
            'time_to_n_s': round(first_s, 3),
            'origin_copies': round(self._count_copies('v1'), 3),
            'second_time_to_n_s': round(second_s, 3),
            'second_origin_copies': round(self._count_copies('v2'), 3),
            **asdict(summarize_fleet_run(self.fleet, records)),
        }


def main(argv: list[str]) -> int:
    folder = Path(FLAGS.folder or tempfile.mkdtemp(prefix='millfork-demo-'))
    fleet = Fleet(SHAPES[FLAGS.deployment], folder, FleetOptions())
    report(f'Starting the {FLAGS.deployment} fleet: {len(fleet.instances)} instances.')
    try:
        fleet.start()
        summary = Demo(fleet).run()
    except FleetError as error:
        report(f'The demo failed: {error}')
        return ExitStatus.ERROR
    finally:
        fleet.close()
    print(json.dumps(summary))
    bad = sum(summary[name] for name in ('wrong', 'mixed', 'lost', 'doubled', 'missing'))
    if not summary['requests']:
        report('The callers sent no requests.')
        return ExitStatus.ERROR
    return ExitStatus.ERROR if bad else ExitStatus.SUCCESS


if __name__ == '__main__':
    sys.exit(app.run(main))
