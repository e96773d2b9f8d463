"""
`EventSplitter` passes on only complete events of a stream, however its bytes are split on arrival.

"""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from millforkd.proxy.event_stream import MAX_EVENT_BYTES, EventSplitter, InvalidEventStream

EVENTS = [b'id: %d\ndata: token %d\n\n' % (number, number) for number in range(1, 6)]


@given(st.lists(st.integers(1, 12), max_size=40))
def test_only_complete_events_and_all_bytes_are_passed_on(cuts):
    stream = b''.join(EVENTS)
    splitter = EventSplitter()
    passed_on = b''
    for cut in [*cuts, len(stream)]:
        events = splitter.feed(stream[:cut])
        assert not events or events.endswith(b'\n\n')
        passed_on += events
        stream = stream[cut:]
    assert passed_on == b''.join(EVENTS)
    assert (splitter.first_id, splitter.last_id, splitter.incomplete) == (1, 5, b'')


def test_an_incomplete_event_is_held_back():
    splitter = EventSplitter()
    assert splitter.feed(EVENTS[0] + b'id: 2\ndata: to') == EVENTS[0]
    assert splitter.last_id == 1


def test_other_fields_and_line_ends_are_unchanged():
    splitter = EventSplitter()
    event = b'weights: 2\r\nid: 7\r\ndata: x\r\n\r\n'
    assert splitter.feed(event) == event
    assert splitter.last_id == 7


def test_endless_bytes_without_an_event_are_refused():
    with pytest.raises(InvalidEventStream):
        EventSplitter().feed(b'x' * (MAX_EVENT_BYTES + 1))
