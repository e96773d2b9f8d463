"""
What the instances report of themselves, passed up the tree.

"""

from dataclasses import dataclass

import curio

from millfork_core.ids import InstanceId
from millfork_wire.messages import Report


@dataclass(slots=True)
class ReceivedReport:
    """
    A report and the order in which it came here.

    """

    report: Report
    arrival: int

    @property
    def row(self) -> tuple[str, int, int, bytes]:
        report = self.report
        return report.instance, report.incarnation, report.sequence, report.body


class Reports:
    """
    The newest report of each instance heard of here.

    """

    def __init__(self) -> None:
        self.by_instance: dict[InstanceId, ReceivedReport] = {}
        self.last_arrival = 0
        self.changed = curio.Event()

    async def merge(self, reports: list[Report]) -> None:
        """
        Keep what is newer than what is known.

        """
        news = False
        for report in reports:
            held = self.by_instance.get(InstanceId(report.instance))
            if held is not None and not _is_newer(report, held.report):
                continue
            self.last_arrival += 1
            self.by_instance[InstanceId(report.instance)] = ReceivedReport(
                report, self.last_arrival
            )
            news = True
        if news:
            await self.changed.set()

    def received_after(self, arrival: int) -> list[Report]:
        return [known.report for known in self.by_instance.values() if known.arrival > arrival]


def _is_newer(report: Report, held: Report) -> bool:
    return (report.incarnation, report.sequence) > (held.incarnation, held.sequence)
