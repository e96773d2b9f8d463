"""
The report that an endpoint sends up the tree of subscribers.

"""

import msgspec

from millfork_wire.messages import Report


class EndpointReport(msgspec.Struct):
    """
    `shares`: the share of chunks held of each version in transfer, in eighths. `served`: the
    version served of each deployment. `leaving`: whether the endpoint is shutting down.

    """

    shares: dict[str, float] = {}
    served: dict[str, str] = {}
    leaving: bool = False

    @classmethod
    def from_report(cls, report: Report | None) -> 'EndpointReport':
        """
        Decode a report; an empty one if there is none or it can't be decoded.

        """
        if report is None:
            return cls()
        try:
            return msgspec.json.decode(report.body, type=cls)
        except msgspec.DecodeError:
            return cls()
