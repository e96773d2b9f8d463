"""
Refusals say 'not run' only if the request certainly has not run, and are sent without much delay.

Callers rely on a status that says 'not run': the request has not run and never will, whatever
happened to its attempts. The queries that an entry sends before a refusal (for loads of engines
and in the directory of turned away requests) together take less than an eighth of the shortest
target time.

"""

from types import SimpleNamespace

from hypothesis import given
from hypothesis import strategies as st

from millfork_core.environment import Environment
from millfork_core.ids import InstanceId, ZoneId
from millfork_core.verdicts import Reason, Verdict
from millforkd.proxy.attempts import FailedAttempt
from millforkd.proxy.forwarding import Forwarding
from millforkd.proxy.job import Job
from millforkd.proxy.load_queries import MAX_WAIT_S
from millforkd.proxy.outcomes import status_of
from millforkd.proxy.turned_away_directory import QUERY_TIMEOUT_S

NOT_RUN_STATUSES = {408, 421, 429, 503}
SHORTEST_TARGET_S = 0.38
MAX_QUERY_SHARE = 1 / 8

FAILURES = st.lists(
    st.builds(FailedAttempt, st.sampled_from(Reason), st.sampled_from(Verdict), st.just('detail')),
    max_size=3,
)


def refusal_after(failures, reason):
    env = Environment(InstanceId('a:1'), ZoneId('z1'))
    forwarding = SimpleNamespace(env=env)
    job = Job(None, None, None, None, None, 1, 0.0, 6.0, 1, failures=failures)
    return Forwarding._final_refusal(forwarding, job, reason)


@given(FAILURES, st.sampled_from([*Reason]))
def test_no_refusal_promises_not_run_after_an_attempt_that_may_have_run(failures, reason):
    refusal = refusal_after(failures, reason)
    may_have_run = any(failed.verdict is not Verdict.NOT_RUN for failed in failures)
    if may_have_run:
        assert refusal.verdict is not Verdict.NOT_RUN
        assert status_of(refusal) not in NOT_RUN_STATUSES


def test_queries_take_a_small_share_of_the_shortest_target():
    assert MAX_WAIT_S + QUERY_TIMEOUT_S < MAX_QUERY_SHARE * SHORTEST_TARGET_S
