"""
`EventSplitter` passes on only complete events of a stream, however its bytes are split on arrival.

"""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from millfork_web.event_stream import MAX_EVENT_BYTES, EventSplitter, InvalidEventStream

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


@given(
    st.sampled_from([b'\n', b'\r\n', b'\r']),
    st.lists(st.integers(1, 12), max_size=40),
    st.integers(0, 3),
)
def test_all_line_ends_are_parsed_however_the_bytes_are_split(line_end, cuts, missing_count):
    stream = b''.join(EVENTS).replace(b'\n', line_end)
    whole_size = len(stream)
    stream = stream[: whole_size - missing_count]
    splitter = EventSplitter()
    passed_on = b''
    for cut in [*cuts, len(stream)]:
        passed_on += splitter.feed(stream[:cut])
        stream = stream[cut:]
    ends_whole = missing_count == 0 or (line_end == b'\r\n' and missing_count == 1)
    assert splitter.is_inside_event is not ends_whole
    assert splitter.last_id == (5 if ends_whole else 4)
    assert len(passed_on + splitter.incomplete) == whole_size - missing_count


@pytest.mark.parametrize('rest', [b'', b'\n', b'\r\n', b'\n\n', b':', b': done', b': a\n:b\n'])
def test_comments_and_empty_lines_are_no_part_of_an_event(rest):
    splitter = EventSplitter()
    splitter.feed(EVENTS[0] + rest)
    assert not splitter.is_inside_event


@pytest.mark.parametrize(
    'rest', [b'd', b'data: x', b'data: x\n', b'id: 7\n', b': a\ndata', b': a\nd\n:']
)
def test_fields_and_parts_of_them_are_parts_of_an_event(rest):
    splitter = EventSplitter()
    splitter.feed(EVENTS[0] + rest)
    assert splitter.is_inside_event
