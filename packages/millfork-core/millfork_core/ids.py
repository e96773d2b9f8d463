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
Revision = NewType('Revision', int)
Term = NewType('Term', int)
LogIndex = NewType('LogIndex', int)
FencingNumber = NewType('FencingNumber', int)

NO_INSTANCE = InstanceId('')
