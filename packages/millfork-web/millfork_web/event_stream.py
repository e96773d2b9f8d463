"""
Splits an event stream (text/event-stream) into complete events, and tells whether a stream has
ended inside an event.

Source: the section "Server-sent events" of the HTML standard. A line ends with LF, CR or CRLF; an
empty line ends an event; lines that begin with a colon are comments.

"""

import re
from typing import Final

CONTENT_TYPE: Final = 'text/event-stream'
LINE_ENDS: Final = (b'\n', b'\r\n', b'\r')
COMMENT: Final = b':'
ID_LINE: Final = re.compile(rb'(?:\A|[\r\n])id:([^\r\n]*)')
# The maximum size of an event. If more bytes arrive without the end of an event, the data is not
# considered an event stream. An entry may hold this for each stream at the same time.
MAX_EVENT_BYTES: Final = 256 * 1024


class InvalidEventStream(Exception):
    """
    The bytes are not a stream of events.

    """


def is_event_stream(content_type: str) -> bool:
    return content_type.lower().startswith(CONTENT_TYPE)


class EventParser:
    """
    Finds the ends of events in a stream that arrives in parts.

    """

    def __init__(self) -> None:
        # Whether a complete line of an unfinished event has arrived.
        self.has_field = False
        # The first byte of an unfinished line; empty between two lines.
        self.line_start = b''
        self.ended_with_cr = False
        # Whether a complete event has arrived: an empty line after at least one field.
        self.has_event = False

    @property
    def is_inside_event(self) -> bool:
        """
        Whether the last event is unfinished. Comments and empty lines are no part of an event.

        """
        return self.has_field or self.line_start not in (b'', COMMENT)

    def feed(self, data: bytes) -> int:
        """
        Parse the next bytes. Returns the offset in `data` after the last empty line, which is the
        end of the last complete event; 0 if there is none.

        """
        offset = events_end = 0
        for line in data.splitlines(keepends=True):
            offset += len(line)
            if self.ended_with_cr and line == b'\n':
                # The second byte of a CRLF.
                self.ended_with_cr = False
                continue
            self.ended_with_cr = line.endswith(b'\r')
            start = self.line_start or line[:1]
            if not line.endswith((b'\n', b'\r')):
                self.line_start = start
                continue
            is_empty = not self.line_start and line in LINE_ENDS
            self.line_start = b''
            if is_empty:
                self.has_event = self.has_event or self.has_field
                self.has_field = False
                events_end = offset
                continue
            self.has_field = self.has_field or start != COMMENT
        return events_end


class EventSplitter:
    """
    Splits off complete events, and records the first and the last event id among them.

    """

    def __init__(self, max_event_bytes: int = MAX_EVENT_BYTES) -> None:
        self.max_event_bytes = max_event_bytes
        self.parser = EventParser()
        self.incomplete = b''
        self.last_id: int | None = None
        self.first_id: int | None = None

    @property
    def is_inside_event(self) -> bool:
        """
        Whether `incomplete` is a part of an event, not only comments or empty lines.

        """
        return self.parser.is_inside_event

    @property
    def has_event(self) -> bool:
        return self.parser.has_event

    def feed(self, data: bytes) -> bytes:
        """
        Add received bytes; return the bytes of all events that are now complete (empty if none).
        Comments and empty lines before the first event are returned along with that event.

        :raises InvalidEventStream: if more than `max_event_bytes` arrived without an end of an
            event.

        """
        end = self.parser.feed(data)
        if not (end and self.parser.has_event):
            self.incomplete += data
            if len(self.incomplete) > self.max_event_bytes:
                raise InvalidEventStream(f'no end of an event in {len(self.incomplete)} bytes')
            return b''
        complete_events = self.incomplete + data[:end]
        self.incomplete = data[end:]
        self._record_ids(complete_events)
        return complete_events

    def _record_ids(self, complete_events: bytes) -> None:
        ids = ID_LINE.findall(complete_events)
        if not ids:
            return
        if self.first_id is None:
            self.first_id = _parse_id(ids[0])
        self.last_id = _parse_id(ids[-1])


def _parse_id(value: bytes) -> int | None:
    text = value.strip()
    return int(text) if text.isdigit() else None
