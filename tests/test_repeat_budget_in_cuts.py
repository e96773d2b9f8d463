"""
Entries that begin while regions are cut from each other have never known of the others:
each half divides the whole fixed allowance by itself alone.

"""

from tests.test_repeat_budget import ENTRIES, RATIO, SERVICE, SLACK, TICK_S, WINDOW_S, Fleet

# One request of each entry in so many ticks; all but a few are turned away.
EACH_TICKS = 4


def test_entries_that_began_during_a_cut_stay_within_the_budget():
    fleet = Fleet()
    # Both halves of the entries follow replicas that see their own half only.
    fleet.told = ENTRIES // 2
    fleet.budgets = [fleet.started() for _ in range(ENTRIES)]
    requests, repeats = [], []
    for tick in range(int(3 * WINDOW_S / TICK_S)):
        fleet.clock.now += TICK_S
        for budget in fleet.budgets:
            if tick % EACH_TICKS == 0:
                budget.note_request(SERVICE)
                requests.append(fleet.clock.now)
            while budget.spend(SERVICE):
                repeats.append(fleet.clock.now)
        since = fleet.clock.now - WINDOW_S
        sent = sum(moment > since for moment in repeats)
        assert sent <= RATIO * sum(moment > since for moment in requests) + SLACK
