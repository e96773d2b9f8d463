"""
Timing of the end of an old version that entries and endpoint daemons must agree on.

"""

from typing import Final

# Entries send no requests to an old version within this time before its cutoff. The time covers
# the delay until an entry learns of a new version after the acknowledgement to the operator, the
# wait in an engine's queue, which admission keeps short (0.4 s), and the network, where a lost
# packet costs 0.3 s. The last engines start to change versions at the beginning of this time.
LAST_SEND_BEFORE_END_S: Final = 0.9
