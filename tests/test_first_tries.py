"""
Whether requests are recognised as first tries or retries of their callers.

"""

from random import Random

import pytest

from millfork_scheduling.first_tries import (
    MAX_ROUTES,
    MIN_FIRST_TRIES,
    RETRIES_POSSIBLE_S,
    FirstTryDetector,
    FirstTryEstimate,
)
from millfork_scheduling.turned_away import MAX_REMEMBERED, REMEMBERED_S, TurnedAwayRequests
from millfork_standins.bench.retry_detection import SHIFTED, DetectionMethod, RetryDetectionModel

# At most this share of first tries may be mistaken for retries. It is so low that no caller is
# refused for such a mistake under low load.
MAX_MISCLASSIFIED_SHARE = 0.002


def detector_with(deadlines):
    detector = FirstTryDetector()
    for deadline_ms in deadlines:
        detector.estimate('r', deadline_ms, 0.0)
    return detector


@pytest.fixture
def common_deadline():
    return detector_with([6080 - number % 10 for number in range(MIN_FIRST_TRIES)])


@pytest.fixture
def mixed_deadlines():
    random = Random(1)
    return detector_with([random.randint(5190, 6080) for _ in range(100)])


def test_with_one_common_deadline_a_shorter_one_shows_a_retry(common_deadline):
    assert common_deadline.estimate('r', 6074, 1.0) == FirstTryEstimate()
    assert common_deadline.estimate('r', 5630, 1.0).elapsed_ms == pytest.approx(446, abs=10)


def test_with_different_deadlines_a_short_one_is_undecided(mixed_deadlines):
    """
    On a fleet whose callers begin with different deadlines, half of the first tries were counted
    as retries. Their target time seemed to have passed already, so they were sent only to engines
    with spare slots.

    """
    for deadline_ms in range(5200, 5900, 50):
        assert mixed_deadlines.estimate('r', deadline_ms, 1.0) == FirstTryEstimate(
            is_undecided=True
        )


def test_a_deadline_shorter_than_any_first_try_shows_a_retry(mixed_deadlines):
    assert mixed_deadlines.estimate('r', 4900, 1.0).elapsed_ms > 500


def last_estimate_under_load(deadlines):
    """
    The estimate for the last of some requests at an entry that turned a caller away just after the
    entry started.

    """
    detector = FirstTryDetector()
    detector.record_turned_away(0.0)
    return [detector.estimate('r', deadline_ms, 0.1) for deadline_ms in deadlines][-1]


def test_after_a_start_under_load_the_latest_deadlines_decide():
    random = Random(1)
    assert last_estimate_under_load([6080, 6078, 5700, 6079, 5600, 6075, 5650]).elapsed_ms == 430
    mixed_deadlines = [random.randint(5190, 6080) for _ in range(12)]
    assert last_estimate_under_load([*mixed_deadlines, 5600]) == FirstTryEstimate(is_undecided=True)


def share_mistaken_for_retries(min_share, counted):
    """
    The share of first tries that are mistaken for retries if callers begin with `min_share` to 1
    times the usual deadline. Only the first tries whose positions in the sequence are in `counted`
    are considered.

    """
    mistaken = []
    for seed in range(200):
        random = Random(seed)
        detector = FirstTryDetector()
        for position in range(counted.stop):
            estimate = detector.estimate('r', int(6000 * random.uniform(min_share, 1.0)), 0.0)
            if position in counted:
                mistaken.append(estimate.elapsed_ms > 0)
    return sum(mistaken) / len(mistaken)


