"""
A blocking HTTP client, based on the standard library, for tests and programs that run fleets.

"""

import http.client
import json
from dataclasses import dataclass
from typing import Any, Final

TIMEOUT_S: Final = 10.0


@dataclass(slots=True)
class Answer:
    """
    A complete response; header names are in lower case.

    """

    status: int
    headers: dict[str, str]
    body: bytes

    def json(self) -> Any:
        return json.loads(self.body)


def fetch(
    method: str,
    host: str,
    port: int,
    path: str,
    body: bytes = b'',
    headers: dict[str, str] | None = None,
    timeout: float = TIMEOUT_S,
) -> Answer:
    """
    Send one request on a new connection and return the response.

    :raises OSError: if no complete response arrives.

    """
    connection = http.client.HTTPConnection(host, port, timeout=timeout)
    try:
        connection.request(method, path, body, headers or {})
        response = connection.getresponse()
        content = response.read()
        response_headers = {name.lower(): value for name, value in response.getheaders()}
        return Answer(response.status, response_headers, content)
    except http.client.HTTPException as error:
        raise ConnectionError(f'{type(error).__name__}: {error}') from error
    finally:
        connection.close()


def fetch_json(method: str, host: str, port: int, path: str, body: Any = None) -> Any:
    """
    Send a JSON body and return the JSON of the response.

    :raises OSError: if no complete response arrives or its status is not 200.

    """
    data = b'' if body is None else json.dumps(body).encode()
    answer = fetch(method, host, port, path, data)
    if answer.status != 200:
        raise OSError(f'{path} answered {answer.status}: {answer.body[:200]!r}')
    return answer.json()
