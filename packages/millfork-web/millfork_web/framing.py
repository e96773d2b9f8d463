"""
How the head of a response says where its body ends (RFC 9112, section 6.3).

"""

from enum import Enum
from typing import Final

from millfork_web.models import Headers, find_header

BODILESS_STATUSES: Final = (204, 304)
# The greatest number of informational responses before a response.
MAX_INFORMATIONAL: Final = 16


class Framing(Enum):
    """
    What ends the body of a response: the number of bytes that the head states (0 if the response
    can have no body), the last chunk, or the end of the connection. Only with CONNECTION does a
    server that fails in the middle of the body look like one that has finished.

    """

    LENGTH = 'length'
    CHUNKED = 'chunked'
    CONNECTION = 'connection'


def read_framing(method: str, status: int, headers: Headers) -> Framing:
    """
    The framing of the response to a request with this method.

    """
    if method == 'HEAD' or status in BODILESS_STATUSES:
        return Framing.LENGTH
    if find_header(headers, 'transfer-encoding'):
        return Framing.CHUNKED
    if find_header(headers, 'content-length'):
        return Framing.LENGTH
    return Framing.CONNECTION
