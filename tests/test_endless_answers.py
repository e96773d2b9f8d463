"""
Back ends that send bytes without end, of which no answer comes.

"""

import re
import time
from pathlib import Path
from types import SimpleNamespace

import curio
import pytest

from millfork_core.environment import Environment
from millfork_core.ids import InstanceId, ZoneId
from millfork_core.verdicts import Reason
from millfork_standins.back_end import RawAnswer
from millfork_standins.seeded import SeededFleet
from millforkd.proxy.connections import SendFailed
from millforkd.proxy.response_relay import ResponseRelay
from tests.test_seeded_fleet import request
from tests.test_servers import Clock
from tests.test_unusual_answers import CALLS, ID, OK, send_calls
from tests.utils.fleets import wait_until
from tests.utils.streams import (
    SAFE_PATH,
    WHOLE_STREAM,
    start_streaming_fleet,
    stream,
)

FILL = b'x' * 16_384
FAILURE = b'HTTP/1.1 500 Internal Server Error\r\n' + ID
CHUNKED = b'transfer-encoding: chunked\r\n\r\n'
CHUNK = b'4000\r\n' + FILL + b'\r\n'
UNFRAMED = OK + b'\r\n'
# Bytes in memory that an entry may use beyond what it used before the calls.
MEMORY_BYTES = 64 * 1024 * 1024

# Each call but the first one waits 1.2 s for another back end where an answer arrives slowly.
SLOW_CALLS = 2
CLOSED = RawAnswer(b'', closes=True)
# Another back end is asked for these, and its answer arrives within the caller's time.
ENDLESS_ANSWERS = {
    'no answer at all': RawAnswer(b'', endless=FILL),
    'a header without end': RawAnswer(OK + b'x: ', endless=FILL),
    'headers without end': RawAnswer(OK, endless=b'x: y\r\n'),
    'a head, a byte at a time': RawAnswer(OK, endless=b'x', pause_s=0.2),
    'informational answers': RawAnswer(b'', endless=b'HTTP/1.1 103 Early Hints\r\n\r\n'),
    'a failure in chunks': RawAnswer(FAILURE + CHUNKED, endless=CHUNK),
    'a failure without framing': RawAnswer(FAILURE + b'\r\n', endless=FILL),
    'a failure, a byte at a time': RawAnswer(FAILURE + b'\r\n', endless=b'x', pause_s=0.2),
    'a long answer, a byte at a time': RawAnswer(
        OK + b'content-length: 1000000\r\n\r\n', endless=b'x', pause_s=0.2
    ),
    'chunks, a byte at a time': RawAnswer(OK + CHUNKED, endless=b'1\r\nx\r\n', pause_s=0.2),
    'no framing, a byte at a time': RawAnswer(UNFRAMED, endless=b'x', pause_s=0.2),
    'trailers without end': RawAnswer(OK + CHUNKED + b'5\r\nwrong\r\n0\r\n', endless=b'x: y\r\n'),
    'a chunk without a length': RawAnswer(OK + CHUNKED + b'5\r\nwrong\r\n-\r\n', endless=FILL),
}
# These may be large answers, so they are passed on until the caller's time is over.
LARGE_ANSWERS = {
    'chunks': RawAnswer(OK + CHUNKED, endless=CHUNK, pause_s=0.01),
    'no framing': RawAnswer(UNFRAMED, endless=FILL, pause_s=0.01),
}
STREAM = OK + b'content-type: text/event-stream\r\n' + CHUNKED
ENDLESS_STREAMS = {
    'comments': RawAnswer(STREAM, endless=b'5\r\n: x\n\n\r\n'),
    'slow-comments': RawAnswer(STREAM, endless=b'5\r\n: x\n\n\r\n', pause_s=0.2),
    'slow-blank-lines': RawAnswer(STREAM, endless=b'1\r\n\n\r\n', pause_s=0.2),
    'an event': RawAnswer(STREAM, endless=CHUNK),
    'an event, a byte at a time': RawAnswer(STREAM, endless=b'1\r\nx\r\n', pause_s=0.2),
}


