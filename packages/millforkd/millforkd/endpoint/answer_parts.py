"""
Reads the bodies of a back end's answers, and decides whether a stream is whole.

"""

from collections.abc import AsyncIterator
from typing import Final

import curio

from millfork_core.verdicts import Verdict
from millfork_web.client import ExchangeFailed, Reply
from millfork_web.event_stream import EventSplitter, InvalidEventStream, is_event_stream
from millfork_web.framing import Framing
from millfork_web.json_bodies import is_json, is_truncated_json

# The last event of the stream of a completion, as the API for completions defines it.
LAST_ENGINE_EVENT: Final = b'data: [DONE]'
# The limit of the answers that an entry holds for its callers.
MAX_HELD_BYTES: Final = 16 * 1024 * 1024


async def answer_parts(reply: Reply, is_engine: bool, coalesce_s: float) -> AsyncIterator[bytes]:
    """
    Yield the body of an answer as it arrives, a stream in complete events. After each yield of
    events, what the back end sends within `coalesce_s` becomes part of the next one.

    :raises ExchangeFailed: if the body breaks off, or a stream or JSON document ends early.

    """
    if not is_event_stream(reply.header('content-type')):
        async for data in _body_parts(reply):
            yield data
        return
    splitter = EventSplitter(MAX_HELD_BYTES)
    last_events = b''
    async for data in reply.parts():
        try:
            events = splitter.feed(data)
        except InvalidEventStream as error:
            raise ExchangeFailed(Verdict.MAY_HAVE_RUN, str(error)) from error
        if not events:
            continue
        last_events = events if events.strip() else last_events
        yield events
        if coalesce_s:
            await curio.sleep(coalesce_s)
    if splitter.is_inside_event:
        raise ExchangeFailed(Verdict.MAY_HAVE_RUN, 'the stream ended inside an event')
    if reply.framing is Framing.CONNECTION and not _is_finished(last_events, is_engine):
        raise ExchangeFailed(Verdict.MAY_HAVE_RUN, 'the stream closed before its last event')
    if splitter.incomplete:
        yield splitter.incomplete


async def _body_parts(reply: Reply) -> AsyncIterator[bytes]:
    may_be_cut = reply.framing is Framing.CONNECTION and reply.status < 300
    document = bytearray()
    is_document = may_be_cut and is_json(reply.header('content-type'))
    async for data in reply.parts():
        yield data
        if is_document:
            document += data
        # Entries refuse larger answers that are no streams.
        is_document = is_document and len(document) <= MAX_HELD_BYTES
    if is_document and is_truncated_json(document):
        raise ExchangeFailed(Verdict.MAY_HAVE_RUN, 'the connection closed inside a JSON document')


def _is_finished(last_events: bytes, is_engine: bool) -> bool:
    """
    Whether a stream that ended with its connection may be whole. `last_events` are the events that
    arrived last. The streams of engines have a last event; of other streams it is only known that
    they have at least one event.

    """
    if is_engine:
        return last_events.rstrip().endswith(LAST_ENGINE_EVENT)
    return bool(last_events)
