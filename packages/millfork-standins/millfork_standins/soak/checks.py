"""
Checks the platform's promises about responses against the records of callers and back ends.

"""

from collections import Counter
from collections.abc import Collection, Iterable
from dataclasses import dataclass
from typing import Final

from millfork_standins.soak.callers import DEADLINE_MS, Answer, Timeline

# Statuses which promise that the request has not run and never will.
NOT_RUN_STATUSES: Final = frozenset({408, 421, 429, 503})
# Statuses that no caller may get, as every document of a soak run allows all requests of the
# callers.
WRONG_DENIAL_STATUSES: Final = frozenset({400, 401, 403, 404})
# Statuses that a caller may get at any time while no fault occurs.
FAULTLESS_STATUSES: Final = NOT_RUN_STATUSES | {200}
DEADLINE_PASSED_STATUS: Final = 504
# A fault excuses requests that began up to this time (`contact_ms` of a deployment) after it.
CONTACT_S: Final = 3.0
# A request that arrives while its connection is being closed may get no answer within this time
# (`lost_slack_ms`), but it must not run.
LOST_SLACK_S: Final = 0.2
# A request ends shortly before its deadline, so that its answer arrives in time.
DEADLINE_REACHED_S: Final = DEADLINE_MS / 1000 - 0.2
# The number of bytes at the end of a wrong answer that its description has.
LOGGED_BYTES: Final = 24


@dataclass(frozen=True, slots=True)
class Period:
    """
    A period in monotonic seconds, of a fault or of a planned stop at one host.

    """

    target: str
    began_at: float
    ended_at: float


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
        if answer.body != answer.expected_body or answer.echoed_id != answer.request_id:
            violations.append(
                f'{answer.request_id} got the answer of {answer.echoed_id!r}, '
                f'{len(answer.body)} bytes that end with {answer.body[-LOGGED_BYTES:]!r}'
            )
        if answer.request_id not in executed.get(answer.back_end, ()):
            violations.append(f'{answer.request_id} was not run by {answer.back_end!r}')
    return violations


def find_lost_requests(
    answers: Iterable[Answer],
    executed: dict[str, list[str]],
    faults: list[Period],
    stops: list[Period],
    broken_ids: Collection[str] = (),
) -> list[str]:
    """
    Describe each request that ended without a complete answer or a refusal although no fault
    occurred from `CONTACT_S` before the request until its end, and no back end broke its answer off
    (`broken_ids`). Planned stops (`stops`), reloads,
    changes of the configuration and pauses of back ends are no faults.

    """
    ran = {request_id for ids in executed.values() for request_id in ids}
    violations = []
    for answer in answers:
        timeline = answer.timeline
        if timeline is None or answer.status in FAULTLESS_STATUSES:
            continue
        if answer.request_id in broken_ids:
            continue
        if any(
            fault.began_at <= timeline.ended_at
            and timeline.started_at - CONTACT_S <= fault.ended_at
            for fault in faults
        ):
            continue
        waited_s = timeline.ended_at - timeline.started_at
        if answer.status == DEADLINE_PASSED_STATUS and waited_s >= DEADLINE_REACHED_S:
            continue
        if answer.status:
            violations.append(
                f'{answer.request_id} got {answer.status} after {waited_s:.3f} s '
                f'while no fault occurred'
            )
            continue
        if _is_lost(timeline, answer.request_id in ran, stops):
            violations.append(
                f'{answer.request_id} got no complete answer from {timeline.entry} '
                f'after {waited_s:.3f} s: '
                f'{"answer begun" if timeline.has_head else "no head"}, '
                f'{"run" if answer.request_id in ran else "not run"}, while no fault occurred'
            )
    return violations


def _is_lost(timeline: Timeline, has_run: bool, stops: list[Period]) -> bool:
    waited_s = timeline.ended_at - timeline.started_at
    if timeline.has_head:
        # An answer that is not complete at its deadline is broken off.
        return waited_s < DEADLINE_REACHED_S
    if has_run:
        return True
    if timeline.sent_at is None:
        return False
    if timeline.ended_at - timeline.sent_at > LOST_SLACK_S:
        return True
    return not any(
        stop.target == timeline.entry
        and stop.began_at <= timeline.sent_at
        and timeline.connected_at <= stop.ended_at
        for stop in stops
    )
