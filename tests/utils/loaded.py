"""
A fleet of three entries and three back ends; each back end alone could serve most of the load.

"""

from contextlib import contextmanager

from millfork_standins.seeded import SeededFleet
from tests.test_seeded_fleet import document, request
from tests.utils.fleets import wait_until

ENTRIES = 3
LOAD_PER_S = 45


@contextmanager
def loaded_fleet(folder, service_time_s=0.02):
    """
    Start the fleet, wait until each entry and back end has served a request, and close the fleet
    at the end.

    """
    fleet = SeededFleet(folder, entries=ENTRIES)
    try:
        fleet.start()
        for number in range(3):
            fleet.add_back_end('plain', f'i-{number}').service_time_s = service_time_s
        assert fleet.put_document(document(1, '/safe/')).status == 200
        for entry in range(ENTRIES):
            wait_until(
                lambda entry=entry: fleet.send_request(request('/safe/x'), entry).status == 200
            )
        wait_until(lambda: all(back_end.executed for back_end in back_ends_after_requests(fleet)))
        yield fleet
    finally:
        fleet.close()


def back_ends_after_requests(fleet):
    """
    Send one more request to each entry and return the back ends.

    """
    for entry in range(ENTRIES):
        fleet.send_request(request('/safe/x'), entry)
    return fleet.back_ends
