"""
An entry serves by an old document after the replica of its zone was cut off.

A small fleet: three replicas in three zones, two entries, and stand-ins of servers of two services.
Two replicas are replaced by empty ones at other addresses, one after the other. Later the replica in
the zone of the first entry is cut off from the other replicas, but not from the entries, and meanwhile
a route moves to the other service. Without the disruption nothing is replaced or cut.

"""

import asyncio
import os
import random
import subprocess
import sys
import threading
import time
from pathlib import Path
from typing import Final

sys.path.insert(0, str(Path(__file__).parent))

from proxies import Proxy
from requests_and_fleets import (
    CONFIG_APPLY_S,
    CONTACT_S,
    TROUBLE,
    id_of,
    plain_document,
    request,
    safe_route,
    wait_until,
)

from millfork_core.ranks import rank
from millfork_platform import client_requests
from millfork_platform.settings_templates import TemplateValues, render_settings
from millfork_standins.back_end import BackEnd
from millfork_standins.http_calls import call
from millfork_standins.seeded import ROOT, SeededFleet
from millfork_standins.seeded_ports import CALLERS_PORT, CONTROL_PORT, READY_PORT, WIRE_PORT

HEARTBEAT_S: Final = 1.2
# `catch_up_s` of the small sites, and the time from a replica's loss to its successor.
CATCH_UP_S: Final = 4.0
SUCCESSOR_AFTER_S: Final = 1.0
# The length of the cut of the small sites' days.
CUT_S: Final = 5.5
CALL_INTERVAL_S: Final = 0.04
SUBNET: Final = f'127.{random.randrange(30, 220)}'
ENTRIES: Final = (f'{SUBNET}.1.1', f'{SUBNET}.2.1')
REGIONS: Final = {'a': 'region-a', 'b': 'region-b', 'c': 'region-c'}


def public(number):
    """The address of a replica that others know: that of its proxy."""
    return f'{SUBNET}.{number}.1'


def own(number):
    """The address that the replica itself has."""
    return f'{SUBNET}.{number}.2'


class Fleet(SeededFleet):
    """
    Replicas behind proxies, and entries; the stand-ins of servers are the project's own.

    """

    def __init__(self, folder, note):
        super().__init__(folder, replicas=0, entries=0, heartbeat_s=HEARTBEAT_S)
        self.note = note
        self.back_end_host = f'{SUBNET}.3.1'
        self.proxies = {}
        # The numbers of the replicas.
        self.core = []
        self.loop = asyncio.new_event_loop()
        threading.Thread(target=self.loop.run_forever, daemon=True).start()

    def start_daemon(self, role, instance_host, host, zone, first_start):
        seeds = [f'{public(number)}:{CONTROL_PORT}' for number in self.core[:3]]
        values = TemplateValues(
            f'{role}-{host}',
            host,
            zone,
            REGIONS[zone],
            WIRE_PORT,
            CONTROL_PORT,
            CALLERS_PORT,
            READY_PORT,
            seeds,
            first_start,
            int(HEARTBEAT_S * 1000),
            data_folder=self.folder / host,
            zones=REGIONS,
        )
        text = render_settings((ROOT / 'deploy/settings' / f'{role}.yaml').read_text(), values)
        # Peers reach a replica through its proxy.
        text = text.replace(f'instance: "{host}:', f'instance: "{instance_host}:')
        path = self.folder / f'{host}.yaml'
        path.write_text(text)
        with (self.folder / f'{host}.log').open('ab') as log:
            self.processes[host] = subprocess.Popen(
                ['python3', 'deploy/millforkd.py', f'--settings={path}'],
                cwd=ROOT,
                env=dict(os.environ),
                stdout=log,
                stderr=log,
            )

    def start_replica(self, number, zone, first_start):
        self.proxies[number] = Proxy(self.loop, public(number), own(number), WIRE_PORT)
        self.start_daemon('replica', public(number), own(number), zone, first_start)
        self.replica_hosts = [*self.replica_hosts, own(number)]
        self.note(f'replica {public(number)} starts in zone {zone}')

    def lose_replica(self, number):
        """Its machine loses power and is taken away for good."""
        self.proxies[number].go_dark()
        process = self.processes.pop(own(number))
        process.kill()
        process.wait()
        self.replica_hosts = [host for host in self.replica_hosts if host != own(number)]
        self.core.remove(number)
        self.note(f'replica {public(number)} is gone for good')

    def replace_replica(self, lost, new, zone):
        self.lose_replica(lost)
        time.sleep(SUCCESSOR_AFTER_S)
        self.core.append(new)
        self.start_replica(new, zone, first_start=False)
        wait_until(lambda: self.votes_instead(new, lost), 20, 'the new replica votes')
        self.note(f'replica {public(new)} votes')
        self.rewrite_seeds()
        time.sleep(CATCH_UP_S)

    def votes_instead(self, new, lost):
        lines = [
            line
            for number in self.core
            for line in self.log(own(number)).splitlines()
            if 'Voters are now' in line and public(new) in line and public(lost) not in line
        ]
        return bool(lines)

    def rewrite_seeds(self):
        """Name the present replicas in all settings files, as the platform does."""
        seeds = ', '.join(f'"{public(number)}:{CONTROL_PORT}"' for number in self.core)
        for host in self.processes:
            path = self.folder / f'{host}.yaml'
            lines = path.read_text().splitlines()
            lines = [f'seeds: [{seeds}]' if line.startswith('seeds:') else line for line in lines]
            path.write_text('\n'.join([*lines, '']))

    def set_cut(self, number, is_cut):
        for other in self.core:
            if other == number:
                continue
            for proxy, source in (
                (self.proxies[number], own(other)),
                (self.proxies[other], own(number)),
            ):
                change = proxy.cut_from.add if is_cut else proxy.cut_from.discard
                self.loop.call_soon_threadsafe(change, source)
        state = 'cut off from' if is_cut else 'joined to'
        self.note(f'replica {public(number)} is {state} the other replicas')

    def put(self, numbers, document):
        """Send a document until one of these replicas acknowledges it; return when."""
        sent = client_requests.put_document_request(document)
        deadline = time.monotonic() + 10
        while time.monotonic() < deadline:
            for number in numbers:
                if call(own(number), CONTROL_PORT, sent).status == 200:
                    self.note(f'version {document.version} acknowledged by {public(number)}')
                    return time.monotonic()
            time.sleep(0.05)
        raise RuntimeError('a document was not acknowledged')


