"""
A machine that is suspended for some seconds. During the suspension CLOCK_MONOTONIC stops, but
versions end, leases expire and callers leave. So the clock of a process must include the
suspension, as CLOCK_BOOTTIME does.

"""

import time

from millfork_core.environment import Environment
from millfork_core.ids import ClusterId, InstanceId, Revision, ZoneId
from millfork_registry.version_cutoffs import VersionCutoffs
from millfork_state.view import View
from millfork_wire.messages import VersionSwitch
from millforkd.versions import VersionTracker, never_leads
from tests.test_versions import set_version

SUSPENDED_S = 5.0


def test_weights_that_ended_during_suspension_get_no_requests(monkeypatch):
    now = {time.CLOCK_MONOTONIC: 100.0, time.CLOCK_BOOTTIME: 100.0}
    monkeypatch.setattr(time, 'clock_gettime', now.__getitem__)
    env = Environment(InstanceId('a:1'), ZoneId('z1'))
    view = View()
    view.replace(ClusterId('c'), Revision(1), {})
    cutoffs = VersionCutoffs()
    versions = VersionTracker(env, view, 8000, cutoffs, leads=never_leads)
    set_version(view, versions, 1)
    set_version(view, versions, 2)
    cutoffs.record_answer(env.monotonic(), [VersionSwitch('m', 2, int(SUSPENDED_S * 1000) - 1000)])
    assert versions.oldest_usable('m') < 2
    now[time.CLOCK_BOOTTIME] += SUSPENDED_S
    assert versions.oldest_usable('m') == 2
