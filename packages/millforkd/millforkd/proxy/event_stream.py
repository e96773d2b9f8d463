"""
Splits an event stream (text/event-stream) into complete events.

"""

from typing import Final

EVENT_DELIMITERS: Final = (b'\n\n', b'\r\n\r\n')
ID_FIELD: Final = b'id:'
# The maximum size of an event. If more bytes arrive without the end of an event, the data is not
# considered an event stream.
MAX_EVENT_BYTES: Final = 1024 * 1024


class InvalidEventStream(Exception):
    """
    The bytes are not a stream of events.

    """


class EventSplitter:
    """
    Splits off complete events, and records the first and the last event id among them.

    """

    def __init__(self) -> None:
        self.incomplete = b''
        self.last_id: int | None = None
        self.first_id: int | None = None

    def feed(self, data: bytes) -> bytes:
        """
        Add received bytes; return the bytes of all events that are now complete (empty if none).

        :raises InvalidEventStream: if more than MAX_EVENT_BYTES arrived without an end of an event.

        """
        data = self.incomplete + data
        end = max(_end_of_last_event(data, delimiter) for delimiter in EVENT_DELIMITERS)
        if not end:
            self.incomplete = data
            if len(data) > MAX_EVENT_BYTES:
                raise InvalidEventStream(f'no end of an event in {len(data)} bytes')
            return b''
        complete_events = data[:end]
        self.incomplete = data[end:]
        self._record_ids(complete_events)
        return complete_events

    def _record_ids(self, complete_events: bytes) -> None:
        if self.first_id is None:
            self.first_id = _first_id(complete_events)
        start = complete_events.rfind(b'\n' + ID_FIELD)
        if start >= 0:
            self.last_id = _id_in(complete_events[start + 1 :])
        elif complete_events.startswith(ID_FIELD):
            self.last_id = _id_in(complete_events)


def _end_of_last_event(data: bytes, delimiter: bytes) -> int:
    """
    The offset after the last complete event, 0 if there is none.

    """
    start = data.rfind(delimiter)
    return start + len(delimiter) if start >= 0 else 0


def _first_id(complete_events: bytes) -> int | None:
    if complete_events.startswith(ID_FIELD):
        return _id_in(complete_events)
    start = complete_events.find(b'\n' + ID_FIELD)
    return _id_in(complete_events[start + 1 :]) if start >= 0 else None


def _id_in(line: bytes) -> int | None:
    text = line[len(ID_FIELD) :].split(b'\n', 1)[0].strip()
    return int(text) if text.isdigit() else None
