"""
Requests to a fleet of simulated engines with staging areas.

"""

from millfork_platform import client_requests, names
from millfork_standins.back_end import STREAM_PATH
from millfork_standins.staging_fleet import DEADLINE_MS
from millfork_web.models import Request
from tests.test_seeded_fleet import request


def stream_request():
    """
    The request of a caller for a stream.

    """
    call = request(STREAM_PATH, 'POST', body=b'prompt')
    headers = [item for item in call.headers if item[0] != client_requests.DEADLINE_MS]
    headers += [(client_requests.DEADLINE_MS, str(DEADLINE_MS)), (names.MODEL, 'm')]
    headers += [(names.TOKEN_COUNT, '100,40')]
    return Request(call.method, call.path, headers, call.body)
