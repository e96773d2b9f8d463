"""
What the head of a response says: whether it is one, and where its body ends (RFC 9112, section 6).

"""

from enum import Enum
from typing import Final

import h11

from millfork_web.models import Headers, find_header

BODILESS_STATUSES: Final = (204, 304)
# The statuses of final responses (RFC 9110, section 15).
MIN_FINAL_STATUS: Final = 200
MAX_STATUS: Final = 599
STATUS_LINE_START: Final = b'HTTP/1.'
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


def is_final_status(status: int) -> bool:
    return MIN_FINAL_STATUS <= status <= MAX_STATUS


def may_get_response(conn: h11.Connection) -> bool:
    """
    Whether what a client has received since the last response can be the beginning of one.

    """
    if conn.their_state is not h11.SEND_RESPONSE:
        return True
    data = conn.trailing_data[0]
    return data.startswith(STATUS_LINE_START) or STATUS_LINE_START.startswith(data)


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
