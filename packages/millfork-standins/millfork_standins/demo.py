"""
The demo: a fleet, two rollouts under load, and things going wrong.

"""

import json
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path
from typing import Any, Final

from absl import app, flags
from millfork_core.status import ExitStatus
from millfork_weights.manifest import decode_manifest, digest_of

from millfork_standins.callers import Callers, End
from millfork_standins.deployments import SHAPES
from millfork_standins.execution_log import read_executions
from millfork_standins.fleet import STANDIN_PORT, Fleet, FleetError, FleetOptions
from millfork_standins.requests import fetch
from millfork_standins.weights import weights_key

FLAGS: Final = flags.FLAGS
ROLLOUT_TIMEOUT_S: Final = 60
POLL_S: Final = 0.05
AFTER_S: Final = 2.0

flags.DEFINE_enum('deployment', 'lanting', sorted(SHAPES), 'The shape of the fleet.')
flags.DEFINE_string('folder', '', 'Where the fleet keeps its files; a new folder by default.')


def say(text: str) -> None:
    print(text, flush=True)


class Demo:
    """
    One run of the demo.

    """

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.keys: dict[str, str] = {}
        self.manifests: dict[str, str] = {}
        for version in ('v1', 'v2'):
            self._learn_version(version)
        self.callers = Callers(fleet, self.keys)

    def _learn_version(self, version: str) -> None:
        """
        What answers of a version must look like, from the origin itself.

        """
        path = f'/models/{self.fleet.shape.model}/{version}/manifest'
        body = fetch('GET', self.fleet.origin['host'], STANDIN_PORT, path).body
        self.manifests[version] = digest_of(body)[:16]
        self.keys[digest_of(body)[:16]] = weights_key([decode_manifest(body).whole])

    def apply(self, name: str, declaration: dict[str, Any]) -> None:
        path = self.fleet.write_declaration(name, declaration)
        done = self.fleet.operate('apply', str(path))
        if done.returncode != ExitStatus.SUCCESS:
            raise FleetError(f'millfork apply {name}: {done.stderr}')
        say(f'  millfork apply {name}: {done.stdout.strip()}')

    def rollout(self) -> list[dict[str, Any]]:
        done = self.fleet.operate('status', '--json')
        if done.returncode != ExitStatus.SUCCESS:
            return []
        rows: list[dict[str, Any]] = json.loads(done.stdout)['deployments']
        return rows

    def wait_rollout(self, version: str, replicas: int, began: float) -> float:
        """
        Wait until a version serves on so many replicas; seconds it took.

        """
        shown = -1
        while time.monotonic() - began < ROLLOUT_TIMEOUT_S:
            rows = [r for r in self.rollout() if r['version'] == self.manifests[version]]
            serving = rows[0]['serving'] if rows else 0
            if serving != shown:
                say(f'  {version} serves on {serving} of {replicas}')
                shown = serving
            if serving >= replicas:
                return time.monotonic() - began
            time.sleep(POLL_S)
        raise FleetError(f'{version} serves on {shown} of {replicas} after {ROLLOUT_TIMEOUT_S} s')

    def run(self) -> dict[str, Any]:
        """
        The story: start, first version, load, second version, failures.

        """
        fleet = self.fleet
        replicas = len(fleet.engines)
        self.apply('organisations.yaml', fleet.organisations_declaration())
        say(f'Rollout of v1 to {replicas} replicas.')
        began = time.monotonic()
        self.apply('v1.yaml', fleet.deployment_declaration('v1'))
        first_s = self.wait_rollout('v1', replicas, began)
        copies = self._copies('v1')
        say(f'  v1 serves on all after {first_s:.2f} s; origin sent {copies:.2f} copies')
        say('Callers begin. Rollout of v2 under their load.')
        self.callers.start()
        began = time.monotonic()
        self.apply('v2.yaml', fleet.deployment_declaration('v2'))
        victim = fleet.engines[1]
        say(f'  killing endpoint {victim.name} and entry {fleet.replicas[1].name}')
        fleet.kill(victim.name)
        fleet.kill(fleet.replicas[1].name)
        self.wait_rollout('v2', replicas - 1, began)
        say('  starting both again')
        fleet.start_daemon(victim)
        fleet.start_daemon(fleet.replicas[1])
        second_s = self.wait_rollout('v2', replicas, began)
        copies = self._copies('v2')
        say(f'  v2 serves on all after {second_s:.2f} s; origin sent {copies:.2f} copies')
        time.sleep(AFTER_S)
        self.callers.stop()
        return self._summary(replicas, first_s, second_s)

    def _copies(self, version: str) -> float:
        stats = self.fleet.origin_stats()
        name = f'{self.fleet.shape.model}/{version}'
        return float(stats['draws'].get(name, 0)) / self.fleet.options.model_bytes

    def _summary(self, replicas: int, first_s: float, second_s: float) -> dict[str, Any]:
        asked = self.callers.asked
        ends = Counter(item.end for item in asked)
        for item in asked:
            if item.end not in (End.RIGHT, End.TOLD_UNKNOWN, End.NOT_RUN):
                say(f'  {item}')
        return {
            'deployment': self.fleet.shape.name,
            'replicas': replicas,
            'time_to_n_s': round(first_s, 3),
            'origin_copies': round(self._copies('v1'), 3),
            'second_time_to_n_s': round(second_s, 3),
            'second_origin_copies': round(self._copies('v2'), 3),
            'requests': len(asked),
            'wrong': ends[End.WRONG],
            'mixed': ends[End.MIXED],
            'lost': ends[End.LOST],
            'doubled': self.count_doubled(),
            'refused_not_run': ends[End.NOT_RUN],
            'told_unknown': ends[End.TOLD_UNKNOWN],
        }

    def count_doubled(self) -> int:
        """
        Filings that a plain service ran more than once, or ran although
        their caller was told that they did not run.

        """
        runs: Counter[str] = Counter()
        for instance in self.fleet.instances.values():
            for line in read_executions(self.fleet.executions(instance.name)):
                if line['kind'] == 'begin' and line.get('method') == 'POST':
                    runs[line['nonce']] += 1
        not_run = {item.nonce for item in self.callers.asked if item.end is End.NOT_RUN}
        return sum(count > 1 for count in runs.values()) + len(not_run & set(runs))


def main(argv: list[str]) -> int:
    folder = Path(FLAGS.folder or tempfile.mkdtemp(prefix='millfork-demo-'))
    fleet = Fleet(SHAPES[FLAGS.deployment], folder, FleetOptions())
    say(f'Starting the {FLAGS.deployment} fleet: {len(fleet.instances)} instances.')
    try:
        fleet.start()
        summary = Demo(fleet).run()
    except FleetError as error:
        say(f'The demo failed: {error}')
        return ExitStatus.ERROR
    finally:
        fleet.close()
    print(json.dumps(summary))
    bad = summary['wrong'] + summary['mixed'] + summary['lost'] + summary['doubled']
    if not summary['requests']:
        say('No caller asked anything.')
        return ExitStatus.ERROR
    return ExitStatus.ERROR if bad else ExitStatus.SUCCESS


if __name__ == '__main__':
    sys.exit(app.run(main))
