"""
Requests and responses of the server and the client.

"""

import json
from dataclasses import dataclass, field
from typing import Any

Headers = list[tuple[str, str]]


def find_header(headers: Headers, name: str) -> str:
    """
    The first value of a header (`name` in lower case), or ''.

    """
    for key, value in headers:
        if key == name:
            return value
    return ''


def without_header(headers: Headers, name: str) -> Headers:
    """
    The headers except those called `name` (in lower case).

    """
    return [item for item in headers if item[0] != name]


@dataclass(slots=True)
class Request:
    """
    A complete request; header names are in lower case.

    """

    method: str
    path: str
    headers: Headers = field(default_factory=list)
    body: bytes = b''

    def header(self, name: str) -> str:
        return find_header(self.headers, name)

    def json(self) -> Any:
        """
        The body as JSON.

        :raises ValueError: if it is not valid JSON.

        """
        return json.loads(self.body)


@dataclass(slots=True)
class Response:
    """
    A complete response; header names are in lower case.

    """

    status: int
    headers: Headers = field(default_factory=list)
    body: bytes = b''

    def header(self, name: str) -> str:
        return find_header(self.headers, name)

    def json(self) -> Any:
        return json.loads(self.body)


def json_response(body: Any, status: int = 200) -> Response:
    """
    A response with a JSON body.

    """
    return Response(status, [('content-type', 'application/json')], json.dumps(body).encode())
