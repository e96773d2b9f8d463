"""
Runs the steps of a scenario on a fleet of processes.

"""

import shutil
import time
from collections.abc import Callable
from functools import singledispatchmethod
from pathlib import Path
from typing import Any, Final

from millfork_core.status import ExitStatus
from millfork_standins.callers import Callers, CallOutcome, RequestKind
from millfork_standins.deployments import SHAPES
from millfork_standins.execution_log import read_executions
from millfork_standins.fleet import Fleet
from millfork_standins.layout import ADMIN_PORT, CALLERS_PORT, FleetError, FleetOptions
from millfork_standins.requests import Answer, fetch
from millfork_standins.run_summary import summarize_fleet_run
from millfork_standins.scenario import steps
from millfork_standins.scenario.fleet_status import (
    count_voters,
    fetch_rollouts,
    find_right_records,
    set_option,
)
from millfork_standins.scenario.steps import Step
from millfork_standins.versions import fetch_version

POLL_S: Final = 0.05
IDLE_CHECK_S: Final = 0.5
STATE_PATH: Final = '/control/v1/state'
# Number of bytes that `tear-log` removes from the end of a consensus log, as if a crash had cut off
# the last write.
TORN_BYTES: Final = 7


class ScenarioFailed(Exception):
    """
    A step of a scenario failed, or a wait or an expectation was not met.

    """


