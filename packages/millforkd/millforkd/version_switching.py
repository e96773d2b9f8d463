"""
The end of an old version, as entries and endpoint daemons must agree on it.

"""

from typing import Final

# Entries send nothing to a version in this last part of its time: for the time from
# the acknowledgement to the entry, a wait in an engine's queue that admission keeps
# short (0.4 s), and the way, on which a lost packet costs 0.3 s. The last engines
# begin to change then.
LAST_SEND_BEFORE_END_S: Final = 0.9
