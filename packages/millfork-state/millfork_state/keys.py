"""
Keys of the replicated state in seeded fleets.

"""

from typing import Final

from millfork_core.ids import Fingerprint

# The operator's document, compressed, at the document's own version.
DOCUMENT_KEY: Final = 'document'
VERSION_PREFIX: Final = 'weights/'
# Requests that are no longer sent to back ends, by fingerprint.
QUARANTINE_PREFIX: Final = 'quarantine/'


def version_key(model: str) -> str:
    """
    The key of the weights version that engines are to serve for a model.

    """
    return f'{VERSION_PREFIX}{model}'


def quarantine_key(fingerprint: Fingerprint) -> str:
    """
    The key of a request on the quarantine list.

    """
    return f'{QUARANTINE_PREFIX}{fingerprint}'