@pytest.mark.parametrize('min_share', [0.5, 0.6, 0.7, 0.8, 0.85, 0.9, 0.95])
@pytest.mark.parametrize(
    'counted', [range(MIN_FIRST_TRIES), range(MIN_FIRST_TRIES, 3 * MIN_FIRST_TRIES)]
)
def test_first_tries_with_different_deadlines_are_not_mistaken_for_retries(min_share, counted):
    """
    Guards against first tries that are refused as retries because too few similar deadlines count
    as evidence that callers begin with one common deadline.

    A caller was turned away in this way while two thirds of the slots were free. The entry had
    received 14 requests of the route, six of them with deadlines within 120 ms of the longest one
    by chance. The caller's deadline was 677 ms shorter than the longest one, so its first try
    counted as a retry without remaining time.

    While any two requests were enough evidence, 0.074 of the first 20 first tries of an entry that
    had just started, or of a route with little traffic, counted as retries if callers began with
    0.85 to 1 times the usual deadline, and 0.269 if they began with 0.95 to 1 times. Of the next 40
    first tries, 0.012 counted as retries if callers began with half the usual deadline or more.

    """
    assert share_mistaken_for_retries(min_share, counted) < MAX_MISCLASSIFIED_SHARE


def test_deadlines_of_possible_retries_are_not_learned(common_deadline):
    common_deadline.record_turned_away(10.0)
    for _ in range(200):
        common_deadline.estimate('r', 5600, 10.5)
    assert common_deadline.estimate('r', 5600, 10.6).elapsed_ms > 400
    now = 10.6 + RETRIES_POSSIBLE_S
    for _ in range(200):
        common_deadline.estimate('r', 5600, now)
    assert common_deadline.estimate('r', 5600, now) == FirstTryEstimate(is_undecided=True)


def test_each_route_has_its_own_deadlines(common_deadline):
    assert common_deadline.estimate('other', 2500, 1.0) == FirstTryEstimate()


def test_the_routes_remembered_are_bounded(common_deadline):
    for number in range(MAX_ROUTES + 5):
        common_deadline.estimate(f'other-{number}', 6000, 1.0)
    assert len(common_deadline.deadlines_by_route) == MAX_ROUTES


def test_a_few_outliers_do_not_hide_retries():
    detector = detector_with([6080] * 60 + [900, 1500])
    assert detector.estimate('r', 5500, 1.0).elapsed_ms == 580


def test_a_request_turned_away_is_recognised_by_its_fingerprint():
    table = TurnedAwayRequests()
    table.record(b'a', 0, 10.0)
    assert table.elapsed_ms(b'a', 10.4) == pytest.approx(400, abs=1)
    assert table.elapsed_ms(b'b', 10.4) is None


def test_the_time_counts_from_the_first_try_after_several_rejections():
    table = TurnedAwayRequests()
    table.record(b'a', 0, 10.0)
    table.record(b'a', 500, 10.5)
    # The report of this rejection arrived late, or came from an entry that did not know of the
    # first try.
    table.record(b'a', 0, 10.6)
    assert table.elapsed_ms(b'a', 11.0) == pytest.approx(1000, abs=1)


def test_old_rejections_are_forgotten_and_their_number_is_bounded():
    table = TurnedAwayRequests()
    table.record(b'old', 0, 0.0)
    for number in range(MAX_REMEMBERED + 10):
        table.record(number.to_bytes(4, 'big'), 0, 1.0)
    assert len(table.first_tried_at) <= MAX_REMEMBERED
    assert table.elapsed_ms(b'old', 1.0) is None
    assert table.elapsed_ms((MAX_REMEMBERED).to_bytes(4, 'big'), 1.0) == 0
    assert table.elapsed_ms((MAX_REMEMBERED).to_bytes(4, 'big'), 2.0 + REMEMBERED_S) is None
    assert not table.first_tried_at


@pytest.mark.parametrize('min_share', [1.0, 0.85])
def test_under_lasting_load_detected_retries_cost_no_requests_in_time(min_share):
    """
    Callers send 1.2 times the load that the engines can serve and begin with `min_share` to 1
    times the usual deadline. When each request with a deadline shorter than the longest one seen
    counted as a retry, 0.54 of the requests were in time with a `min_share` of 0.85; if the retries
    are known exactly, 0.70 are.

    """

    def in_time(method):
        found = []
        for seed in range(2):
            model = RetryDetectionModel(SHIFTED, 1.2, seed, method, min_share)
            model.simulate()
            found.append(model.outcomes.share('in time'))
        return sum(found) / len(found)

    assert in_time(DetectionMethod.AS_BUILT) > in_time(DetectionMethod.KNOWN) - 0.02
