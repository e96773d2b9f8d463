"""
Checks the platform's promises about responses against the records of callers and back ends.

"""

from collections import Counter
from collections.abc import Iterable
from typing import Final

from millfork_standins.soak.callers import Answer

# Statuses which promise that the request has not run and never will.
NOT_RUN_STATUSES: Final = frozenset({408, 421, 429, 503})
# Statuses that no caller may get, as every document of a soak run allows all requests of the
# callers.
WRONG_DENIAL_STATUSES: Final = frozenset({400, 401, 403, 404})
WHOLE_BODY: Final = b'answer'


def broken_promises(answers: Iterable[Answer], executed: dict[str, list[str]]) -> list[str]:
    """
    Describe each broken promise. `executed` has the IDs of the requests that each back end
    ran.

    """
    runs = Counter(request_id for ids in executed.values() for request_id in ids)
    violations = []
    for answer in answers:
        ran = runs[answer.request_id]
        if not answer.repeatable and ran > 1:
            violations.append(f'{answer.request_id} ran {ran} times')
        if answer.status in NOT_RUN_STATUSES and ran:
            violations.append(f'{answer.request_id} was refused with {answer.status} and ran')
        if answer.status in WRONG_DENIAL_STATUSES:
            violations.append(f'{answer.request_id} was denied with {answer.status}')
        if answer.status != 200:
            continue
        if answer.body != WHOLE_BODY or answer.echoed_id != answer.request_id:
            violations.append(f'{answer.request_id} got the answer of {answer.echoed_id!r}')
        if answer.request_id not in executed.get(answer.back_end, ()):
            violations.append(f'{answer.request_id} was not run by {answer.back_end!r}')
    return violations
