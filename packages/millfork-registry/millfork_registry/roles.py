"""
The roles of followers, as a follower gives its own in the `Follow` message.

"""

from typing import Final

REPLICA_ROLE: Final = 'replica'
ENTRY_ROLE: Final = 'entry'
ENDPOINT_ROLE: Final = 'endpoint'
