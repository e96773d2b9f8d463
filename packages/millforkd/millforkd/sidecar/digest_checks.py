"""
Tells when the list of digests of a version may be wrong.

The list comes from the origin like the pieces, and may arrive corrupt as they do. A wrong digest
refuses the right piece for ever, and every process that is sent the list refuses it as well. Lists
are not compared with each other, since either of two may be wrong: a digest is replaced only by one
that a received piece matches, and never while a piece is held that matches it.

"""

import hashlib
from dataclasses import dataclass, field
from enum import Enum
from typing import Final

# The pause after a list that corrected nothing, so that a piece that stays corrupt at the origin
# costs few transfers.
PAUSE_S: Final = 1.0
# A corrupt piece from the origin is simply fetched again. The same content twice is more likely the
# piece, and its digest wrong.
ORIGIN_ARRIVALS: Final = 2


class PieceSource(Enum):
    """
    The kind of sender of a piece. Caches and peers verify each piece before they send it.

    """

    ORIGIN = 'origin'
    CACHE = 'cache'
    PEER = 'peer'


@dataclass(slots=True)
class _Rejected:
    """
    The content that last arrived for a piece and did not match its digest: its SHA-256 in hex, and
    how often in a row it arrived.

    """

    digest: str
    arrivals: int


@dataclass(slots=True)
class DigestChecks:
    """
    The pieces of one version that did not match their digests.

    """

    rejected: dict[int, _Rejected] = field(default_factory=dict)
    # No list is requested before this time (monotonic seconds).
    ask_again_at: float = float('-inf')

    def record_rejected(self, index: int, data: bytes) -> None:
        digest = hashlib.sha256(data).hexdigest()
        known = self.rejected.get(index)
        if known is not None and known.digest == digest:
            known.arrivals += 1
            return
        self.rejected[index] = _Rejected(digest, 1)

    def record_accepted(self, index: int) -> None:
        self.rejected.pop(index, None)

    def is_doubtful(self, index: int, source: PieceSource) -> bool:
        """
        Whether the digest of a piece that `source` sent is likely to be wrong.

        """
        known = self.rejected.get(index)
        if known is None:
            return False
        return known.arrivals >= (ORIGIN_ARRIVALS if source is PieceSource.ORIGIN else 1)

    def may_ask(self, now: float) -> bool:
        return now >= self.ask_again_at

    def record_list(self, corrected: bool, now: float) -> None:
        """
        Record that a request for a list of digests ended, and whether the list corrected a digest.

        """
        self.ask_again_at = now if corrected else now + PAUSE_S

    def corrections(self, digests: tuple[str, ...]) -> dict[int, str]:
        """
        The digests of another list, by index, that match a piece which was rejected.

        """
        return {
            index: known.digest
            for index, known in self.rejected.items()
            if index < len(digests) and digests[index] == known.digest
        }
