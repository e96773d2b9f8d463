"""
Reads the operator's document (routes, services, organisations) from the replicated
configuration.

"""

import zlib

from millfork_adapter.adapter import Adapter
from millfork_adapter.calls import InvalidMessage
from millfork_core.logs import Component, logger
from millfork_routing.documents import Document
from millfork_state.commands import decode_versioned
from millfork_state.keys import DOCUMENT_KEY
from millfork_state.view import View

log = logger(Component.DAEMON)


def find_new_document(
    view: View, adapter: Adapter, known_revision: int
) -> tuple[Document, int] | None:
    """
    Return the operator's document and the revision of the configuration that set it. None if
    there is no document, if that revision is `known_revision` (the caller already has the
    document), or if the document can't be parsed.

    """
    held = view.items.get(DOCUMENT_KEY)
    if held is None or held.revision == known_revision:
        return None
    versioned = decode_versioned(held.value)
    try:
        document = adapter.read_document(zlib.decompress(versioned.body))
    except (InvalidMessage, zlib.error) as error:
        # Not expected, as replicas accept only valid documents. The caller keeps its document.
        log.error('Document {} cannot be read: {}.', versioned.version, error)
        return None
    log.notice('Document in force. version={} routes={}', document.version, len(document.routes))
    return document, held.revision
