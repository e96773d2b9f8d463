"""
A fleet of three entries and three back ends; one back end could serve most of the load.

"""

from contextlib import contextmanager

from millfork_standins.seeded import SeededFleet
from tests.test_seeded_fleet import document, request
from tests.utils.fleets import wait_until

ENTRIES = 3
LOAD_PER_S = 45


@contextmanager
def loaded_fleet(folder, works_s=0.02):
    """
    A started fleet in which every entry and back end has served; answers take `works_s`.

    """
    fleet = SeededFleet(folder, entries=ENTRIES)
    try:
        fleet.start()
        for number in range(3):
            fleet.add_back_end('plain', f'i-{number}').works_s = works_s
        assert fleet.put(document(1, '/safe/')).status == 200
        for entry in range(ENTRIES):
            wait_until(lambda entry=entry: fleet.ask(request('/safe/x'), entry).status == 200)
        wait_until(lambda: all(back_end.executed for back_end in back_ends_after_requests(fleet)))
        yield fleet
    finally:
        fleet.close()


def back_ends_after_requests(fleet):
    """
    The back ends, after one more request to each entry.

    """
    for entry in range(ENTRIES):
        fleet.ask(request('/safe/x'), entry)
    return fleet.back_ends
