import pytest

from millfork_standins.deployments import CEDARLINE
from millfork_standins.fleet import Fleet
from millfork_standins.layout import FleetOptions
from tests.utils.fleets import serve_version


@pytest.fixture(scope='session')
def serving_fleet(tmp_path_factory):
    """
    A whole listed fleet that serves its first version. Tests must not change its state.

    """
    fleet = Fleet(CEDARLINE, tmp_path_factory.mktemp('fleet'), FleetOptions())
    try:
        fleet.start()
        serve_version(fleet, 'v1')
        yield fleet
    finally:
        fleet.close()
