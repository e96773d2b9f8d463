"""
Streams are passed on event by event, however the bytes are cut.

"""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from millforkd.proxy.event_stream import MAX_EVENT_BYTES, EventSplitter, InvalidEventStream

EVENTS = [b'id: %d\ndata: token %d\n\n' % (number, number) for number in range(1, 6)]


@given(st.lists(st.integers(1, 12), max_size=40))
def test_only_whole_events_leave_and_all_bytes_do(cuts):
    stream = b''.join(EVENTS)
    splitter = EventSplitter()
    out = b''
    for cut in [*cuts, len(stream)]:
        whole = splitter.feed(stream[:cut])
        assert not whole or whole.endswith(b'\n\n')
        out += whole
        stream = stream[cut:]
    assert out == b''.join(EVENTS)
    assert (splitter.first_id, splitter.last_id, splitter.incomplete) == (1, 5, b'')


def test_an_event_cut_off_is_not_passed_on():
    splitter = EventSplitter()
    assert splitter.feed(EVENTS[0] + b'id: 2\ndata: to') == EVENTS[0]
    assert splitter.last_id == 1


def test_fields_before_the_id_and_other_line_ends_are_left_as_they_are():
    splitter = EventSplitter()
    event = b'weights: 2\r\nid: 7\r\ndata: x\r\n\r\n'
    assert splitter.feed(event) == event
    assert splitter.last_id == 7


def test_endless_bytes_without_an_event_are_refused():
    with pytest.raises(InvalidEventStream):
        EventSplitter().feed(b'x' * (MAX_EVENT_BYTES + 1))
