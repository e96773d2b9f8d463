"""
The roles of followers, as the feed's messages name them.

"""

from typing import Final

REPLICA_ROLE: Final = 'replica'
ENTRY_ROLE: Final = 'entry'
ENDPOINT_ROLE: Final = 'endpoint'
