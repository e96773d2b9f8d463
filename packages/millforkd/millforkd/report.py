"""
The report that an endpoint daemon of a listed fleet sends to its upstream, the process from which
it receives configuration updates.

"""

import msgspec

from millfork_wire.messages import Report


class EndpointReport(msgspec.Struct):
    """
    The state of an endpoint daemon. `shares`: by wanted version, the share of its chunks that the
    daemon holds, rounded down to eighths. `served`: by deployment, the version that the daemon
    serves. `leaving`: whether the daemon is shutting down.

    """

    shares: dict[str, float] = {}
    served: dict[str, str] = {}
    leaving: bool = False

    @classmethod
    def from_report(cls, report: Report | None) -> 'EndpointReport':
        """
        Decode the body of a report. Return an empty `EndpointReport` if there is no report or its
        body can't be decoded.

        """
        if report is None:
            return cls()
        try:
            return msgspec.json.decode(report.body, type=cls)
        except msgspec.DecodeError:
            return cls()
