"""
Mechanisms of fleets with a list of instances, and of the state.

"""

from typing import Final

from tests.mutation import D, Edit, Mutation, S, W, scenario

LISTED_FLEETS: Final = (
    Mutation(
        'weights are whole before they are loaded',
        scenario('rollout_under_load'),
        (
            Edit(
                D + 'endpoint/rollout.py',
                'if holding is None or not holding.whole:',
                'if holding is None or not holding.share > 0.3:',
            ),
            Edit(
                W + 'store.py',
                'return self.folder / WHOLE_FILE\n\n    @property\n    def share',
                'return self.folder / (WHOLE_FILE if self.whole else PARTIAL_FILE)\n\n'
                '    @property\n    def share',
            ),
        ),
    ),
    Mutation(
        'every chunk is verified',
        scenario('corrupt_and_stalled_origin'),
        (
            Edit(
                W + 'store.py',
                'return digest_of(data) == self.manifest.chunks[index]',
                'return True',
            ),
        ),
    ),
    Mutation(
        'entries tell each other of requests that end back ends',
        'tests/test_crashing_requests_on_listed_fleets.py',
        (
            Edit(
                D + 'entry/spreading.py',
                'for name in told_by(order, self.env.instance):',
                'for name in told_by([], self.env.instance):',
            ),
        ),
    ),
    Mutation(
        'an endpoint tells an entry what it finds out later of its back end',
        'tests/test_late_ends_at_endpoints.py::test_what_becomes_known_later_is_told_to_the_entry',
        (Edit(D + 'endpoint/ends.py', 'if not item.subject.is_awaited:', 'if False:'),),
    ),
    Mutation(
        'an entry suspects a call whose back ends may have ended',
        'tests/test_late_ends_at_endpoints.py::'
        'test_a_call_is_suspected_until_the_fates_of_its_back_ends_are_told',
        (
            Edit(
                D + 'entry/crashes.py',
                'await self.suspecting.note_broken(before.fingerprint, outcome.incarnation)',
                'pass',
            ),
        ),
    ),
    Mutation(
        'a back end that turns requests away is asked after others',
        'tests/test_turned_away_on_listed_fleets.py::'
        'test_where_all_turn_away_they_are_asked_all_the_same',
        (
            Edit(
                'packages/millfork-routing/millfork_routing/balance.py',
                'able = [b for b in able if b.passed_over_until <= now] or able',
                'pass',
            ),
        ),
    ),
    Mutation(
        'an end counts also where its endpoint is lost with it',
        'tests/test_requests_that_crash_instances.py',
        (Edit(D + 'entry/attempts.py', 'if not self.backend.start:', 'if True:'),),
    ),
    Mutation(
        'an end counts also after its call was called off',
        'tests/test_crashing_requests_on_listed_fleets.py::'
        'test_ends_count_also_after_their_callers_left',
        (Edit(D + 'entry/dispatch.py', 'if attempt.called_off_at:', 'if False:'),),
    ),
    Mutation(
        'an entry that starts learns which requests end back ends',
        'tests/test_spreading_suspicions.py::test_an_entry_that_starts_learns_what_others_know',
        (Edit(D + 'entry/spreading.py', 'await self._learn()', 'self.learned = True'),),
    ),
    Mutation(
        'pieces of an answer are counted',
        'tests/test_attempts.py',
        (
            Edit(
                D + 'entry/attempts.py',
                'if (message.parts, message.bytes) != (self.next_sequence, self.received):',
                'if False:',
            ),
        ),
    ),
    Mutation(
        'nothing runs before its start',
        scenario('frozen_endpoint'),
        (Edit(D + 'endpoint/door.py', 'await reservation.started.wait()', 'pass'),),
    ),
    Mutation(
        'keys are claimed by quorum',
        scenario('entry_killed_under_filings'),
        (
            Edit(
                D + 'entry/callers.py',
                "'' if repeatable else key,",
                "'',",
            ),
        ),
    ),
    Mutation(
        'a leaving endpoint refuses, told by any entry',
        scenario('leaving_endpoint'),
        (
            Edit(
                D + 'endpoint/daemon.py',
                'return self.stopping or self.told_leaving or listed or drained',
                'return self.stopping or drained',
            ),
            Edit(
                D + 'entry/book.py',
                'return facts is not None and facts.leaving',
                'return False',
            ),
        ),
    ),
    Mutation(
        'a planned stop waits',
        scenario('planned_stops'),
        (
            Edit(D + 'entry/daemon.py', 'while self.server.active:', 'while False:'),
            Edit(D + 'endpoint/door.py', 'while self.reservations:', 'while False:'),
        ),
    ),
    Mutation(
        'a voter is an instance with its disk',
        scenario('lost_disk_does_not_vote'),
        (
            Edit(
                S + 'election.py',
                'if reply.granted and (voter, reply.disk) in replica.members:\n'
                '                granted.add((voter, reply.disk))',
                'if reply.granted:\n                granted.add((voter, reply.disk))',
            ),
            Edit(
                S + 'replica.py',
                'and request.cluster == self.cluster\n',
                'and self.cluster in ("", request.cluster)\n',
            ),
            Edit(
                S + 'replica.py',
                'if request.cluster != self.cluster or request.term < self.term:',
                'if self.cluster not in ("", request.cluster) or request.term < self.term:',
            ),
            Edit(
                S + 'leadership.py',
                'if progress.address.instance == instance and progress.disk == disk:',
                'if progress.address.instance == instance:',
            ),
            Edit(
                S + 'leadership.py',
                'if voter in replica.members and progress.acked_at >= moment:',
                'if progress.acked_at >= moment:',
            ),
        ),
    ),
    Mutation(
        'what is accepted has a majority',
        'tests/test_history_runs.py::test_a_leader_that_is_cut_off_accepts_nothing',
        (
            Edit(
                S + 'leadership.py',
                'index = match_indexes[replica.majority - 1]',
                'index = match_indexes[0]',
            ),
            Edit(
                S + 'leadership.py',
                'if self._acked_since(since) < replica.majority:',
                'if False:',
            ),
            Edit(
                S + 'leadership.py',
                'has_majority = self._acked_since(started_at) >= replica.majority',
                'has_majority = True',
            ),
        ),
    ),
    Mutation(
        'a command sent again gets its first answer',
        'tests/test_history_runs.py',
        (
            Edit(
                S + 'state_machine.py',
                'if first is not None:\n            return first',
                'if False:\n            return first',
            ),
        ),
    ),
    Mutation(
        'operators who raced get a conflict',
        'tests/test_history_runs.py',
        (
            Edit(
                S + 'state_machine.py',
                'if self._last_change(change.key) > change.expect:',
                'if False:',
            ),
        ),
    ),
    Mutation(
        'a torn record is dropped by its checksum',
        'tests/test_storage.py',
        (
            Edit(
                S + 'storage.py',
                'if not length or len(body) != length or zlib.crc32(body) != checksum:',
                'if not length or len(body) != length:',
            ),
        ),
    ),
    Mutation(
        'replicas learn from their log alone',
        scenario('restart_after_many_changes'),
        (
            Edit(
                S + 'subscription.py',
                'if self.replica is not None:\n            return\n        if update.revision',
                'if update.revision',
            ),
        ),
    ),
    Mutation(
        'a successor numbers its orders higher',
        'tests/test_fencing.py',
        (
            Edit(
                D + 'endpoint/engine.py',
                'self.number = FencingNumber(self.status.fencing_number + 1)',
                'self.number = FencingNumber(1)',
            ),
        ),
    ),
    Mutation(
        'an answer from other weights is withheld',
        'tests/test_door.py',
        (Edit(D + 'endpoint/door.py', 'if version != reservation.version:', 'if False:'),),
    ),
    Mutation(
        'a manifest is only what was accepted',
        'tests/test_weights.py',
        (
            Edit(
                W + 'manifest.py',
                'if digest is not None and digest_of(body) != digest:',
                'if False:',
            ),
        ),
    ),
    Mutation(
        'nothing is served from before what the zone has seen',
        'tests/test_subscription.py',
        (
            Edit(
                S + 'subscription.py',
                'self.min_revision = max([0, *answers])',
                'self.min_revision = 0',
            ),
        ),
    ),
    Mutation(
        'an append is acknowledged once it is durable',
        'tests/test_replica.py',
        (
            Edit(
                S + 'replica.py',
                'if entries and self.storage.durable_index < entries[-1].index:',
                'if False:',
            ),
        ),
    ),
    Mutation(
        'operators see their own keys alone',
        'tests/test_isolation.py',
        (
            Edit(
                D + 'entry/operators.py',
                "return key == f'{ORGANISATIONS}{own}'",
                'return True',
            ),
        ),
    ),
    Mutation(
        'a deployment is looked up within the caller organisation',
        'tests/test_isolation.py',
        (
            Edit(
                D + 'entry/callers.py',
                "service = f'{organisation}/{name}'",
                'service = next((k.removeprefix(DEPLOYMENTS) for k in self.view.items'
                " if k.startswith(DEPLOYMENTS) and k.endswith('/' + name)), '')",
            ),
        ),
    ),
    Mutation(
        'who started first comes back to its own zone',
        'tests/test_subscription.py::test_a_process_that_started_first_returns_to_its_own_zone',
        (Edit(S + 'subscription.py', 'if await self._finds_nearer():', 'if False:'),),
    ),
    Mutation(
        'a replica cut off from the leader is left for one that hears it',
        'tests/test_subscription.py::'
        'test_an_upstream_cut_off_from_the_leader_is_left_for_a_current_replica',
        (Edit(S + 'subscription.py', 'if await self._is_stale():', 'if False:'),),
    ),
    Mutation(
        'who was silent is asked last',
        'tests/test_subscription.py::test_an_upstream_that_was_silent_is_tried_last',
        (
            Edit(
                S + 'subscription.py',
                'found.sort(key=lambda address: address.instance == self.unresponsive_upstream)',
                'pass',
            ),
        ),
    ),
)
