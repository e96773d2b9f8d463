"""
Seeded fleets (daemons start from the addresses of a few replicas): settings from templates,
creation of the replicated state, changes of the voters, and the replicated log on a full disk.

"""

import tomllib
from pathlib import Path

import curio
import pytest
from hypothesis import given
from hypothesis import strategies as st

from millfork_core.environment import Environment
from millfork_core.ids import InstanceId, ZoneId
from millfork_platform.settings_templates import TemplateValues, render_settings
from millfork_registry.discovery import address_of
from millfork_settings.common import StateSettings
from millfork_settings.errors import BadFile
from millfork_settings.loading import load
from millfork_settings.seeded import SeededRole, SeededSettings
from millfork_state.commands import Raise, SetMembers, decode_versioned, encode_command
from millfork_state.formation import Seeds
from millfork_state.leadership import Leadership
from millfork_state.replica import Replica
from millfork_state.state_machine import StateMachine
from millfork_state.storage import LogEntry, Storage
from millfork_state.view import View

ROOT = Path(__file__).parent.parent
SEEDS = ['10.1.0.43:8000', '10.2.0.39:8000']


def filled_template(name, **bounds):
    template_values = TemplateValues(
        'front-1', '10.1.0.40', 'z1', 'r1', 7700, 8000, 8005, 8002, SEEDS, True
    )
    template_values.engine, template_values.service = '10.1.0.44:8001', 's'
    template_values.bounds.update(bounds)
    return render_settings((ROOT / 'deploy' / 'settings' / name).read_text(), template_values)


@pytest.mark.parametrize('role', SeededRole, ids=lambda role: role.value)
def test_each_template_yields_valid_settings_also_with_empty_bounds(role, tmp_path):
    path = tmp_path / 'settings.yaml'
    path.write_text(filled_template(f'{role.value}.yaml', version_ms=None))
    settings = load(path, SeededSettings)
    assert settings.role is role
    assert settings.seed_instances == ['10.1.0.43:7700', '10.2.0.39:7700']
    assert settings.first_start
    # The default, as the template was filled in without a value for `version_ms`.
    assert settings.promises.version_ms == 8000


def test_the_deploy_file_names_a_template_for_each_role():
    deploy = tomllib.loads((ROOT / 'deploy' / 'system.toml').read_text())
    assert set(deploy['roles']) == {role.value for role in SeededRole}
    for name, role in deploy['roles'].items():
        assert role['template'] == f'deploy/settings/{name}.yaml'
        assert (ROOT / role['run'].split()[1]).exists()


def test_settings_that_lack_a_field_of_their_role_are_refused(tmp_path):
    path = tmp_path / 'settings.yaml'
    path.write_text(filled_template('entry.yaml').replace('callers:', 'other:'))
    with pytest.raises(BadFile):
        load(path, SeededSettings)


def test_exactly_one_seed_forms_the_state_and_only_at_the_first_start():
    others = [address_of('10.0.0.2:1'), address_of('10.0.0.3:1')]
    assert Seeds(others, may_form=True).writes_first_log_entry(InstanceId('10.0.0.1:1'))
    assert not Seeds(others, may_form=True).writes_first_log_entry(InstanceId('10.0.0.9:1'))
    assert not Seeds(others, may_form=False).writes_first_log_entry(InstanceId('10.0.0.1:1'))


def replica_at(folder, instance='a:1', losses=1):
    env = Environment(InstanceId(instance), ZoneId('zone'))
    return Replica(env, StateSettings(losses=losses), Storage(folder), View(), None, [])


def leadership_of(folder, others, losses=1):
    """
    Return the leadership of replica a:1, with `others` as the other voters. All voters have the
    leader's whole log.

    """
    replica = replica_at(folder, losses=losses)
    disk = str(replica.storage.disk)
    members = [('a:1', disk), *[(name, f'disk-{name}') for name in others]]
    payload = encode_command(SetMembers('cluster', members))

    async def write():
        await replica.write([LogEntry(1, 1, payload)])
        await replica.advance_commit(1)

    curio.run(write)
    for name in others:
        replica.add_address(address_of(name))
    leadership = Leadership(replica)
    for progress in leadership.progress:
        progress.disk = f'disk-{progress.address.instance}'
        progress.match_index = 1
    return leadership


def names(members):
    return [name for name, _ in members]


def silence(leadership, name):
    for progress in leadership.progress:
        if progress.address.instance == name:
            progress.acked_at -= leadership.replica.election_s + 1


def add_replica(leadership, name, last_matching=1):
    leadership.replica.add_address(address_of(name))
    progress = Leadership(leadership.replica).progress[-1]
    progress.disk, progress.match_index = f'disk-{name}', last_matching
    leadership.progress.append(progress)


