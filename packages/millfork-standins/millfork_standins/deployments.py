"""
The shapes of two deployments, used to start fleets and to write examples.

"""

from dataclasses import dataclass, field
from typing import Final


@dataclass(frozen=True, slots=True)
class ZoneLocation:
    """
    An availability zone and its region.

    """

    zone: str
    region: str


@dataclass(frozen=True, slots=True)
class Shape:
    """
    The zones of a deployment and the number of servers of each service. `network_number` is the
    first number that a fleet tries as the second octet of its loopback addresses. `disks` is the
    number of entries with a data folder, which also run a replica.

    """

    name: str
    network_number: int
    zone_locations: tuple[ZoneLocation, ...]
    engine_service: str
    engines: int
    plain_services: dict[str, int]
    model: str
    organisations: tuple[str, ...]
    origin_copies: int
    entries: int = 6
    disks: int = 3
    state: dict[str, int] = field(default_factory=dict)


LANTING: Final = Shape(
    'lanting',
    71,
    (
        ZoneLocation('neihu-hall', 'taipei'),
        ZoneLocation('xitun-hall', 'taichung'),
        ZoneLocation('qianzhen-hall', 'kaohsiung'),
    ),
    'millfork-pool',
    6,
    {'portal-assets': 3, 'billing-misc': 1},
    'lecture-summariser',
    ('lanting-lectures', 'lanting-quizzes'),
    origin_copies=1,
)
CEDARLINE: Final = Shape(
    'cedarline',
    72,
    (
        ZoneLocation('kelowna-hall', 'bc-interior'),
        ZoneLocation('burnaby-hall', 'lower-mainland'),
        ZoneLocation('pg-hall', 'bc-north'),
    ),
    'millfork-drafting',
    6,
    {'register-api': 3, 'head-office-apps': 1},
    'transfer-drafter',
    ('cedarline-register', 'cedarline-legal'),
    origin_copies=1,
)
SHAPES: Final = {shape.name: shape for shape in (LANTING, CEDARLINE)}
