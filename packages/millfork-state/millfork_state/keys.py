"""
Keys of the replicated state that seeded fleets use.

"""

from typing import Final

# The operator's document, compressed; its version is the document's.
DOCUMENT_KEY: Final = 'document'
VERSION_PREFIX: Final = 'weights/'


def version_key(model: str) -> str:
    """
    The key of the version of a model's weights that is to be served.

    """
    return f'{VERSION_PREFIX}{model}'