class Runner:
    """
    One run of one scenario. `started_when_idle` has the number of requests that each endpoint
    had started when `wait idle` returned.

    """

    def __init__(self, folder: Path, report: Callable[[str], None] = print) -> None:
        self.folder = folder
        self.report = report
        self.fleet: Fleet | None = None
        self.callers: Callers | None = None
        self.keys: dict[str, str] = {}
        self.version_ids: dict[str, str] = {}
        self.accepted_revision = 0
        self.last_answer: Answer | None = None
        self.started_when_idle: dict[str, int] = {}
        self.stopping: set[str] = set()

    def run(self, scenario: list[Step]) -> None:
        """
        Run the steps until one fails or all have run, then kill every process of the fleet.

        :raises ScenarioFailed: at the first step that fails.

        """
        try:
            for step in scenario:
                self.report(f'{step.line}: {step}')
                self._run_step_with_line(step)
        finally:
            if self.callers is not None:
                self.callers.stopping.set()
            if self.fleet is not None:
                self.fleet.close()

    def _run_step_with_line(self, step: Step) -> None:
        try:
            self.run_step(step)
        except FleetError as error:
            raise ScenarioFailed(f'line {step.line}: {error}') from error

    @property
    def active_fleet(self) -> Fleet:
        if self.fleet is None:
            raise ScenarioFailed('the scenario has no fleet; its first step must be "fleet"')
        return self.fleet

    def _wait(self, step: steps.Wait, description: str, condition: Callable[[], bool]) -> None:
        deadline = time.monotonic() + step.timeout_s
        while time.monotonic() < deadline:
            if condition():
                return
            time.sleep(POLL_S)
        raise ScenarioFailed(
            f'line {step.line}: condition not met within {step.timeout_s} s: {description}'
        )

    # Steps.

    @singledispatchmethod
    def run_step(self, step: Step) -> None:
        raise ScenarioFailed(f'line {step.line}: there is no implementation of this step')

    @run_step.register
    def _(self, step: steps.MakeFleet) -> None:
        options = FleetOptions()
        for name, value in step.options.items():
            set_option(options, name, value)
        self.fleet = Fleet(SHAPES[step.shape], self.folder, options)

    @run_step.register
    def _(self, step: steps.StartAll) -> None:
        self.active_fleet.start()

    @run_step.register
    def _(self, step: steps.StartInstance) -> None:
        fleet = self.active_fleet
        if step.name.endswith('.backend'):
            fleet.start_backend(fleet.instances[step.name.removesuffix('.backend')])
            return
        fleet.start_daemon(fleet.instances[step.name])

    @run_step.register
    def _(self, step: steps.Stop) -> None:
        self.active_fleet.processes[step.name].terminate()

    @run_step.register
    def _(self, step: steps.Kill) -> None:
        self.active_fleet.kill(step.name)

    @run_step.register
    def _(self, step: steps.Freeze) -> None:
        self.active_fleet.freeze(step.name)

    @run_step.register
    def _(self, step: steps.Thaw) -> None:
        self.active_fleet.thaw(step.name)

    @run_step.register
    def _(self, step: steps.LoseDisk) -> None:
        shutil.rmtree(self.active_fleet.data_folder(step.name))

    @run_step.register
    def _(self, step: steps.TearLog) -> None:
        path = self.active_fleet.data_folder(step.name) / 'state' / 'log'
        path.write_bytes(path.read_bytes()[:-TORN_BYTES])

    @run_step.register
    def _(self, step: steps.Leave) -> None:
        self.active_fleet.list_instance(self.active_fleet.instances[step.name], leaving=True)

    @run_step.register
    def _(self, step: steps.Deafen) -> None:
        self.active_fleet.withhold_list_changes(self.active_fleet.instances[step.name])

    @run_step.register
    def _(self, step: steps.Cut) -> None:
        self.active_fleet.cut(*step.pairs)

    @run_step.register
    def _(self, step: steps.StallLinks) -> None:
        self.active_fleet.freeze_links(*step.pairs)

    @run_step.register
    def _(self, step: steps.Heal) -> None:
        self.active_fleet.cut()
        self.active_fleet.freeze_links()

    @run_step.register
    def _(self, step: steps.Corrupt) -> None:
        self.active_fleet.control_origin(corrupt_share=step.share)

    @run_step.register
    def _(self, step: steps.StallOrigin) -> None:
        self.active_fleet.control_origin(stalled=step.stalled)

    @run_step.register
    def _(self, step: steps.ChangeVersion) -> None:
        fleet = self.active_fleet
        replacement = {
            'name': fleet.shape.model,
            'version': step.version,
            'size': fleet.options.model_bytes,
            'seed': step.seed,
        }
        fleet.control_origin(replace=replacement)

    @run_step.register
    def _(self, step: steps.ApplyOrganisations) -> None:
        self._apply(step, 'organisations.yaml', self.active_fleet.organisations_declaration())

    @run_step.register
    def _(self, step: steps.ApplyDeployment) -> None:
        known_version = fetch_version(self.active_fleet, step.version)
        self.keys[known_version.id] = known_version.key
        self.version_ids[step.version] = known_version.id
        self._apply(step, 'deployment.yaml', self.active_fleet.deployment_declaration(step.version))

    @run_step.register
    def _(self, step: steps.ApplyMany) -> None:
        name = self.active_fleet.engines[0].name
        for number in range(step.count):
            labels = {name: {'generation': str(number)}}
            organisation = self.active_fleet.shape.organisations[1]
            declaration = {'organisation': organisation, 'labels': labels}
            self.accepted_revision = self.active_fleet.apply(declaration)

    def _apply(self, step: Step, name: str, declaration: dict[str, Any]) -> None:
        path = self.active_fleet.write_declaration(name, declaration)
        result = self.active_fleet.run_millfork('apply', str(path))
        if result.returncode != ExitStatus.SUCCESS:
            raise ScenarioFailed(f'line {step.line}: apply: {result.stderr.strip()}')
        self.accepted_revision = int(result.stdout.split()[-1])

    # Callers.

    @run_step.register
    def _(self, step: steps.StartCallers) -> None:
        kinds = tuple(RequestKind(name) for name in step.kinds) or tuple(RequestKind)
        self.callers = Callers(self.active_fleet, self.keys, step.count, kinds)
        self.callers.start()

    @run_step.register
    def _(self, step: steps.HaltCallers) -> None:
        assert self.callers is not None
        self.callers.stop()

    @run_step.register
    def _(self, step: steps.Call) -> None:
        fleet = self.active_fleet
        callers = Callers(fleet, self.keys)
        entry = fleet.instances[step.entry]
        self.last_answer = callers.send(
            entry, RequestKind(step.kind), f'call-{step.line}', 'one call'
        )

    # Waits.

    def _count_serving(self, version: str) -> int:
        rows = fetch_rollouts(self.active_fleet)
        counts = [row['serving'] for row in rows if row['version'] == self.version_ids[version]]
        return counts[0] if counts else 0

    @run_step.register
    def _(self, step: steps.WaitServing) -> None:
        description = f'{step.version} on {step.count}'
        self._wait(step, description, lambda: self._count_serving(step.version) >= step.count)

    @run_step.register
    def _(self, step: steps.WaitReady) -> None:
        self.active_fleet.wait_ready(self.active_fleet.instances[step.name], step.timeout_s)

    @run_step.register
    def _(self, step: steps.WaitExit) -> None:
        process = self.active_fleet.processes[step.name]
        self._wait(step, f'exit of {step.name}', lambda: process.poll() is not None)
        if process.returncode != ExitStatus.SUCCESS:
            raise ScenarioFailed(f'line {step.line}: {step.name} ended with {process.returncode}')
        del self.active_fleet.processes[step.name]

    @run_step.register
    def _(self, step: steps.WaitInForce) -> None:
        names = step.names or tuple(self.active_fleet.instances)
        self._wait(
            step,
            'in force',
            lambda: all(self._fetch_revision(n) >= self.accepted_revision for n in names),
        )

    def _fetch_revision(self, name: str) -> int:
        try:
            answer = fetch('GET', self.active_fleet.instances[name].host, ADMIN_PORT, '/readyz')
        except OSError:
            return -1
        return int(answer.json()['revision'])

    @run_step.register
    def _(self, step: steps.WaitVoters) -> None:
        self._wait(step, 'voters', lambda: count_voters(self.active_fleet) >= step.count)

    @run_step.register
    def _(self, step: steps.WaitAnswers) -> None:
        assert self.callers is not None
        callers = self.callers
        target = len(find_right_records(callers.records)) + step.count
        self._wait(step, 'answers', lambda: len(find_right_records(callers.records)) >= target)

    @run_step.register
    def _(self, step: steps.WaitIdle) -> None:
        self._wait(step, f'{step.name} idle', lambda: self._is_idle(step.name))

    def _is_idle(self, name: str) -> bool:
        before = self._count_started(name)
        time.sleep(IDLE_CHECK_S)
        self.started_when_idle[name] = self._count_started(name)
        return self.started_when_idle[name] == before

    def _count_started(self, name: str) -> int:
        lines = read_executions(self.active_fleet.execution_log_path(name))
        return sum(line['kind'] == 'begin' for line in lines)

    # Expectations.

    @run_step.register
    def _(self, step: steps.ExpectClean) -> None:
        assert self.callers is not None
        summary = summarize_fleet_run(self.active_fleet, self.callers.records)
        self.report(f'   {summary}')
        if not summary.is_clean:
            not_right = [
                record for record in self.callers.records if record.outcome is not CallOutcome.RIGHT
            ]
            raise ScenarioFailed(f'line {step.line}: {summary}: {not_right[:5]}')

    @run_step.register
    def _(self, step: steps.ExpectUncut) -> None:
        assert self.callers is not None
        cut = [record for record in self.callers.records if record.cut_off]
        if cut:
            raise ScenarioFailed(f'line {step.line}: {len(cut)} requests were cut off: {cut[:3]}')

    @run_step.register
    def _(self, step: steps.ExpectNoLeader) -> None:
        fleet = self.active_fleet
        headers = {'authorization': f'Bearer {fleet.admin_token}'}
        running = [entry for entry in fleet.entries if entry.name in fleet.processes]
        for number in range(step.attempts):
            entry = running[number % len(running)]
            try:
                answer = fetch('GET', entry.host, CALLERS_PORT, STATE_PATH, headers=headers)
            except ConnectionRefusedError:
                time.sleep(POLL_S)
                continue
            if answer.status == 200:
                raise ScenarioFailed(f'line {step.line}: {entry.name} answered a linearizable read')

    @run_step.register
    def _(self, step: steps.ExpectCopies) -> None:
        stats = self.active_fleet.origin_stats()
        sent = stats['draws'].get(f'{self.active_fleet.shape.model}/{step.version}', 0)
        copies = sent / self.active_fleet.options.model_bytes
        is_met = copies <= step.copies if step.operator == '<=' else copies >= step.copies
        if not is_met:
            raise ScenarioFailed(f'line {step.line}: the origin sent {copies:.3f} copies')

    @run_step.register
    def _(self, step: steps.ExpectAnswer) -> None:
        assert self.last_answer is not None
        actual = (
            str(self.last_answer.status),
            self.last_answer.headers.get('millfork-reason', ''),
        )
        if step.answer not in actual:
            raise ScenarioFailed(f'line {step.line}: the answer was {actual}')

    @run_step.register
    def _(self, step: steps.ExpectNewWork) -> None:
        new = self._count_started(step.name) - self.started_when_idle[step.name]
        if new > step.max_requests:
            raise ScenarioFailed(f'line {step.line}: {step.name} started {new} more requests')
