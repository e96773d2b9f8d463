"""
The report that an endpoint daemon of a listed fleet sends up the tree of subscribers.

"""

import msgspec

from millfork_wire.messages import Report


class EndpointReport(msgspec.Struct):
    """
    `shares`: the share of each wanted version's chunks that the endpoint holds, rounded down to
    eighths. `served`: the version that it serves of each deployment. `leaving`: whether it is
    shutting down.

    """

    shares: dict[str, float] = {}
    served: dict[str, str] = {}
    leaving: bool = False

    @classmethod
    def from_report(cls, report: Report | None) -> 'EndpointReport':
        """
        Decode a report. Without a report, or if it can't be decoded, return an empty one.

        """
        if report is None:
            return cls()
        try:
            return msgspec.json.decode(report.body, type=cls)
        except msgspec.DecodeError:
            return cls()
