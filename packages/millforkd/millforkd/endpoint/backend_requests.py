"""
Builds the request that an endpoint sends to its back end.

"""

import json
from typing import Final

from millfork_web.models import Headers
from millforkd.endpoint.reservations import Reservation

REQUEST_ID_HEADER: Final = 'x-request-id'
PRIORITY_HEADER: Final = 'x-priority'


def build_backend_request(reservation: Reservation, is_engine: bool) -> tuple[Headers, bytes]:
    """
    Return the headers and body to send. Requests to an engine also carry their priority and, as
    `model`, the version of the weights that they were admitted to.

    """
    request = reservation.request
    headers = [
        (header.name, header.value)
        for header in request.headers
        if header.name != REQUEST_ID_HEADER
    ]
    headers.append((REQUEST_ID_HEADER, request.request_id))
    if not is_engine:
        return headers, request.body
    headers.append((PRIORITY_HEADER, str(request.priority)))
    body = json.loads(request.body)
    body['model'] = reservation.version
    return headers, json.dumps(body).encode()
