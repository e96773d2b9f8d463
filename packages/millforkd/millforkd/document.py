"""
The operator's document, out of the configuration in force.

"""

import zlib

from millfork_adapter.adapter import Adapter
from millfork_adapter.calls import InvalidMessage
from millfork_core.logs import Part, logger
from millfork_routing.documents import Document
from millfork_state.commands import decode_versioned
from millfork_state.keys import DOCUMENT_KEY
from millfork_state.view import View

log = logger(Part.DAEMON)


def document_in(view: View, adapter: Adapter, known: int) -> tuple[Document, int] | None:
    """
    The document and the revision that set it; None if it is the one of
    revision `known`, or if there is none.

    """
    held = view.items.get(DOCUMENT_KEY)
    if held is None or held.revision == known:
        return None
    versioned = decode_versioned(held.value)
    try:
        document = adapter.read_document(zlib.decompress(versioned.body))
    except (InvalidMessage, zlib.error) as error:
        # It was checked before it was accepted; the one in force stays.
        log.error('Document {} can not be read: {}.', versioned.version, error)
        return None
    log.notice('Document in force. version={} routes={}', document.version, len(document.routes))
    return document, held.revision
