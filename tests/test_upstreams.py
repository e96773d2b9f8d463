"""
Configuration reaches the entries that follow a replica which is cut off.

In `control_cut_off_silently` entry-5 followed entry-1, as entry-2 of its own zone had
started after it. Entry-1's links stood still. Where entry-1 led, the election took
longer than entry-5 needed to leave it; where entry-3 led, the changes were accepted at
once, and entry-5 had them 6.5 s later, of 5 s allowed. With only the link between
entry-1 and the leader standing still, entry-4 had none within 30 s. Here the leader and
whom an entry follows are given, not left to chance.

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

# Beside the 1500 ms of the one that is to lead: with the same for all, entry-2 won none
# of 20 elections in one run.
LATE_ELECTION_MS = 5000
MOST_ELECTIONS = 20
LEADER_LINE = re.compile(r' Leader of term (\d+)')
# As in the scenario.
IN_FORCE_S = 5.0
# A replica's word counts as old after 3 s, is told every 2 s, and is then checked.
STALE_IN_FORCE_S = 10.0


class LedFleet:
    """
    Five entries, of which a given one leads; entry-4 and entry-5 follow entry-1.

    """

    def __init__(self, folder, leader):
        self.fleet = Fleet(LANTING, folder, FleetOptions(relay=True))
        self.wanted = leader

    def start(self):
        fleet = self.fleet
        for replica in fleet.replicas:
            if replica.name != self.wanted:
                replica.settings['state'] = {'election_ms': LATE_ELECTION_MS}
        fleet.start_standins()
        self._start('entry-1', 'entry-2', 'entry-3')
        wait_until(self.leader)
        for _ in range(MOST_ELECTIONS):
            if self.leader() != self.wanted:
                self._depose(self.leader())
        # Entry-2 is not on the list yet, or entry-5 would follow it.
        for name in ('entry-1', 'entry-3', 'entry-4', 'entry-5'):
            fleet.list_instance(fleet.instances[name])
        self._start('entry-4', 'entry-5')
        for name in ('entry-4', 'entry-5'):
            wait_until(lambda name=name: 'Following entry-1 ' in fleet.read_log_tail(name))
        fleet.list_instance(fleet.instances['entry-2'])
        revision = self.apply(0)
        for name in ('entry-4', 'entry-5'):
            wait_until(lambda name=name: self.revision(name) >= revision)
        assert self.leader() == self.wanted

    def _start(self, *names):
        for name in names:
            self.fleet.start_daemon(self.fleet.instances[name])

    def _depose(self, leader):
        """
        Freeze a leader until another one leads.

        """
        self.fleet.freeze(leader)
        wait_until(lambda: self.leader() != leader)
        self.fleet.thaw(leader)

    def leader(self):
        """
        Who won the latest term by the logs; empty while there is none.

        """
        won = [(0, '')]
        for replica in self.fleet.replicas:
            text = (self.fleet.folder / replica.name / 'log').read_text()
            won += [(int(term), replica.name) for term in LEADER_LINE.findall(text)]
        return max(won)[1]

    def apply(self, generation):
        """
        Apply a change at entry-3, which is never cut off here; its revision.

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


@pytest.fixture(name='led')
def start_led(request, tmp_path):
    led = LedFleet(tmp_path, request.param)
    try:
        led.start()
        yield led
    finally:
        led.fleet.close()


@pytest.mark.parametrize('led', ['entry-1', 'entry-2', 'entry-3'], indirect=True)
def test_changes_reach_who_followed_a_replica_whose_links_stand_still(led):
    led.fleet.freeze_links((1, 2), (1, 3))
    revision = led.apply(1)
    until = time.monotonic() + IN_FORCE_S
    for name in ('entry-2', 'entry-3', 'entry-5'):
        wait_until(lambda name=name: led.revision(name) >= revision, until - time.monotonic())


@pytest.mark.parametrize('led', ['entry-3'], indirect=True)
def test_changes_reach_who_followed_a_replica_that_only_the_leader_lost(led):
    led.fleet.freeze_links((1, 3))
    revision = led.apply(1)
    wait_until(lambda: led.revision('entry-4') >= revision, STALE_IN_FORCE_S)
