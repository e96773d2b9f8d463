"""
Requests and responses, as the HTTP server and the HTTP client use them.

"""

import json
from dataclasses import dataclass, field
from typing import Any

Headers = list[tuple[str, str]]


def find_header(headers: Headers, name: str) -> str:
    """
    Return the first value of a header (`name` in lower case); '' if the header is missing.

    """
    for key, value in headers:
        if key == name:
            return value
    return ''


def without_header(headers: Headers, name: str) -> Headers:
    """
    Return the headers except those called `name` (in lower case).

    """
    return [item for item in headers if item[0] != name]


def encode_headers(headers: Headers) -> list[tuple[bytes, bytes]]:
    """
    Encode headers as they are decoded, as Latin-1, so that values with bytes outside ASCII pass
    unchanged. h11 itself would encode them as ASCII.

    """
    return [(name.encode('latin-1'), value.encode('latin-1')) for name, value in headers]


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
        Parse the body as JSON.

        :raises ValueError: if the body is not valid JSON.

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
    Create a response with `body` as JSON.

    """
    return Response(status, [('content-type', 'application/json')], json.dumps(body).encode())
