"""
The values of `Follow.role`, the role of a process that follows a replica.

"""

from typing import Final

REPLICA_ROLE: Final = 'replica'
ENTRY_ROLE: Final = 'entry'
ENDPOINT_ROLE: Final = 'endpoint'
