"""
The shared retry budget of entries that start during a network partition. These entries don't know
those on the other side, so the entries of each side together used the whole fixed allowance.

"""

from types import SimpleNamespace

from millfork_core.windows import ENTRIES_REMEMBERED_S
from millfork_registry.followers import Follower, Followers
from millfork_registry.registry import Registry
from millfork_registry.roles import ENTRY_ROLE
from tests.test_servers import Clock
from tests.test_shared_budget import (
    ENTRIES,
    RETRY_RATIO,
    RETRY_SLACK,
    SERVICE,
    TICK_S,
    WINDOW_S,
    Fleet,
)

# Each entry gets one request in this many ticks; nearly all requests are turned away.
TICKS_PER_REQUEST = 4


def test_entries_started_during_a_partition_stay_within_the_budget():
    fleet = Fleet()
    # Each half of the entries follows replicas that know only this half.
    fleet.known_entries = ENTRIES // 2
    fleet.budgets = [fleet.new_budget() for _ in range(ENTRIES)]
    requests, repeats = [], []
    for tick in range(int(3 * WINDOW_S / TICK_S)):
        fleet.clock.now += TICK_S
        for budget in fleet.budgets:
            if tick % TICKS_PER_REQUEST == 0:
                budget.record_request(SERVICE)
                requests.append(fleet.clock.now)
            while budget.spend(SERVICE):
                repeats.append(fleet.clock.now)
        since = fleet.clock.now - WINDOW_S
        sent = sum(moment > since for moment in repeats)
        assert sent <= RETRY_RATIO * sum(moment > since for moment in requests) + RETRY_SLACK


def allowances(fleet):
    """
    The sum of the entries' shares of the fixed allowance, after three windows without requests.

    """
    for _ in range(int(3 * WINDOW_S / TICK_S)):
        fleet.clock.now += TICK_S
        for budget in fleet.budgets:
            budget.count_entries()
    return sum(budget.current_share(SERVICE).allowed for budget in fleet.budgets)


def test_the_majority_side_of_a_partition_keeps_its_share_of_the_allowance():
    fleet = Fleet()
    fleet.known_entries = ENTRIES // 2
    fleet.budgets = [fleet.new_budget(position) for position in range(ENTRIES)]
    assert RETRY_SLACK / 2 < allowances(fleet) <= RETRY_SLACK


def test_entries_on_the_other_side_keep_their_share_during_a_partition():
    fleet = Fleet()
    assert RETRY_SLACK / 2 < allowances(fleet) <= RETRY_SLACK
    before = fleet.budgets[1].current_share(SERVICE).allowed
    fleet.known_entries = ENTRIES // 2
    fleet.clock.now += 2 * ENTRIES_REMEMBERED_S
    assert fleet.budgets[1].current_share(SERVICE).allowed == before


def test_a_replica_reports_the_greatest_recent_number_of_entries():
    clock = Clock()
    replica = SimpleNamespace(env=SimpleNamespace(instance='a', monotonic=clock))
    registry = Registry(SimpleNamespace(instance='a', monotonic=clock), 1.0)
    followers = Followers(replica.env, replica, registry)
    follower = Follower(None, ENTRY_ROLE)
    followers.entries_by_other_replica = {'b': ENTRIES}
    assert followers._next_leases_message(follower).most_entries == ENTRIES
    followers.entries_by_other_replica = {}
    message = followers._next_leases_message(follower)
    assert (message.entries, message.most_entries) == (0, ENTRIES)
