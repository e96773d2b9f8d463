"""
A sound part of prompts stays in quarantine for minutes, or for a day.

A small fleet: three replicas, two entries and stand-ins of six servers of a service. Prompts with one
part crash each server that begins to write an answer on it. A second part is sound; the first prompts
with it are among the crashing ones, so both are quarantined. Crashing requests go on, one every two
seconds. Later sound prompts with the second part come. Without the disruption no part crashes anything.

VARIANT=restart: sound prompts come soon, but all processes are killed once before, and are back a
second later with their disks. VARIANT=soon: sound prompts come soon, and nothing is killed.

"""

import os
import signal
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

VARIANT: Final = os.environ.get('VARIANT', 'later')
KILLS: Final = TROUBLE and VARIANT == 'restart'
SERVERS: Final = 6
# Servers are back this long after a crash.
RESTART_S: Final = 2.0
FIRST_PART, SOUND_PART, CRASHING_PART = 'f1f1f1f1', '50505050', 'c0c0c0c0'
CALM_REQUESTS: Final = 40
# How long crashing requests come before the first sound ones with the second part.
ALONE_S: Final = 32.0
JUDGED_S: Final = 30.0
QUARANTINE_LINE: Final = 'Part of prompts in quarantine'


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


class Callers:
    """Sends prompts to the entries in turn, and tells whether a server began to run them."""

    def __init__(self, fleet, note):
        self.fleet = fleet
        self.note = note
        self.count = 0

    def send(self, kind, *parts):
        self.count += 1
        sent = prompt(*parts)
        reply = self.fleet.send_request(sent, self.count % 2)
        began = any(id_of(sent) in back_end.executed_ids() for back_end in self.fleet.back_ends)
        outcome = 'began' if began else 'did not begin'
        self.note(f'{kind} {id_of(sent)}: status {reply.status}, {outcome}')
        return began


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
            wait_until(
                lambda: fleet.send_request(prompt(FIRST_PART), entry).status == 200, 20, 'served'
            )
        return is_kept_out(fleet, Callers(fleet, note), note)
    finally:
        fleet.close()


def is_kept_out(fleet, callers, note):
    before = [callers.send('sound', FIRST_PART) for _ in range(CALM_REQUESTS)]
    note(f'before the disruption, {sum(before)} of {len(before)} sound requests began')
    if TROUBLE:
        crash_until_quarantined(fleet, callers, note)
    if KILLS:
        kill_all(fleet, note)
    stopped = threading.Event()

    def keep_crashing():
        while TROUBLE and not stopped.wait(2.0):
            callers.send('crashing', FIRST_PART, SOUND_PART, CRASHING_PART)

    thread = threading.Thread(target=keep_crashing, daemon=True)
    thread.start()
    time.sleep(ALONE_S if VARIANT == 'later' else 2 * CONTACT_S + 1)
    after = []
    end = time.monotonic() + JUDGED_S
    while time.monotonic() < end:
        after.append(callers.send('sound', FIRST_PART, SOUND_PART))
        time.sleep(0.2)
    stopped.set()
    thread.join(8)
    note(f'afterwards, {sum(after)} of {len(after)} sound requests began')
    return sum(after) / len(after) < sum(before) / len(before) / 2


def crash_until_quarantined(fleet, callers, note):
    fleet.crashing_part = CRASHING_PART
    deadline = time.monotonic() + 30
    while not any(QUARANTINE_LINE in fleet.log(host) for host in fleet.replica_hosts):
        if time.monotonic() > deadline:
            raise RuntimeError('no part was quarantined')
        callers.send('crashing', FIRST_PART, SOUND_PART, CRASHING_PART)
        time.sleep(0.3)
    time.sleep(1.0)
    note(f'parts are quarantined; servers that crashed: {len(fleet.crashing_requests_at)}')


def kill_all(fleet, note):
    hosts = list(fleet.processes)
    for host in hosts:
        fleet.signal(host, signal.SIGKILL)
    for host in hosts:
        fleet.processes.pop(host).wait()
    note('all processes are killed')
    time.sleep(1.0)
    for host in hosts:
        fleet.start_process(host)
    note('all processes are started')
