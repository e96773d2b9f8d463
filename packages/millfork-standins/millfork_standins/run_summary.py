"""
Compares the callers' answers with the execution logs of the back ends.

"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from typing import Any

from millfork_standins.callers import CallOutcome, CallRecord, RequestKind
from millfork_standins.execution_log import read_executions
from millfork_standins.fleet import Fleet


@dataclass(frozen=True, slots=True)
class RunSummary:
    """
    Counts of the requests of one run; `CallOutcome` explains those not explained here. `doubled`:
    filings (see `RequestKind`) executed more than once, or executed although their caller got the
    verdict 'not run'. `missing`: filings with a right answer that no back end executed.
    `told_unknown`: filings whose callers were not told whether the filings were executed.

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


def summarize_run(records: list[CallRecord], executions: Iterable[dict[str, Any]]) -> RunSummary:
    """
    Count the outcomes and compare the filings with the executions, which are the parsed lines of
    execution logs.

    """
    outcomes = Counter(record.outcome for record in records)
    executions_by_nonce: Counter[str] = Counter()
    for line in executions:
        if line['kind'] == 'begin' and line.get('method') == 'POST':
            executions_by_nonce[line['nonce']] += 1
    filings = [record for record in records if record.kind is RequestKind.FILING]
    executed_after_not_run = sum(
        record.outcome is CallOutcome.NOT_RUN and record.nonce in executions_by_nonce
        for record in filings
    )
    executed_twice = sum(count > 1 for count in executions_by_nonce.values())
    missing = sum(
        record.outcome is CallOutcome.RIGHT and record.nonce not in executions_by_nonce
        for record in filings
    )
    return RunSummary(
        len(records),
        outcomes[CallOutcome.RIGHT],
        outcomes[CallOutcome.WRONG],
        outcomes[CallOutcome.MIXED],
        outcomes[CallOutcome.LOST],
        executed_twice + executed_after_not_run,
        missing,
        outcomes[CallOutcome.NOT_RUN],
        outcomes[CallOutcome.MAY_HAVE_RUN],
    )


def summarize_fleet_run(fleet: Fleet, records: list[CallRecord]) -> RunSummary:
    """
    Summarize a run on a fleet from the callers' records and the logs of all back ends.

    """
    executions: list[dict[str, Any]] = []
    for instance in fleet.instances.values():
        executions += read_executions(fleet.execution_log_path(instance.name))
    return summarize_run(records, executions)
