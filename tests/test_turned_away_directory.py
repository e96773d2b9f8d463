"""
Entries of a zone record turned-away requests at a shared owner and look them up there.

"""

from types import SimpleNamespace

import curio
import pytest

from millfork_adapter.exchange import CallerRequest
from millfork_core.environment import Environment
from millfork_core.ids import InstanceId, ZoneId
from millfork_scheduling.placement import Requirements
from millfork_wire.connection import PeerTimedOut, PeerUnreachable
from millfork_wire.messages import AskTurnedAway, CacheAddress, NoteTurnedAway
from millforkd.proxy.fingerprints import Fingerprints
from millforkd.proxy.job import Job
from millforkd.proxy.turned_away_directory import TurnedAwayDirectory
from tests.test_servers import ENGINE, Clock

NAMES = [f'10.1.0.{number}:1' for number in range(6)]
OTHER_ZONE_ENTRY = '10.2.0.1:1'


class Zone:
    """
    Entries of zone z1 that reach each other without delay, except that `unreachable` entries accept
    no connections and queries to `slow` entries time out. All entries know the first `owners`
    entries of the zone, and one entry of another zone.

    """

    def __init__(self, owners=4):
        self.clock = Clock()
        self.unreachable = set()
        self.slow = set()
        entry_zones = [*((name, 'z1') for name in NAMES[:owners]), (OTHER_ZONE_ENTRY, 'z2')]
        known = [CacheAddress(name, zone) for name, zone in entry_zones]
        fingerprints = Fingerprints(b'key', lambda: 'cluster')
        self.entries = {}
        for name in NAMES:
            env = Environment(InstanceId(name), ZoneId('z1'), monotonic=self.clock)
            peers = SimpleNamespace(connect=self.connect, connections=Connections(self))
            self.entries[name] = TurnedAwayDirectory(env, peers, lambda: known, fingerprints)

    async def connect(self, address):
        if address.instance in self.unreachable:
            raise PeerUnreachable('cut off')
        return SimpleNamespace(
            closed=False,
            last_received_at=self.clock.now,
            notify=self.notify_of(address.instance),
            call=self.call_of(address),
        )

    def notify_of(self, name):
        async def notify(message):
            self.entries[name].on_note(message)

        return notify

    def call_of(self, address):
        async def call(message, timeout):
            if address.instance in self.slow:
                raise PeerTimedOut('slow')
            return self.entries[address.instance].on_ask(message)

        return call

    def job(self, body=b'a', elapsed_ms=0):
        exchange = SimpleNamespace(request=SimpleNamespace(method='POST', path='/', body=body))
        caller, now = CallerRequest('id', 'h.example', '/'), self.clock.now
        return Job(
            exchange, caller, None, None, Requirements('s', ENGINE), 1, now, now + 6, 1, elapsed_ms
        )

    def turn_away(self, name, job):
        async def run():
            entry = self.entries[name]
            await entry.record(job)
            # Lets the task run that sends the record to the owner of the request.
            await curio.sleep(0)
            await curio.sleep(0)

        curio.run(run)

    def elapsed_ms(self, name, job):
        return curio.run(self.entries[name].elapsed_ms, job)


class Connections:
    """
    Open connections to all entries that are reachable.

    """

    def __init__(self, zone):
        self.zone = zone

    def get(self, name):
        if name in self.zone.unreachable:
            return None
        address = SimpleNamespace(instance=name)
        call = self.zone.call_of(address)
        return SimpleNamespace(closed=False, last_received_at=self.zone.clock.now, call=call)


@pytest.fixture
def zone():
    return Zone()


@pytest.mark.parametrize('retried_at', NAMES)
def test_a_retry_is_recognised_at_any_entry_of_its_zone(zone, retried_at):
    zone.turn_away(NAMES[5], zone.job())
    zone.clock.now += 0.4
    assert zone.elapsed_ms(retried_at, zone.job()) == pytest.approx(400, abs=1)


def test_another_request_of_the_same_caller_is_a_first_try(zone):
    zone.turn_away(NAMES[5], zone.job(b'a'))
    assert zone.elapsed_ms(NAMES[4], zone.job(b'b')) == 0


def test_time_since_the_first_try_includes_earlier_retries(zone):
    zone.turn_away(NAMES[5], zone.job(elapsed_ms=300))
    zone.clock.now += 0.2
    assert zone.elapsed_ms(NAMES[4], zone.job()) == pytest.approx(500, abs=1)


def test_only_entries_that_all_know_of_record_requests(zone):
    for number in range(50):
        zone.turn_away(NAMES[5], zone.job(bytes([number])))
    kept = {name: len(entry.requests.first_tried_at) for name, entry in zone.entries.items()}
    assert sum(kept.values()) == 50
    assert all(kept[name] for name in NAMES[:4])
    assert not any(kept[name] for name in NAMES[4:])


def test_a_request_without_an_answer_in_time_counts_as_a_first_try(zone):
    zone.turn_away(NAMES[5], zone.job())
    zone.slow = set(NAMES)
    assert zone.elapsed_ms(NAMES[4], zone.job()) == 0


def test_unreachable_entries_are_skipped(zone):
    zone.unreachable = set(NAMES[:3])
    for number in range(12):
        zone.turn_away(NAMES[5], zone.job(bytes([number])))
    assert zone.entries[NAMES[3]].requests.first_tried_at
    job = zone.job(b'later')
    zone.turn_away(NAMES[5], job)
    zone.clock.now += 0.3
    assert zone.elapsed_ms(NAMES[5], job) == pytest.approx(300, abs=1)


def test_an_entry_that_knows_no_other_records_requests_itself():
    zone = Zone(owners=0)
    zone.turn_away(NAMES[5], zone.job())
    zone.clock.now += 0.3
    assert zone.elapsed_ms(NAMES[5], zone.job()) == pytest.approx(300, abs=1)


def test_only_a_short_fingerprint_of_a_request_is_sent(zone):
    job = zone.job(b'a private body')
    short_fingerprint = zone.entries[NAMES[5]]._short_fingerprint(job)
    assert (
        short_fingerprint not in b'a private body'
        and len(NoteTurnedAway(short_fingerprint).fingerprint) == 8
    )
    assert AskTurnedAway(short_fingerprint).fingerprint == short_fingerprint
