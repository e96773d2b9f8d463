"""
Sends single HTTP requests to the processes of a seeded fleet.

"""

from dataclasses import dataclass, field
from http.client import HTTPConnection, HTTPException
from typing import Final

from millfork_web.models import Request

CALL_TIMEOUT_S: Final = 5.0


@dataclass(slots=True)
class Reply:
    """
    The response that a caller got; `status` is 0 if no complete response arrived.

    """

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b''


class Http10Connection(HTTPConnection):
    """
    A connection of a caller that uses HTTP/1.0.

    """

    _http_vsn = 10
    _http_vsn_str = 'HTTP/1.0'


def call(
    host: str,
    port: int,
    request: Request,
    connection_type: type[HTTPConnection] = HTTPConnection,
) -> Reply:
    """
    Send one request on a new connection and return the reply.

    """
    connection = connection_type(host, port, timeout=CALL_TIMEOUT_S)
    try:
        connection.request(request.method, request.path, request.body, dict(request.headers))
        response = connection.getresponse()
        body = response.read()
    except (OSError, HTTPException):
        return Reply(0)
    finally:
        connection.close()
    headers = {name.lower(): value for name, value in response.getheaders()}
    return Reply(response.status, headers, body)
