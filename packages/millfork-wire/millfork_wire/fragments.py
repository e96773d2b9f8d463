"""
Large frames are sent in fragments, between which frames of other priorities may be sent. The
header of a fragment has the length of the fragment and the flags below.

"""

from dataclasses import dataclass
from typing import Final

from millfork_wire import codec
from millfork_wire.codec import BadFrame, Frame
from millfork_wire.priorities import Priority

FRAGMENT_BYTES: Final = 32 * 1024


@dataclass(frozen=True, slots=True)
class Fragment:
    """
    A frame or a part of one, without its header. `more` is set if further parts follow.

    """

    priority: Priority
    packed: bool
    more: bool
    body: bytes


def split_frame(data: bytes) -> list[bytes]:
    """
    Split an encoded frame into fragments with headers of their own. A frame of up to
    `FRAGMENT_BYTES` stays whole.

    """
    if len(data) <= codec.LENGTH_BYTES + FRAGMENT_BYTES:
        return [data]
    header = codec.parse_header(data[: codec.LENGTH_BYTES])
    body = memoryview(data)[codec.LENGTH_BYTES :]
    fragments = []
    for start in range(0, len(body), FRAGMENT_BYTES):
        part = body[start : start + FRAGMENT_BYTES]
        more = start + FRAGMENT_BYTES < len(body)
        fragments.append(
            codec.encode_header(len(part), header.priority, header.packed, more) + bytes(part)
        )
    return fragments


class FrameAssembler:
    """
    Joins the fragments that one connection receives. The fragments of one priority arrive in their
    order.

    """

    def __init__(self) -> None:
        self.partial: dict[Priority, bytearray] = {}
        # The bytes of the last whole frame, without its headers.
        self.last_frame_bytes = 0

    def add(self, fragment: Fragment) -> Frame | None:
        """
        Add a fragment, and return the frame that it completes, if any.

        :raises BadFrame: if the frame is over `MAX_FRAME_BYTES` or its bytes are not a frame.

        """
        if not fragment.more and fragment.priority not in self.partial:
            self.last_frame_bytes = len(fragment.body)
            return codec.decode(fragment.body, fragment.packed)
        body = self.partial.setdefault(fragment.priority, bytearray())
        body += fragment.body
        if len(body) > codec.MAX_FRAME_BYTES:
            raise BadFrame(f'a frame of over {len(body)} bytes is over the limit')
        if fragment.more:
            return None
        del self.partial[fragment.priority]
        self.last_frame_bytes = len(body)
        return codec.decode(bytes(body), fragment.packed)
