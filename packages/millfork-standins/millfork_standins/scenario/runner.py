"""
Runs the steps of a scenario on a real fleet.

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
from millfork_standins.versions import learn_version

POLL_S: Final = 0.05
IDLE_S: Final = 0.5
STATE: Final = '/control/v1/state'
TORN_BYTES: Final = 7


class ScenarioFailed(Exception):
    """
    An expectation or a wait of a scenario was not met.

    """


class Runner:
    """
    One run of one scenario.

    """

    def __init__(self, folder: Path, say: Callable[[str], None] = print) -> None:
        self.folder = folder
        self.say = say
        self.fleet: Fleet | None = None
        self.callers: Callers | None = None
        self.keys: dict[str, str] = {}
        self.ids: dict[str, str] = {}
        self.accepted = 0
        self.answer: Answer | None = None
        self.started_when_idle: dict[str, int] = {}
        self.stopping: set[str] = set()

    def run(self, scenario: list[Step]) -> None:
        """
        Run all steps; end every process at the end.

        :raises Unmet: where the scenario does not hold.

        """
        try:
            for step in scenario:
                self.say(f'{step.line}: {step}')
                self._run(step)
        finally:
            if self.callers is not None:
                self.callers.stopping.set()
            if self.fleet is not None:
                self.fleet.close()

    def _run(self, step: Step) -> None:
        try:
            self.on(step)
        except FleetError as error:
            raise ScenarioFailed(f'line {step.line}: {error}') from error

    @property
    def running(self) -> Fleet:
        if self.fleet is None:
            raise ScenarioFailed('a scenario begins with its fleet')
        return self.fleet

    def _wait(self, step: steps.Wait, what: str, holds: Callable[[], bool]) -> None:
        until = time.monotonic() + step.within
        while time.monotonic() < until:
            if holds():
                return
            time.sleep(POLL_S)
        raise ScenarioFailed(f'line {step.line}: {what} does not hold within {step.within} s')

    # Steps.

    @singledispatchmethod
    def on(self, step: Step) -> None:
        raise ScenarioFailed(f'line {step.line}: no way to run this step')

    @on.register
    def _(self, step: steps.MakeFleet) -> None:
        options = FleetOptions()
        for name, value in step.options.items():
            set_option(options, name, value)
        self.fleet = Fleet(SHAPES[step.shape], self.folder, options)

    @on.register
    def _(self, step: steps.StartAll) -> None:
        self.running.start()

    @on.register
    def _(self, step: steps.StartInstance) -> None:
        fleet = self.running
        if step.name.endswith('.backend'):
            fleet.start_backend(fleet.instances[step.name.removesuffix('.backend')])
            return
        fleet.start_daemon(fleet.instances[step.name])

    @on.register
    def _(self, step: steps.Stop) -> None:
        self.running.processes[step.name].terminate()

    @on.register
    def _(self, step: steps.Kill) -> None:
        self.running.kill(step.name)

    @on.register
    def _(self, step: steps.Freeze) -> None:
        self.running.freeze(step.name)

    @on.register
    def _(self, step: steps.Thaw) -> None:
        self.running.thaw(step.name)

    @on.register
    def _(self, step: steps.LoseDisk) -> None:
        shutil.rmtree(self.running.data_folder(step.name))

    @on.register
    def _(self, step: steps.TearLog) -> None:
        path = self.running.data_folder(step.name) / 'state' / 'log'
        path.write_bytes(path.read_bytes()[:-TORN_BYTES])

    @on.register
    def _(self, step: steps.Leave) -> None:
        self.running.list_instance(self.running.instances[step.name], leaving=True)

    @on.register
    def _(self, step: steps.Deafen) -> None:
        self.running.withhold_list_changes(self.running.instances[step.name])

    @on.register
    def _(self, step: steps.Cut) -> None:
        self.running.cut(*step.pairs)

    @on.register
    def _(self, step: steps.StallLinks) -> None:
        self.running.freeze_links(*step.pairs)

    @on.register
    def _(self, step: steps.Heal) -> None:
        self.running.cut()
        self.running.freeze_links()

    @on.register
    def _(self, step: steps.Corrupt) -> None:
        self.running.control_origin(corrupt_share=step.share)

    @on.register
    def _(self, step: steps.StallOrigin) -> None:
        self.running.control_origin(stalled=step.stalled)

    @on.register
    def _(self, step: steps.ChangeVersion) -> None:
        fleet = self.running
        replacement = {
            'name': fleet.shape.model,
            'version': step.version,
            'size': fleet.options.model_bytes,
            'seed': step.seed,
        }
        fleet.control_origin(replace=replacement)

    @on.register
    def _(self, step: steps.Organisations) -> None:
        self._apply(step, 'organisations.yaml', self.running.organisations_declaration())

    @on.register
    def _(self, step: steps.Apply) -> None:
        known = learn_version(self.running, step.version)
        self.keys[known.id] = known.key
        self.ids[step.version] = known.id
        self._apply(step, 'deployment.yaml', self.running.deployment_declaration(step.version))

    @on.register
    def _(self, step: steps.ApplyMany) -> None:
        name = self.running.engines[0].name
        for number in range(step.count):
            labels = {name: {'generation': str(number)}}
            organisation = self.running.shape.organisations[1]
            declaration = {'organisation': organisation, 'labels': labels}
            self.accepted = self.running.apply(declaration)

    def _apply(self, step: Step, name: str, declaration: dict[str, Any]) -> None:
        path = self.running.write_declaration(name, declaration)
        done = self.running.run_millfork('apply', str(path))
        if done.returncode != ExitStatus.SUCCESS:
            raise ScenarioFailed(f'line {step.line}: apply: {done.stderr.strip()}')
        self.accepted = int(done.stdout.split()[-1])

    # Callers.

    @on.register
    def _(self, step: steps.StartCallers) -> None:
        kinds = tuple(RequestKind(name) for name in step.kinds) or tuple(RequestKind)
        self.callers = Callers(self.running, self.keys, step.count, kinds)
        self.callers.start()

    @on.register
    def _(self, step: steps.HaltCallers) -> None:
        assert self.callers is not None
        self.callers.stop()

    @on.register
    def _(self, step: steps.Call) -> None:
        fleet = self.running
        callers = Callers(fleet, self.keys)
        entry = fleet.instances[step.entry]
        self.answer = callers.send(entry, RequestKind(step.kind), f'call-{step.line}', 'one call')

    # Waits.

    def _serving(self, version: str) -> int:
        rows = fetch_rollouts(self.running)
        found = [row['serving'] for row in rows if row['version'] == self.ids[version]]
        return found[0] if found else 0

    @on.register
    def _(self, step: steps.WaitServing) -> None:
        what = f'{step.version} on {step.count}'
        self._wait(step, what, lambda: self._serving(step.version) >= step.count)

    @on.register
    def _(self, step: steps.WaitReady) -> None:
        self.running.wait_ready(self.running.instances[step.name], step.within)

    @on.register
    def _(self, step: steps.WaitExit) -> None:
        process = self.running.processes[step.name]
        self._wait(step, f'exit of {step.name}', lambda: process.poll() is not None)
        if process.returncode != ExitStatus.SUCCESS:
            raise ScenarioFailed(f'line {step.line}: {step.name} ended with {process.returncode}')
        del self.running.processes[step.name]

    @on.register
    def _(self, step: steps.WaitInForce) -> None:
        names = step.names or tuple(self.running.instances)
        self._wait(step, 'in force', lambda: all(self._revision(n) >= self.accepted for n in names))

    def _revision(self, name: str) -> int:
        try:
            answer = fetch('GET', self.running.instances[name].host, ADMIN_PORT, '/readyz')
        except OSError:
            return -1
        return int(answer.json()['revision'])

    @on.register
    def _(self, step: steps.WaitVoters) -> None:
        self._wait(step, 'voters', lambda: count_voters(self.running) >= step.count)

    @on.register
    def _(self, step: steps.WaitAnswers) -> None:
        assert self.callers is not None
        callers = self.callers
        target = len(find_right_records(callers.records)) + step.count
        self._wait(step, 'answers', lambda: len(find_right_records(callers.records)) >= target)

    @on.register
    def _(self, step: steps.WaitIdle) -> None:
        self._wait(step, f'{step.name} idle', lambda: self._is_idle(step.name))

    def _is_idle(self, name: str) -> bool:
        before = self._begun(name)
        time.sleep(IDLE_S)
        self.started_when_idle[name] = self._begun(name)
        return self.started_when_idle[name] == before

    def _begun(self, name: str) -> int:
        lines = read_executions(self.running.executions(name))
        return sum(line['kind'] == 'begin' for line in lines)

    # Expectations.

    @on.register
    def _(self, step: steps.ExpectClean) -> None:
        assert self.callers is not None
        found = summarize_fleet_run(self.running, self.callers.records)
        self.say(f'   {found}')
        if not found.is_clean:
            bad = [item for item in self.callers.records if item.end is not CallOutcome.RIGHT]
            raise ScenarioFailed(f'line {step.line}: {found}: {bad[:5]}')

    @on.register
    def _(self, step: steps.ExpectUncut) -> None:
        assert self.callers is not None
        cut = [item for item in self.callers.records if item.cut_off]
        if cut:
            raise ScenarioFailed(f'line {step.line}: {len(cut)} requests were cut off: {cut[:3]}')

    @on.register
    def _(self, step: steps.ExpectNoLeader) -> None:
        fleet = self.running
        headers = {'authorization': f'Bearer {fleet.admin_token}'}
        running = [entry for entry in fleet.entries if entry.name in fleet.processes]
        for number in range(step.times):
            entry = running[number % len(running)]
            try:
                answer = fetch('GET', entry.host, CALLERS_PORT, STATE, headers=headers)
            except ConnectionRefusedError:
                time.sleep(POLL_S)
                continue
            if answer.status == 200:
                raise ScenarioFailed(f'line {step.line}: {entry.name} read from a leader')

    @on.register
    def _(self, step: steps.ExpectCopies) -> None:
        stats = self.running.origin_stats()
        sent = stats['draws'].get(f'{self.running.shape.model}/{step.version}', 0)
        copies = sent / self.running.options.model_bytes
        holds = copies <= step.copies if step.operator == '<=' else copies >= step.copies
        if not holds:
            raise ScenarioFailed(f'line {step.line}: the origin sent {copies:.3f} copies')

    @on.register
    def _(self, step: steps.ExpectAnswer) -> None:
        assert self.answer is not None
        found = (str(self.answer.status), self.answer.headers.get('millfork-reason', ''))
        if step.answer not in found:
            raise ScenarioFailed(f'line {step.line}: the answer was {found}')

    @on.register
    def _(self, step: steps.ExpectNewWork) -> None:
        new = self._begun(step.name) - self.started_when_idle[step.name]
        if new > step.most:
            raise ScenarioFailed(f'line {step.line}: {step.name} began {new} more requests')
