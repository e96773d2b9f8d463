"""
Configuration changes reach entries that follow a replica which is cut off.

The tests guard against two faults:
- In the scenario `control_cut_off_silently`, the links of entry-1 stall while entry-5 follows
  entry-1 (entry-2, in entry-5's own zone, started later). If entry-3 led, changes were accepted at
  once but reached entry-5 only after 6.5 s; 5 s are allowed. If entry-1 led, the election of
  another leader hid this delay.
- If only the link between entry-1 and the leader stalled, no change reached entry-4, which follows
  entry-1, within 30 s.

The faults depend on which replica leads and which replica each entry follows, so the tests set up
both.

"""

import re
import secrets
import time

import pytest

from millfork_standins.deployments import LANTING
from millfork_standins.fleet import Fleet
from millfork_standins.layout import ADMIN_PORT, FleetOptions
from millfork_standins.requests import fetch
from tests.utils.fleets import control, wait_until

# Election timeout of the replicas that must not lead; the intended leader's is 1500 ms. With equal
# timeouts, entry-2 won none of 20 elections in one run.
FOLLOWER_ELECTION_MS = 5000
MAX_ELECTIONS = 20
LEADER_LINE = re.compile(r' Leader of term (\d+)')
# The time allowed for a change to reach an entry, as in the scenario.
APPLY_TIMEOUT_S = 5.0
# The time allowed if the followed replica is only stale, not silent: entries learn the replica's
# age every 2 s, and look for a fresher replica once the age is over 3 s.
STALE_APPLY_TIMEOUT_S = 10.0


class FleetWithLeader:
    """
    Five entries, of which `intended_leader` leads; entry-4 and entry-5 follow entry-1.

    """

    def __init__(self, folder, leader):
        self.fleet = Fleet(LANTING, folder, FleetOptions(relay=True))
        self.intended_leader = leader

    def start(self):
        fleet = self.fleet
        for replica in fleet.replicas:
            if replica.name != self.intended_leader:
                replica.settings['state'] = {'election_ms': FOLLOWER_ELECTION_MS}
        fleet.start_standins()
        self._start('entry-1', 'entry-2', 'entry-3')
        wait_until(self.leader)
        for _ in range(MAX_ELECTIONS):
            if self.leader() != self.intended_leader:
                self._depose(self.leader())
        # Entry-2 is listed later, as entry-5 would otherwise follow it.
        for name in ('entry-1', 'entry-3', 'entry-4', 'entry-5'):
            fleet.list_instance(fleet.instances[name])
        self._start('entry-4', 'entry-5')
        for name in ('entry-4', 'entry-5'):
            wait_until(lambda name=name: 'Following entry-1 ' in fleet.read_log_tail(name))
        fleet.list_instance(fleet.instances['entry-2'])
        revision = self.apply(0)
        for name in ('entry-4', 'entry-5'):
            wait_until(lambda name=name: self.revision(name) >= revision)
        assert self.leader() == self.intended_leader

    def _start(self, *names):
        for name in names:
            self.fleet.start_daemon(self.fleet.instances[name])

    def _depose(self, leader):
        """
        Freeze the leader until another replica leads.

        """
        self.fleet.freeze(leader)
        wait_until(lambda: self.leader() != leader)
        self.fleet.thaw(leader)

    def leader(self):
        """
        The leader of the latest term according to the replicas' logs, or '' if none has led yet.

        """
        elected = [(0, '')]
        for replica in self.fleet.replicas:
            text = (self.fleet.folder / replica.name / 'log').read_text()
            elected += [(int(term), replica.name) for term in LEADER_LINE.findall(text)]
        return max(elected)[1]

    def apply(self, generation):
        """
        Apply a change at entry-3, which is never cut off from a majority of the replicas here, and
        return the change's revision.

        """
        labels = {'millfork-pool-1': {'generation': str(generation)}}
        declaration = {'organisation': LANTING.organisations[1], 'labels': labels}
        body = {'declaration': declaration, 'command_id': secrets.token_hex(16)}
        answers = []

        def is_accepted():
            answers.append(control(self.fleet, self.fleet.admin_token, 'POST', 'apply', body, 2))
            return answers[-1].status == 200

        wait_until(is_accepted)
        return answers[-1].json()['revision']

    def revision(self, name):
        host = self.fleet.instances[name].host
        return fetch('GET', host, ADMIN_PORT, '/readyz').json()['revision']


@pytest.fixture(name='fleet_with_leader')
def start_fleet(request, tmp_path):
    fleet_with_leader = FleetWithLeader(tmp_path, request.param)
    try:
        fleet_with_leader.start()
        yield fleet_with_leader
    finally:
        fleet_with_leader.fleet.close()


@pytest.mark.parametrize('fleet_with_leader', ['entry-1', 'entry-2', 'entry-3'], indirect=True)
def test_changes_reach_followers_of_a_replica_whose_links_stall(fleet_with_leader):
    fleet_with_leader.fleet.freeze_links((1, 2), (1, 3))
    revision = fleet_with_leader.apply(1)
    until = time.monotonic() + APPLY_TIMEOUT_S
    for name in ('entry-2', 'entry-3', 'entry-5'):
        wait_until(
            lambda name=name: fleet_with_leader.revision(name) >= revision, until - time.monotonic()
        )


@pytest.mark.parametrize('fleet_with_leader', ['entry-3'], indirect=True)
def test_changes_reach_followers_of_a_replica_that_only_the_leader_lost(fleet_with_leader):
    fleet_with_leader.fleet.freeze_links((1, 3))
    revision = fleet_with_leader.apply(1)
    wait_until(lambda: fleet_with_leader.revision('entry-4') >= revision, STALE_APPLY_TIMEOUT_S)
