"""
What an endpoint reports up the tree.

"""

import msgspec

from millfork_wire.messages import Report


class EndpointReport(msgspec.Struct):
    """
    Versions arriving (share of chunks held, in eighths), deployments served
    (by version), whether the endpoint leaves.

    """

    shares: dict[str, float] = {}
    served: dict[str, str] = {}
    leaving: bool = False

    @classmethod
    def of(cls, report: Report | None) -> 'EndpointReport':
        """
        The content of a report; an empty one where there is none.

        """
        if report is None:
            return cls()
        try:
            return msgspec.json.decode(report.body, type=cls)
        except msgspec.DecodeError:
            return cls()
