"""
A machine that is suspended for seconds: the steady clock stands still meanwhile, while
weights end, leases run out and callers leave.

"""

import time

from millfork_core.environment import Environment
from millfork_core.ids import ClusterId, InstanceId, Revision, ZoneId
from millfork_registry.switch_ends import SwitchEnds
from millfork_state.view import View
from millfork_wire.messages import VersionSwitch
from millforkd.versions import Versions, never_leads
from tests.test_versions import set_version

SLEPT_S = 5.0


def test_weights_that_ended_while_the_machine_slept_are_sent_to_no_more(monkeypatch):
    now = {time.CLOCK_MONOTONIC: 100.0, time.CLOCK_BOOTTIME: 100.0}
    monkeypatch.setattr(time, 'clock_gettime', now.__getitem__)
    env = Environment(InstanceId('a:1'), ZoneId('z1'))
    view = View()
    view.replace(ClusterId('c'), Revision(1), {})
    told = SwitchEnds()
    versions = Versions(env, view, 8000, told, leads=never_leads)
    set_version(view, versions, 1)
    set_version(view, versions, 2)
    told.note(env.monotonic(), [VersionSwitch('m', 2, int(SLEPT_S * 1000) - 1000)])
    assert versions.least('m') < 2
    now[time.CLOCK_BOOTTIME] += SLEPT_S
    assert versions.least('m') == 2
