"""
Writes refusals as HTTP responses with a problem body (RFC 9457).

"""

import json
import math
from typing import Final

from millfork_core.verdicts import Refusal
from millfork_web.models import Response

CONTENT_TYPE: Final = 'application/problem+json'


def problem(refusal: Refusal) -> Response:
    """
    Create the response for a refusal. Its body and headers give the verdict, the reason and, if
    waiting helps, the time after which the caller may try again.

    """
    body = {
        'type': f'urn:millfork:reason:{refusal.reason.value}',
        'title': refusal.reason.value.replace('_', ' '),
        'status': refusal.http_status,
        'detail': refusal.detail,
        'reason': refusal.reason.value,
        'verdict': refusal.verdict.value,
    }
    headers = [
        ('content-type', CONTENT_TYPE),
        ('millfork-verdict', refusal.verdict.value),
        ('millfork-reason', refusal.reason.value),
    ]
    if refusal.wait_ms:
        body['retry_after_ms'] = refusal.wait_ms
        headers.append(('retry-after', str(math.ceil(refusal.wait_ms / 1000))))
    return Response(refusal.http_status, headers, json.dumps(body).encode())
