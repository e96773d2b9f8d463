"""
The timing at the end of an old version that entries and endpoint daemons must share.

"""

from typing import Final

# Entries send nothing to a version this close to its end. The time covers the delay from the
# acknowledgement to the entry, the wait in an engine's queue, which admission keeps short
# (0.4 s), and the network, where a lost packet costs 0.3 s. The last engines start to change
# at the beginning of this time.
LAST_SEND_BEFORE_END_S: Final = 0.9
