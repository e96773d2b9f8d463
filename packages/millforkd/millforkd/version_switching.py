"""
The time before a change of versions that entries and endpoint daemons must agree on.

"""

from typing import Final

# Within this time before a cutoff (from which requests may begin only on a new version), entries
# send no requests to older versions. The time covers the delay until an entry learns of a new
# version after the acknowledgement to the operator, the wait in an engine's queue, which admission
# keeps short (0.4 s), and the network, where a lost packet costs 0.3 s. The last engines start to
# change versions at the beginning of this time.
LAST_SEND_BEFORE_END_S: Final = 0.9
