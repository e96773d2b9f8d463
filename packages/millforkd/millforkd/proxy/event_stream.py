"""
Splitting a stream into whole events (text/event-stream).

"""

from typing import Final

EVENT_ENDS: Final = (b'\n\n', b'\r\n\r\n')
ID_FIELD: Final = b'id:'
# A stream without any event end in this many bytes is not one.
MAX_EVENT_BYTES: Final = 1024 * 1024


class InvalidEventStream(Exception):
    """
    The bytes are not a stream of events.

    """


class EventSplitter:
    """
    Holds back the bytes of an event that is not whole yet.

    """

    def __init__(self) -> None:
        self.rest = b''
        self.last_id: int | None = None
        self.first_id: int | None = None

    def feed(self, data: bytes) -> bytes:
        """
        Take bytes; return those of the events that are now whole.

        :raises NotEvents: if no event ends in a reasonable time.

        """
        data = self.rest + data
        end = max(_end_of(data, mark) for mark in EVENT_ENDS)
        if not end:
            self.rest = data
            if len(data) > MAX_EVENT_BYTES:
                raise InvalidEventStream(f'no event ends in {len(data)} bytes')
            return b''
        whole = data[:end]
        self.rest = data[end:]
        self._note_ids(whole)
        return whole

    def _note_ids(self, whole: bytes) -> None:
        if self.first_id is None:
            self.first_id = _first_id(whole)
        at = whole.rfind(b'\n' + ID_FIELD)
        if at >= 0:
            self.last_id = _id_in(whole[at + 1 :])
        elif whole.startswith(ID_FIELD):
            self.last_id = _id_in(whole)


def _end_of(data: bytes, mark: bytes) -> int:
    """
    Where the last whole event ends, 0 if there is none.

    """
    at = data.rfind(mark)
    return at + len(mark) if at >= 0 else 0


def _first_id(whole: bytes) -> int | None:
    if whole.startswith(ID_FIELD):
        return _id_in(whole)
    at = whole.find(b'\n' + ID_FIELD)
    return _id_in(whole[at + 1 :]) if at >= 0 else None


def _id_in(line: bytes) -> int | None:
    text = line[len(ID_FIELD) :].split(b'\n', 1)[0].strip()
    return int(text) if text.isdigit() else None
