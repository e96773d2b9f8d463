"""
The shared retry budget during restarts of entries and during network partitions.

Entries that were restarted three times within ten seconds, while servers turned four of five
requests away, exceeded the shared budget: each new process had the entry's whole share of the
fixed allowance again, though the previous process had spent that share. During restarts and
partitions, entries also divided the allowance by the few entries that their replica knew then,
not by all entries that use the allowance.

"""

from hypothesis import example, given, settings
from hypothesis import strategies as st

from millfork_core.ids import ServiceName
from millfork_routing.shared_budget import SharedBudget
from tests.test_servers import Clock

SERVICE = ServiceName('pool')
RETRY_RATIO = 0.2
RETRY_SLACK = 232
WINDOW_S = 10.0
ENTRIES = 40
TICK_S = 0.5
# The number of requests that one entry receives in a tick; all but a fifth are turned away.
REQUESTS = 3
# After a restart of all entries, replicas know all of them again after this many ticks.
KNOWN_AGAIN_TICKS = 4
# The fleet runs for this many ticks, two windows, before the first disturbance.
CALM_TICKS = int(2 * WINDOW_S / TICK_S)


class Fleet:
    """
    Entries that share one retry budget, and when back ends received requests and retries from them.

    """

    def __init__(self):
        self.clock = Clock()
        # The number of entries that every replica reports.
        self.known_entries = ENTRIES
        self.unknown_ticks = 0
        self.budgets = [self.new_budget(position) for position in range(ENTRIES)]
        self.requests = []
        self.repeats = []

    def new_budget(self, position=None):
        return SharedBudget(
            RETRY_RATIO,
            RETRY_SLACK,
            WINDOW_S,
            lambda: self.known_entries,
            self.clock,
            lambda: self.has_quorum(position),
        )

    def has_quorum(self, position):
        """
        Whether the replica of the entry at `position` is in contact with a majority of the
        replicas. In a partition, only every second entry has such a replica.

        """
        is_cut = self.known_entries in (ENTRIES // 2, ENTRIES // 3)
        return not is_cut or (position is not None and position % 2 == 0)

    def tick(self, spends):
        """
        Run one tick of traffic, in which entries retry every request while their budgets allow it
        if `spends`, and check the budget of all entries together.

        """
        self.clock.now += TICK_S
        self.unknown_ticks = max(self.unknown_ticks - 1, 0)
        if not self.unknown_ticks and self.known_entries == 1:
            self.known_entries = ENTRIES
        for budget in self.budgets:
            for _ in range(REQUESTS):
                budget.record_request(SERVICE)
                self.requests.append(self.clock.now)
                if spends and budget.spend(SERVICE):
                    self.repeats.append(self.clock.now)
        since = self.clock.now - WINDOW_S
        requests = sum(moment > since for moment in self.requests)
        repeats = sum(moment > since for moment in self.repeats)
        assert repeats <= RETRY_RATIO * requests + RETRY_SLACK

    def disturb(self, disturbance):
        if disturbance == 'all restart':
            self.budgets = [self.new_budget(position) for position in range(ENTRIES)]
            self.known_entries = 1
            self.unknown_ticks = KNOWN_AGAIN_TICKS
        if disturbance == 'half restart':
            self.budgets[::2] = [self.new_budget(position) for position in range(0, ENTRIES, 2)]
        if disturbance == 'cut':
            self.known_entries = ENTRIES // 2
        if disturbance == 'cut in three':
            self.known_entries = ENTRIES // 3
        if disturbance == 'all known':
            self.known_entries = ENTRIES


DISTURBANCES = st.sampled_from(
    ['calm', 'all restart', 'half restart', 'cut', 'cut in three', 'all known']
)


# No deadline: an example simulates 40 entries for up to half a minute, which takes 0.05 s to 0.7 s.
@settings(deadline=None)
@given(st.lists(st.tuples(DISTURBANCES, st.integers(1, 8), st.booleans()), max_size=8))
@example([('calm', 8, True), ('all restart', 4, True), ('all restart', 4, True)])
@example([('cut in three', 8, False), ('calm', 20, True)])
@example(
    [
        ('cut', 5, True),
        ('all restart', 4, False),
        ('calm', 8, True),
        ('half restart', 5, True),
        ('cut in three', 3, False),
        ('calm', 8, True),
    ]
)
def test_restarts_and_partitions_never_exceed_the_budget(steps):
    fleet = Fleet()
    for _ in range(CALM_TICKS):
        fleet.tick(spends=False)
    for disturbance, ticks, spends in steps:
        fleet.disturb(disturbance)
        for _ in range(ticks):
            fleet.tick(spends)
