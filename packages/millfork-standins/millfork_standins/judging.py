"""
The check of a run: what callers were told against what was executed.

"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from millfork_standins.callers import Asked, End, Kind
from millfork_standins.execution_log import read_executions
from millfork_standins.fleet import Fleet


@dataclass(frozen=True, slots=True)
class Judgement:
    """
    Counts of one run. `doubled`: filings executed more than once, or
    executed although their caller was told 'not run'. `missing`: answered
    filings that nobody executed.

    """

    requests: int
    right: int
    wrong: int
    mixed: int
    lost: int
    doubled: int
    missing: int
    not_run: int
    told_unknown: int

    @property
    def is_clean(self) -> bool:
        bad = self.wrong + self.mixed + self.lost + self.doubled + self.missing
        return self.right > 0 and not bad


def judge(asked: list[Asked], executions: Iterable[dict[str, Any]]) -> Judgement:
    """
    Judge the callers' requests against the back ends' execution logs.

    """
    ends = Counter(item.end for item in asked)
    runs: Counter[str] = Counter()
    for line in executions:
        if line['kind'] == 'begin' and line.get('method') == 'POST':
            runs[line['nonce']] += 1
    filings = [item for item in asked if item.kind is Kind.FILING]
    told_not_run = sum(item.end is End.NOT_RUN and item.nonce in runs for item in filings)
    twice = sum(count > 1 for count in runs.values())
    missing = sum(item.end is End.RIGHT and item.nonce not in runs for item in filings)
    return Judgement(
        len(asked),
        ends[End.RIGHT],
        ends[End.WRONG],
        ends[End.MIXED],
        ends[End.LOST],
        twice + told_not_run,
        missing,
        ends[End.NOT_RUN],
        ends[End.TOLD_UNKNOWN],
    )


def judge_fleet(fleet: Fleet, asked: list[Asked]) -> Judgement:
    """
    Judge a run on a fleet by the logs of all its back ends.

    """
    executions: list[dict[str, Any]] = []
    for instance in fleet.instances.values():
        executions += read_executions(fleet.executions(instance.name))
    return judge(asked, executions)
