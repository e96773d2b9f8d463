"""
Reports that instances make about themselves, which are passed up the distribution tree.

"""

from dataclasses import dataclass

import curio

from millfork_core.ids import InstanceId
from millfork_wire.messages import Report


@dataclass(slots=True)
class ReceivedReport:
    """
    A report and its position in the order of arrival at this process.

    """

    report: Report
    arrival: int

    @property
    def row(self) -> tuple[str, int, int, bytes]:
        report = self.report
        return report.instance, report.incarnation, report.sequence, report.body


class Reports:
    """
    The newest report of each instance that has reached this process.

    """

    def __init__(self) -> None:
        self.by_instance: dict[InstanceId, ReceivedReport] = {}
        self.last_arrival = 0
        self.changed = curio.Event()

    async def merge(self, reports: list[Report]) -> None:
        """
        Store each report that is newer than the stored one of its instance.

        """
        has_changed = False
        for report in reports:
            known = self.by_instance.get(InstanceId(report.instance))
            if known is not None and not _is_newer(report, known.report):
                continue
            self.last_arrival += 1
            self.by_instance[InstanceId(report.instance)] = ReceivedReport(
                report, self.last_arrival
            )
            has_changed = True
        if has_changed:
            await self.changed.set()

    def received_after(self, arrival: int) -> list[Report]:
        return [known.report for known in self.by_instance.values() if known.arrival > arrival]


def _is_newer(report: Report, known: Report) -> bool:
    return (report.incarnation, report.sequence) > (known.incarnation, known.sequence)
