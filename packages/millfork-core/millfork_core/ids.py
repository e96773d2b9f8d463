"""
A separate type for each kind of id, so that the type checker finds ids that are mixed up.

"""

from typing import NewType

InstanceId = NewType('InstanceId', str)
ZoneId = NewType('ZoneId', str)
RegionId = NewType('RegionId', str)
OrganisationId = NewType('OrganisationId', str)
ServiceName = NewType('ServiceName', str)
RequestId = NewType('RequestId', str)
ClusterId = NewType('ClusterId', str)
DiskId = NewType('DiskId', str)
Digest = NewType('Digest', str)
# A keyed hash, in hex, of a request's content and caller: equal for all attempts of a request.
Fingerprint = NewType('Fingerprint', str)
Revision = NewType('Revision', int)
Term = NewType('Term', int)
LogIndex = NewType('LogIndex', int)
FencingNumber = NewType('FencingNumber', int)
# One process life of a back end, given by its start time in ms since 1970; 0 if the back end
# doesn't report the time.
Incarnation = NewType('Incarnation', int)
# Key of one incarnation of one back end; unlike `Incarnation`, unique among all back ends.
IncarnationKey = NewType('IncarnationKey', str)

NO_INSTANCE = InstanceId('')
NO_INCARNATION = IncarnationKey('')
UNKNOWN_INCARNATION = Incarnation(0)
