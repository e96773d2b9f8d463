"""
The evacuated zones in the replicated configuration.

No requests are sent to the back ends of an evacuated zone. The operator evacuates a zone, for
example before its power is switched off, and takes it back later.

"""

import msgspec

from millfork_core.ids import ZoneId
from millfork_core.logs import Component, logger
from millfork_state.keys import EVACUATION_PREFIX
from millfork_state.view import View

log = logger(Component.DAEMON)


class EvacuationRecord(msgspec.Struct, frozen=True):
    """
    The value that is stored for an evacuated zone: when the operator's order arrived, in ms since
    1970.

    """

    since_ms: int


def encode_record(record: EvacuationRecord) -> bytes:
    return msgspec.msgpack.encode(record)


def evacuated_since(view: View) -> dict[ZoneId, int]:
    """
    The evacuated zones, and since when each one is (in ms since 1970; 0 if unknown).

    """
    found = {}
    for key, value in view.values_with_prefix(EVACUATION_PREFIX).items():
        zone = ZoneId(key.removeprefix(EVACUATION_PREFIX))
        try:
            found[zone] = msgspec.msgpack.decode(value, type=EvacuationRecord).since_ms
        except msgspec.DecodeError as error:
            log.error('The record of evacuated zone {} cannot be read: {}.', zone, error)
            found[zone] = 0
    return found