def document(version, service):
    return plain_document(version, safe_route('/moved/', service), 'old', 'new')


def ask(entry):
    sent = request('GET', '/moved/x', 1500)
    return id_of(sent), call(entry, CALLERS_PORT, sent)


def numbers_in_order():
    """
    Numbers of replicas. An entry asks replicas in an order that follows from their addresses, which
    are new each day; here the first numbers are asked first.

    """
    entry = f'{ENTRIES[0]}:{WIRE_PORT}'
    return sorted(range(20, 60), key=lambda number: rank(entry, f'{public(number)}:{WIRE_PORT}'))


def run(folder, note):
    fleet = Fleet(folder, note)
    try:
        return serves_by_old_document(fleet, note)
    finally:
        fleet.close()


def serves_by_old_document(fleet, note):
    second, third, fourth, first, new_first = numbers_in_order()[:5]
    new_second = fourth
    fleet.core = [first, second, third]
    for number, zone in zip(list(fleet.core), REGIONS, strict=True):
        fleet.start_replica(number, zone, first_start=True)
    for entry, zone in zip(ENTRIES, REGIONS, strict=False):
        fleet.start_daemon('entry', entry, entry, zone, first_start=True)
    time.sleep(2.0)
    fleet.put(fleet.core, document(1, 'old'))
    servers = {
        name: BackEnd(fleet.back_end_host, name, f'i-{name}', fleet) for name in ('old', 'new')
    }
    fleet.back_ends += servers.values()
    for entry in ENTRIES:
        wait_until(lambda: ask(entry)[1].status == 200, 15, f'{entry} serves')
    note('both entries serve')
    near = first
    if TROUBLE:
        fleet.replace_replica(first, new_first, 'a')
        fleet.replace_replica(second, new_second, 'b')
        near = new_first
        wait_until(lambda: follows(fleet, ENTRIES[0], near), 10, 'the entry follows its zone')
        note('the first entry follows the replica of its zone')
    time.sleep(CONTACT_S + 1.0)
    cut_at = time.monotonic()
    if TROUBLE:
        fleet.set_cut(near, True)
    time.sleep(0.3)
    acked_at = fleet.put([number for number in fleet.core if number != near], document(2, 'new'))
    judged_from = max(acked_at + CONFIG_APPLY_S, cut_at + CONTACT_S)
    stale = other = 0
    while time.monotonic() < cut_at + CUT_S:
        sent_at = time.monotonic()
        request_id, reply = ask(ENTRIES[0])
        ran_at_old = request_id in servers['old'].executed_ids()
        judged = sent_at > judged_from
        stale += ran_at_old and judged
        other += judged and not ran_at_old
        note(
            f'{request_id} sent {sent_at - cut_at:.2f} s after the cut and '
            f'{sent_at - acked_at:.2f} s after the acknowledgement: {reply.status}, '
            f'{"ran at the old service" if ran_at_old else "not at the old service"}'
            f'{", judged" if judged else ""}'
        )
        time.sleep(CALL_INTERVAL_S)
    if TROUBLE:
        fleet.set_cut(near, False)
    note(f'judged: {stale} ran at the old service, {other} did not')
    return stale > 0


def follows(fleet, entry, number):
    lines = [line for line in fleet.log(entry).splitlines() if 'Following replica' in line]
    return bool(lines) and f'{public(number)}:' in lines[-1]
