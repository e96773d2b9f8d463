"""
A part of prompts that crashes servers is not recognised behind 32 other parts.

A small fleet: three replicas, two entries and stand-ins of six servers. All prompts share 33 parts;
one more part, which some of them have behind these, crashes each server that begins to write an
answer on it. Servers are back after two seconds. Without the disruption no prompt has that part. With
PARTS=N all prompts share N parts.

"""

import os
import threading
import time
from typing import Final

from requests_and_fleets import CONTACT_S, HOST, TROUBLE, id_of, request, wait_until

from millfork_core.ids import OrganisationId, ServiceName
from millfork_platform import names
from millfork_routing.documents import (
    Document,
    Organisation,
    Route,
    RouteKind,
    Service,
    Share,
)
from millfork_standins.back_end import STREAM_PATH
from millfork_standins.seeded import SeededFleet

SERVERS: Final = 6
RESTART_S: Final = 2.0
SHARED_PARTS: Final = [f'a{number:07x}' for number in range(int(os.environ.get('PARTS', '33')))]
CRASHING_PART: Final = 'c0c0c0c0'
PLAYED_S: Final = 30.0
CRASHING_INTERVAL_S: Final = 1.0
SOUND_INTERVAL_S: Final = 0.2
# The rule counts requests after this many crashes, and allows so many.
CRASHES: Final = 5
ALLOWED: Final = 3


def prompt(*parts):
    sent = request('POST', STREAM_PATH, 6000, (names.MODEL, 'm'))
    listed = ','.join(f'{part}:40' for part in (*parts, id_of(sent)[1:]))
    tokens = f'{40 * (len(parts) + 1)},40'
    sent.headers += [(names.TOKEN_COUNT, tokens), (names.PREFIX_PARTS, listed)]
    return sent


def document():
    shares = (Share(ServiceName('plain'), 1),)
    route = Route(
        'r', HOST, STREAM_PATH, RouteKind.STREAMING, 6000, 500, 1, shares, 2, False, True, 400
    )
    organisations = (Organisation(OrganisationId('org'), ('key',)),)
    return Document(1, (route,), (Service(ServiceName('plain'), 264),), organisations)


def run(folder, note):
    fleet = SeededFleet(folder, replicas=3, entries=2, heartbeat_s=0.5)
    try:
        fleet.start()
        for number in range(SERVERS):
            fleet.add_back_end('plain', f'i-{number}')
        fleet.restart_delay_s = RESTART_S
        if fleet.put_document(document()).status != 200:
            raise RuntimeError('the document was not acknowledged')
        for entry in (0, 1):
            wait_until(lambda: fleet.send_request(prompt('f1'), entry).status == 200, 20, 'served')
        return is_not_recognised(fleet, note)
    finally:
        fleet.close()


def is_not_recognised(fleet, note):
    statuses = []

    def send(kind, entry, *parts):
        sent = prompt(*parts)
        reply = fleet.send_request(sent, entry)
        note(f'{kind} {id_of(sent)}: status {reply.status}')
        return reply.status

    for number in range(20):
        send('sound', number % 2, *SHARED_PARTS)
    time.sleep(CONTACT_S)
    fleet.crashing_part = CRASHING_PART
    stopped = threading.Event()

    def keep_sending():
        number = 0
        while not stopped.wait(SOUND_INTERVAL_S):
            statuses.append(send('sound', number % 2, *SHARED_PARTS))
            number += 1

    thread = threading.Thread(target=keep_sending, daemon=True)
    thread.start()
    deadline = time.monotonic() + PLAYED_S
    number = 0
    while time.monotonic() < deadline:
        if TROUBLE:
            send('crashing', number % 2, *SHARED_PARTS, CRASHING_PART)
            number += 1
        time.sleep(CRASHING_INTERVAL_S)
    stopped.set()
    thread.join(8)
    reached_at = sorted(fleet.crashing_requests_at)
    late = []
    if len(reached_at) >= CRASHES:
        late = [at for at in reached_at if at > reached_at[CRASHES - 1] + CONTACT_S]
    failed = sum(status != 200 for status in statuses)
    note(f'sound requests that were not served: {failed} of {len(statuses)}')
    note(
        f'crashing requests that reached servers: {len(reached_at)}; later than {CONTACT_S:.0f} s '
        f'after crash {CRASHES}: {len(late)}'
    )
    return len(late) > ALLOWED
