"""
`Retry-After` as RFC 9110 has it: seconds or a date; fractions of a second are read as well.

"""

import math
from dataclasses import dataclass
from datetime import UTC, datetime
from email.utils import parsedate_to_datetime
from typing import Final

from millfork_web.models import Headers

RETRY_AFTER: Final = 'retry-after'
DATE: Final = 'date'
# Answers by which a server turns a request away, and may say for how long.
TURNED_AWAY: Final = frozenset({429, 503})
# Every whole number up to here is a float as well.
MAX_AMOUNT: Final = 2.0**53


@dataclass(frozen=True, slots=True)
class RetryAfter:
    """
    The seconds asked for (None: nothing is), and the values that make no sense.

    """

    seconds: float | None = None
    unread: tuple[str, ...] = ()


def read_retry_after(headers: Headers) -> RetryAfter:
    """
    Of several values the longest holds; a date counts from the answer's own, if it has one.

    """
    found: list[float] = []
    unread: list[str] = []
    for text in header_values(headers, RETRY_AFTER):
        seconds = parse_amount(text)
        if seconds is None:
            seconds = _seconds_until(text, headers)
        if seconds is None:
            unread.append(text)
            continue
        found.append(seconds)
    return RetryAfter(max(found, default=None), tuple(unread))


def header_values(headers: Headers, name: str) -> list[str]:
    """
    All values of a header (`name` in lower case).

    """
    return [value.strip() for key, value in headers if key == name]


def parse_amount(text: str) -> float | None:
    """
    A decimal number from 0 on; None if it is none.

    """
    try:
        number = float(text)
    except ValueError:
        return None
    return number if math.isfinite(number) and 0 <= number <= MAX_AMOUNT else None


def _seconds_until(text: str, headers: Headers) -> float | None:
    until = _date(text)
    if until is None:
        return None
    dates = [_date(value) for value in header_values(headers, DATE)]
    now = dates[0] if dates and dates[0] is not None else datetime.now(UTC)
    return max((until - now).total_seconds(), 0.0)


def _date(text: str) -> datetime | None:
    """
    A date as in RFC 9110, which is always of UTC.

    """
    try:
        date = parsedate_to_datetime(text)
    except (ValueError, OverflowError):
        return None
    return date if date.tzinfo is not None else date.replace(tzinfo=UTC)
