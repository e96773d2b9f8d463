"""
A request that ends the back ends that run it, of callers that leave before it does.

An end was counted where an answer broke off on the way to a caller. Callers that gave up after
0.1 s, of a request that ends its back end after 0.2 s, and came back with it, ended one back end
with each call: nobody was left to whom the answer could break off.
"""

import itertools
import socket
import threading

import pytest

from millfork_standins.seeded import CALLERS_PORT, CRASHING_BODY, SeededFleet
from tests.test_crashing_requests import ENDS_BEFORE_QUARANTINE, MAX_FURTHER_ENDS, count_ended
from tests.test_seeded_fleet import document, request
from tests.utils.fleets import wait_until

BACK_ENDS = 24
CALLS = 20
ENTRIES = 2
WORKS_S = 0.2
LEAVES_AFTER_S = 0.1
OTHERS_PER_S = 100
MOST_LOADS = 30
# Of two entries, one may send before it hears of the other's third end.
MOST_CROSSING = 1


@pytest.fixture
def fleet(tmp_path):
    made = SeededFleet(tmp_path, entries=ENTRIES)
    try:
        made.start()
        for number in range(BACK_ENDS):
            made.add_back_end('plain', f'i-{number}').crashes_after_s = WORKS_S
        assert made.put(document(1, '/safe/')).status == 200
        for entry in range(ENTRIES):
            wait_until(lambda entry=entry: made.ask(request('/safe/x'), entry).status == 200)
        yield made
    finally:
        made.close()


def call_and_leave(fleet, entry):
    """
    One call whose caller leaves, unless it has its answer before.

    """
    sent = request('/safe/x', 'POST', body=CRASHING_BODY)
    headers = [*sent.headers, ('content-length', str(len(sent.body)))]
    head = ''.join(f'{name}: {value}\r\n' for name, value in headers)
    with socket.create_connection((fleet.entry_hosts[entry], CALLERS_PORT)) as sock:
        sock.sendall(f'{sent.method} {sent.path} HTTP/1.1\r\n{head}\r\n'.encode() + sent.body)
        sock.settimeout(LEAVES_AFTER_S)
        try:
            sock.recv(1)
        except TimeoutError:
            return


def arrived(fleet):
    return sum(back_end.crashing for back_end in fleet.back_ends)


@pytest.mark.parametrize('busy', [False, True])
def test_ends_count_also_after_their_callers_left(fleet, busy):
    """
    Where back ends are busy they answer others between a caller's leaving and their end.

    """
    over = threading.Event()
    asking = threading.Thread(target=ask_others, args=(fleet, over))
    if busy:
        asking.start()
    try:
        call_and_leave_often(fleet)
    finally:
        over.set()
    if busy:
        asking.join()
    assert count_ended(fleet) <= ENDS_BEFORE_QUARANTINE + MOST_CROSSING + MAX_FURTHER_ENDS


def ask_others(fleet, over):
    for number in itertools.count():
        fleet.load(lambda: request('/safe/x'), OTHERS_PER_S, 1.0)
        if over.is_set() or number > MOST_LOADS:
            return


def call_and_leave_often(fleet):
    for number in range(CALLS):
        before = count_ended(fleet), arrived(fleet)
        call_and_leave(fleet, number % ENTRIES)
        if arrived(fleet) > before[1]:
            wait_until(lambda before=before: count_ended(fleet) > before[0])
