"""
What the instances report of themselves, passed up the tree.

"""

from dataclasses import dataclass

import curio

from millfork_core.ids import InstanceId
from millfork_wire.messages import Report


@dataclass(slots=True)
class Known:
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
        self.known: dict[InstanceId, Known] = {}
        self.arrivals = 0
        self.changed = curio.Event()

    async def take(self, reports: list[Report]) -> None:
        """
        Keep what is newer than what is known.

        """
        news = False
        for report in reports:
            held = self.known.get(InstanceId(report.instance))
            if held is not None and not _is_newer(report, held.report):
                continue
            self.arrivals += 1
            self.known[InstanceId(report.instance)] = Known(report, self.arrivals)
            news = True
        if news:
            await self.changed.set()

    def since(self, arrival: int) -> list[Report]:
        return [known.report for known in self.known.values() if known.arrival > arrival]


def _is_newer(report: Report, held: Report) -> bool:
    return (report.incarnation, report.sequence) > (held.incarnation, held.sequence)