@pytest.fixture(scope='module')
def fleet(tmp_path_factory):
    fleet = SeededFleet(tmp_path_factory.mktemp('endless'))
    try:
        start_streaming_fleet(fleet, max_attempts=2)
        # An entry that has just started may repeat only a few requests.
        wait_until(lambda: send_calls(fleet, CLOSED) and has_allowance(fleet))
        yield fleet
    finally:
        fleet.close()


def has_allowance(fleet):
    """
    Whether the entry has its part of the fixed allowance of repeats. An entry that moved to another
    replica at its start counts twice for a while.

    """
    return re.search(r'Repeats\. .* entries=[1-9]\d*$', fleet.log(fleet.entry_hosts[0]), re.M)


def memory_bytes(fleet):
    """
    The resident memory of the entry.

    """
    pid = fleet.processes[fleet.entry_hosts[0]].pid
    with Path(f'/proc/{pid}/statm').open() as file:
        return int(file.read().split()[1]) * 4096


@pytest.mark.parametrize('name', ENDLESS_ANSWERS)
def test_another_back_end_is_asked_instead_of_an_endless_answer(fleet, name):
    """
    Guards against memory that an endless answer fills, and against a caller who waits for its end
    until the deadline.

    """
    before = memory_bytes(fleet)
    raw_answer = ENDLESS_ANSWERS[name]
    calls = SLOW_CALLS if raw_answer.pause_s else CALLS
    assert send_calls(fleet, raw_answer, calls) == [(200, b'answer')] * calls
    assert memory_bytes(fleet) - before < MEMORY_BYTES


@pytest.mark.parametrize('name', ENDLESS_STREAMS)
def test_another_back_end_is_asked_instead_of_a_stream_without_events(fleet, name):
    """
    Guards against comments, blank lines or a part of an event that begin an answer, after which no
    other back end may be asked.

    """
    before = memory_bytes(fleet)
    fleet.raw_answer = ENDLESS_STREAMS[name]
    replies = [stream(fleet, f'{name} {number}'.encode()) for number in range(2)]
    fleet.raw_answer = None
    assert [(reply.status, reply.body) for reply in replies] == [(200, WHOLE_STREAM)] * 2
    assert memory_bytes(fleet) - before < MEMORY_BYTES


@pytest.mark.parametrize('name', LARGE_ANSWERS)
def test_an_endless_answer_that_may_be_large_ends_with_the_callers_time(fleet, name):
    """
    Guards against connections and memory that are kept after the caller's time.

    """
    before = memory_bytes(fleet)
    fleet.raw_answer = LARGE_ANSWERS[name]
    started_at = time.monotonic()
    replies = [fleet.send_request(request(SAFE_PATH)) for _ in range(2)]
    fleet.raw_answer = None
    assert sorted((reply.status, reply.body) for reply in replies)[-1] == (200, b'answer')
    assert time.monotonic() - started_at < 2 * 4.0 + 2.0
    assert memory_bytes(fleet) - before < MEMORY_BYTES
    wait_until(lambda: fleet.send_request(request(SAFE_PATH)).status == 200)


def test_an_answer_that_is_always_there_ends_with_the_callers_time():
    """
    Guards against an entry that passes an endless answer on long after the deadline, and does
    nothing else: the event loop ends no task that never waits.

    """
    clock = Clock()
    env = Environment(InstanceId('a:1'), ZoneId('z1'), monotonic=clock)
    written = []

    async def read():
        clock.now += 0.01
        return b'x'

    async def write(data):
        written.append(data)

    async def start(*arguments):
        pass

    connection = SimpleNamespace(read=read, status=200, headers=[], framing=None)
    job = SimpleNamespace(
        race=SimpleNamespace(claim=start),
        exchange=SimpleNamespace(start=start, write=write),
        remaining_s=lambda now: 104.0 - now,
    )
    adapter = SimpleNamespace(caller_headers=lambda headers: headers)
    relay = ResponseRelay(env, adapter, None, None)
    with pytest.raises(SendFailed) as error:
        curio.run(relay._respond_large, job, None, connection, b'x')
    assert error.value.reason is Reason.TIMED_OUT
    assert 390 < len(written) < 410
