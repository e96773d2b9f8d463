"""
Replicas remember how many entries share the limits of back ends.

"""

import curio
import pytest

from millfork_core.environment import Environment
from millfork_core.ids import InstanceId, ZoneId
from millfork_registry.followers import Followers
from millfork_registry.registry import Registry
from millforkd.replica.entry_count import CHECK_PERIOD_S, LEARNING_S, EntryCountFile
from tests.test_servers import Clock


@pytest.fixture
def clock():
    return Clock()


def start_replica(folder, clock):
    env = Environment(InstanceId('r:1'), ZoneId('z1'), monotonic=clock)
    count = EntryCountFile(folder, Followers(env, None, Registry(env, 1.2)))
    count.load()
    return count


async def store(count):
    task = await curio.spawn(count.run)
    async with curio.timeout_after(5 * CHECK_PERIOD_S):
        while not count.stored:
            await curio.sleep(0.01)
    await task.cancel()


def test_the_number_of_entries_outlives_a_loss_of_power(tmp_path, clock):
    """
    Guards against the first entries after a loss of power taking the whole allowance of a cold back
    end each, as their replica knows no others yet.

    """
    before = start_replica(tmp_path, clock)
    before.followers.entries_by_other_replica['r:2'] = 36
    curio.run(store, before)
    after = start_replica(tmp_path, clock)
    assert after.followers.entries == 0
    assert after.followers.count_entries() == 36


@pytest.mark.parametrize('content', [b'', b'36', b'\\x00' * 40])
def test_a_damaged_file_counts_as_missing(tmp_path, clock, content):
    (tmp_path / 'entry-count').write_bytes(content)
    assert start_replica(tmp_path, clock).followers.count_entries() == 0


def test_a_replica_that_lost_its_disk_learns_the_number_from_others(tmp_path, clock):
    count = start_replica(tmp_path, clock)
    count.learn(36)
    assert count.followers.count_entries() == 36
    clock.now += LEARNING_S
    count.learn(98)
    assert count.followers.count_entries() == 36
