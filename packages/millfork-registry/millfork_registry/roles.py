"""
The values of a follower's role in messages of the feed.

"""

from typing import Final

REPLICA_ROLE: Final = 'replica'
ENTRY_ROLE: Final = 'entry'
ENDPOINT_ROLE: Final = 'endpoint'
