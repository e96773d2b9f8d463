"""
Daemons of every role use the promises (bounds that the platform fills into the settings file),
and start with any values of them.

Two faults are guarded against:

- The settings of the replicas lacked `version_ms`, so the leader used the default of 8 s instead
  of 10 s. 94 daemons removed the old weights from their engines 2.5 s before the new weights
  arrived, and a whole fleet served nothing for five seconds (3,208 requests refused).
- No entry started if a promise was a fraction, such as a `retry_slack` of 45.4: `Input should
  be a valid integer, got a number with a fractional part`.

"""

import re
from datetime import datetime
from pathlib import Path

import pytest
import yaml
from hypothesis import given
from hypothesis import strategies as st

from millfork_core.ids import ServiceName
from millfork_platform import client_requests
from millfork_routing.documents import Document, Service
from millfork_settings.errors import BadFile
from millfork_settings.loading import load
from millfork_settings.seeded import (
    OPTIONAL_PROMISES,
    REQUIRED_PROMISES,
    PromiseSettings,
    SeededRole,
    SeededSettings,
    bound_of,
)
from millfork_standins.seeded import SeededFleet
from millforkd.versions import LAST_SEND_BEFORE_END_S
from tests.test_seeded import filled_template
from tests.test_servers import ENGINE
from tests.utils.fleets import wait_until

ROOT = Path(__file__).parent.parent
PACKAGE = ROOT / 'packages' / 'millforkd' / 'millforkd'
# The files in which each role reads promises.
SOURCES_BY_ROLE = {
    SeededRole.ENTRY: ('proxy/*.py', 'seeded.py'),
    SeededRole.REPLICA: ('replica/*.py',),
    SeededRole.ENDPOINT: ('sidecar/*.py', 'seeded.py'),
}
VERSION_LINE = re.compile(
    r'(\S+) \w+ proxy: Version (?:named|end corrected)\. model=m version=2 due_s=(-?[\d.]+)'
)
# Allowed error of a logged cutoff: all processes learn of a new version within this time, and log
# lines round the time to the cutoff to tenths of a second.
TOLERANCE_S = 0.8

GIVEN_VALUES = st.one_of(
    st.none(),
    st.booleans(),
    st.integers(-10, 10**25),
    st.floats(),
    st.sampled_from(['', 'fast', '1e400', '-0.0', '45.4']),
)


def promises_read_by(role):
    """
    Return the names of the promises that a role's code reads.

    """
    texts = [path.read_text() for glob in SOURCES_BY_ROLE[role] for path in PACKAGE.glob(glob)]
    return {name for text in texts for name in re.findall(r'promises\.([a-z_]+)', text)}


@pytest.mark.parametrize('role', SeededRole, ids=lambda role: role.value)
def test_each_template_names_the_promises_that_its_role_reads(role):
    text = (ROOT / 'deploy' / 'settings' / f'{role.value}.yaml').read_text()
    filled_in = set(re.findall(r'^  ([a-z_]+): \{\{', text.partition('promises:')[2], re.M))
    promises = {*REQUIRED_PROMISES[role], *OPTIONAL_PROMISES.get(role, ())}
    assert promises == promises_read_by(role) == filled_in


@pytest.mark.parametrize('role', SeededRole, ids=lambda role: role.value)
def test_settings_without_a_promise_of_their_role_are_refused(role, tmp_path):
    for name in REQUIRED_PROMISES[role]:
        head, separator, promises = filled_template(f'{role.value}.yaml').partition('promises:')
        path = tmp_path / 'settings.yaml'
        path.write_text(head + separator + re.sub(f'  {name}: .*\n', '', promises))
        with pytest.raises(BadFile, match=f'promises.{name}'):
            load(path, SeededSettings)


@given(st.dictionaries(st.sampled_from(sorted(PromiseSettings.model_fields)), GIVEN_VALUES))
def test_every_role_starts_whatever_promises_a_deployment_gives(bounds):
    for role in SeededRole:
        text = filled_template(f'{role.value}.yaml', **bounds)
        settings = SeededSettings.model_validate(yaml.safe_load(text))
        for name, info in PromiseSettings.model_fields.items():
            value = getattr(settings.promises, name)
            assert bound_of(info, 'ge') <= value <= bound_of(info, 'le')


@pytest.mark.parametrize(
    ('given_value', 'used', 'replaced'),
    [
        (45.4, 45.4, False),
        ('1e+2', 100.0, False),
        (None, 100.0, True),
        (True, 100.0, True),
        ('many', 100.0, True),
        (-3, 0.0, True),
        (10**400, 1e9, True),
        (float('nan'), 100.0, True),
    ],
)
def test_an_unusable_value_is_replaced_and_reported(given_value, used, replaced):
    promises = PromiseSettings(retry_slack=given_value)
    assert promises.retry_slack == used
    assert [value.key for value in promises.replaced] == ['promises.retry_slack'] * replaced


@pytest.mark.parametrize('version_ms', [4000, 12000])
def test_every_role_stops_using_older_weights_at_the_promised_time(tmp_path, version_ms):
    fleet = SeededFleet(tmp_path, entries=1, endpoints=1, version_ms=version_ms)
    try:
        fleet.start()
        engines = Service(ServiceName('engines'), 64, ENGINE)
        assert fleet.put_document(Document(1, services=(engines,))).status == 200
        assert fleet.control(client_requests.set_version_request('m', 2)).status == 200
        set_at = datetime.now().timestamp()
        hosts = (*fleet.replica_hosts, *fleet.entry_hosts, *fleet.endpoint_hosts)
        for host in hosts:
            wait_until(lambda host=host: logged_cutoff(fleet, host) is not None)
            wait_until(
                lambda host=host: (
                    abs(logged_cutoff(fleet, host) - set_at - version_ms / 1000) < TOLERANCE_S
                )
            )
    finally:
        fleet.close()


def logged_cutoff(fleet, host):
    """
    Return when requests may no longer begin on older weights (seconds since 1970), by the last
    line about a version in a host's log; None if there is no such line.

    """
    found = VERSION_LINE.findall(fleet.log(host))
    if not found:
        return None
    moment, due_s = found[-1]
    return datetime.fromisoformat(moment).timestamp() + float(due_s) + LAST_SEND_BEFORE_END_S


def test_a_deployment_without_bounds_for_cold_back_ends_gets_the_defaults():
    """
    Guards against a warning at each start, or no start, where a deployment names no such bounds.

    """
    text = filled_template('entry.yaml', cold_over=None, cold_slack=None)
    promises = SeededSettings.model_validate(yaml.safe_load(text)).promises
    assert (promises.cold_over, promises.cold_slack) == (1, 0)
    assert promises.replaced == ()
