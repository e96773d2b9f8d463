"""
Ids that must not be confused with one another or with plain text.

"""

from typing import NewType

InstanceId = NewType('InstanceId', str)
ZoneId = NewType('ZoneId', str)
OrganisationId = NewType('OrganisationId', str)
ServiceName = NewType('ServiceName', str)
RequestId = NewType('RequestId', str)
ClusterId = NewType('ClusterId', str)
DiskId = NewType('DiskId', str)
Digest = NewType('Digest', str)
# What a request says and who says it, as a keyed hash in hex: the same for each try of it.
Fingerprint = NewType('Fingerprint', str)
Revision = NewType('Revision', int)
Term = NewType('Term', int)
LogIndex = NewType('LogIndex', int)
FencingNumber = NewType('FencingNumber', int)
# One run of a back end's process: when it started, in ms since 1970; 0 where not told.
Incarnation = NewType('Incarnation', int)
# One run of one back end's process, unlike that of any other back end.
IncarnationKey = NewType('IncarnationKey', str)

NO_INSTANCE = InstanceId('')
NO_INCARNATION = IncarnationKey('')
UNKNOWN_INCARNATION = Incarnation(0)
