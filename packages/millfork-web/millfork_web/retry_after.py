"""
Parses `Retry-After` (RFC 9110): seconds or a date. Fractions of a second are accepted too.

"""

import math
from dataclasses import dataclass
from datetime import UTC, datetime
from email.utils import parsedate_to_datetime
from typing import Final

from millfork_web.models import Headers

RETRY_AFTER: Final = 'retry-after'
DATE: Final = 'date'
# Statuses with which a server rejects a request and may ask the sender to wait.
REJECTION_STATUSES: Final = frozenset({429, 503})
# The largest number that `parse_amount` accepts: a float represents every integer up to it exactly.
MAX_AMOUNT: Final = 2.0**53


@dataclass(frozen=True, slots=True)
class RetryAfter:
    """
    The wait that the server asks for (None: no valid value), and the header values that can't be
    parsed.

    """

    seconds: float | None = None
    invalid_values: tuple[str, ...] = ()


def read_retry_after(headers: Headers) -> RetryAfter:
    """
    Return the longest wait of all `Retry-After` headers, and their invalid values. The wait for a
    date is counted from the first `Date` header of the response, or from now if there is no such
    header or it is invalid.

    """
    waits_s: list[float] = []
    invalid_values: list[str] = []
    for text in header_values(headers, RETRY_AFTER):
        seconds = parse_amount(text)
        if seconds is None:
            seconds = _seconds_until_date(text, headers)
        if seconds is None:
            invalid_values.append(text)
            continue
        waits_s.append(seconds)
    return RetryAfter(max(waits_s, default=None), tuple(invalid_values))


def header_values(headers: Headers, name: str) -> list[str]:
    """
    Return all values of a header (`name` in lower case).

    """
    return [value.strip() for key, value in headers if key == name]


def parse_amount(text: str) -> float | None:
    """
    Parse a number from 0 to `MAX_AMOUNT`; None if the text is anything else.

    """
    try:
        number = float(text)
    except ValueError:
        return None
    return number if math.isfinite(number) and 0 <= number <= MAX_AMOUNT else None


def _seconds_until_date(text: str, headers: Headers) -> float | None:
    retry_at = _parse_date(text)
    if retry_at is None:
        return None
    dates = [_parse_date(value) for value in header_values(headers, DATE)]
    now = dates[0] if dates and dates[0] is not None else datetime.now(UTC)
    return max((retry_at - now).total_seconds(), 0.0)


def _parse_date(text: str) -> datetime | None:
    """
    Parse a date as in RFC 9110; None if it is invalid. A date without a time zone is in UTC.

    """
    try:
        date = parsedate_to_datetime(text)
    except (ValueError, OverflowError):
        return None
    return date if date.tzinfo is not None else date.replace(tzinfo=UTC)