def test_a_replica_at_a_new_address_joins_once_it_has_caught_up(tmp_path):
    leadership = leadership_of(tmp_path, ['b:1', 'c:1'])
    add_replica(leadership, 'd:1', last_matching=0)
    assert leadership._next_members() is None
    leadership.progress[-1].match_index = 1
    assert names(leadership._next_members()) == ['a:1', 'b:1', 'c:1', 'd:1']


def test_a_silent_voter_is_removed_only_if_enough_voters_remain(tmp_path):
    three = leadership_of(tmp_path / 'three', ['b:1', 'c:1'])
    silence(three, 'b:1')
    assert three._next_members() is None
    four = leadership_of(tmp_path / 'four', ['b:1', 'c:1', 'd:1'])
    silence(four, 'b:1')
    assert names(four._next_members()) == ['a:1', 'c:1', 'd:1']
    six = leadership_of(tmp_path / 'six', ['b:1', 'c:1', 'd:1', 'e:1'], losses=2)
    silence(six, 'b:1')
    assert six._next_members() is None


def test_a_leader_that_was_paused_removes_no_voter(tmp_path):
    # Guards against removing sound voters whose answers a paused leader has not read yet.
    four = leadership_of(tmp_path, ['b:1', 'c:1', 'd:1'])
    for name in ('b:1', 'c:1'):
        silence(four, name)
    assert four._next_members() is None


def test_voters_that_are_about_to_stop_are_removed_and_the_leader_last(tmp_path):
    five = leadership_of(tmp_path, ['b:1', 'c:1', 'd:1', 'e:1'])
    five.replica.leaving = True
    five.progress[1].leaving = True
    members = five._next_members()
    assert names(members) == ['a:1', 'b:1', 'd:1', 'e:1']
    five.replica.members = members
    five.progress[1].match_index = five.replica.commit
    assert names(five._next_members()) == ['b:1', 'd:1', 'e:1']
    five.progress[1].leaving = False
    assert names(five._next_members()) == ['a:1', 'b:1', 'd:1', 'e:1', 'c:1']


def test_only_a_higher_version_replaces_the_stored_value():
    machine = StateMachine(View())
    assert machine.apply(Raise('document', 2, b'two')).raised
    again = machine.apply(Raise('document', 2, b'other'))
    assert (again.raised, again.version) == (False, 2)
    assert not machine.apply(Raise('document', 1, b'one')).raised
    assert machine.apply(Raise('document', 7, b'seven')).raised
    assert decode_versioned(machine.view.items['document'].value).body == b'seven'
    assert machine.view.revision == 2


RAISES = st.lists(
    st.tuples(st.sampled_from(['document', 'm']), st.integers(1, 9), st.binary(max_size=3)),
    max_size=30,
)


@given(RAISES, st.integers(0, 30))
def test_in_any_order_the_first_value_of_the_highest_version_remains(raises, restored_at):
    machine = StateMachine(View())
    expected: dict[str, tuple[int, bytes]] = {}
    for step, (key, version, body) in enumerate(raises):
        if step == restored_at:
            dump = machine.dump([])
            machine = StateMachine(View())
            machine.restore(dump)
        before = machine.view.revision
        result = machine.apply(Raise(key, version, body))
        higher = version > expected.get(key, (0, b''))[0]
        assert result.raised == higher
        assert machine.view.revision == before + higher
        if higher:
            expected[key] = (version, body)
        assert result.version == expected[key][0]
    held = {key: decode_versioned(item.value) for key, item in machine.view.items.items()}
    assert {key: (item.version, item.body) for key, item in held.items()} == expected


class FullDisk:
    """
    A log file on a disk that takes `free_bytes` bytes and is then full.

    """

    def __init__(self, file, free_bytes):
        self.file = file
        self.free_bytes = free_bytes

    def write(self, data):
        if self.free_bytes <= 0:
            raise OSError(28, 'no space left')
        written = self.file.write(bytes(data[: self.free_bytes]))
        self.free_bytes -= written
        return written

    def fileno(self):
        return self.file.fileno()


def test_a_partial_write_to_a_full_disk_is_truncated(tmp_path):
    storage = Storage(tmp_path)
    storage.write_entries([LogEntry(1, 1, b'one')])
    real = storage.file
    storage.file = FullDisk(real, 5)
    with pytest.raises(OSError, match='no space'):
        storage.write_entries([LogEntry(1, 2, b'two')])
    assert storage.last_index == 1
    storage.file = real
    storage.write_entries([LogEntry(1, 2, b'again')])
    storage.close()
    reopened = Storage(tmp_path)
    assert [entry.payload for entry in reopened.entries] == [b'one', b'again']
    assert reopened.torn_bytes == 0
