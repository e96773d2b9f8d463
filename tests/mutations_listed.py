"""
Mutations of listed fleets (a listed fleet is one whose instances the platform lists), and of the
replicated state.

"""

from typing import Final

from tests.mutation import D, Edit, Mutation, S, W, scenario

LISTED_FLEETS: Final = (
    Mutation(
        'an entry with a stale configuration refuses calls for unknown services as not run',
        'tests/test_outdated_configurations_on_listed_fleets.py',
        (
            Edit(
                D + 'entry/caller_requests.py',
                'if self.configuration_age_ms() <= STALE_AGE_MS:',
                'if True:',
            ),
        ),
    ),
    Mutation(
        'an engine loads weights only once they are complete',
        scenario('rollout_under_load'),
        (
            Edit(
                D + 'endpoint/rollout.py',
                'if stored is None or not stored.is_complete:',
                'if stored is None or not stored.share > 0.3:',
            ),
            Edit(
                W + 'store.py',
                'return self.folder / COMPLETE_FILE\n\n    @property\n    def share',
                'return self.folder / (COMPLETE_FILE if self.is_complete else PARTIAL_FILE)\n\n'
                '    @property\n    def share',
            ),
        ),
    ),
    Mutation(
        'every chunk is verified against its digest',
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
        'entries tell each other which requests crash back ends',
        'tests/test_crashing_requests_on_listed_fleets.py',
        (
            Edit(
                D + 'entry/suspicion_gossip.py',
                'for target in gossip_targets(entries, self.env.instance):',
                'for target in gossip_targets([], self.env.instance):',
            ),
        ),
    ),
    Mutation(
        'an endpoint that learns late whether its back end ended reports that to the entry',
        'tests/test_late_ends_at_endpoints.py::test_a_late_status_is_reported_to_the_entry',
        (
            Edit(
                D + 'endpoint/incarnation_tracking.py',
                'if not item.subject.is_awaited:',
                'if False:',
            ),
        ),
    ),
    Mutation(
        'an entry suspects a request while it is unknown whether the back ends that ran it ended',
        'tests/test_late_ends_at_endpoints.py::'
        'test_a_call_is_suspected_until_the_status_of_its_back_ends_is_reported',
        (
            Edit(
                D + 'entry/crash_tracking.py',
                'await self.suspicion_updater.record_broken_connection(\n'
                '            before.fingerprint, outcome.incarnation\n        )',
                'pass',
            ),
        ),
    ),
    Mutation(
        'back ends that turn requests away are tried after all others',
        'tests/test_turned_away_on_listed_fleets.py::'
        'test_back_ends_are_still_used_if_all_turn_away',
        (
            Edit(
                'packages/millfork-routing/millfork_routing/balance.py',
                'usable = [b for b in usable if b.passed_over_until <= now] or usable',
                'pass',
            ),
        ),
    ),
    Mutation(
        'the crash of a back end counts against its request even if the endpoint is lost too',
        'tests/test_requests_that_crash_instances.py',
        (Edit(D + 'entry/attempts.py', 'if not self.backend.start:', 'if True:'),),
    ),
    Mutation(
        'the crash of a back end counts against its request even after the attempt was cancelled',
        'tests/test_crashing_requests_on_listed_fleets.py::'
        'test_ends_are_counted_after_their_callers_left',
        (Edit(D + 'entry/dispatcher.py', 'if attempt.cancelled_incarnation:', 'if False:'),),
    ),
    Mutation(
        'a starting entry asks other entries which requests crash back ends',
        'tests/test_suspicion_gossip.py::test_a_starting_entry_receives_the_suspicions_of_others',
        (
            Edit(
                D + 'entry/suspicion_gossip.py',
                'await self._ask_others()',
                'self.has_asked_others = True',
            ),
        ),
    ),
    Mutation(
        'the parts and bytes of an answer are compared with the reported totals',
        'tests/test_attempts.py',
        (
            Edit(
                D + 'entry/attempts.py',
                'if (message.parts, message.bytes) != (self.next_sequence, self.received_bytes):',
                'if False:',
            ),
        ),
    ),
    Mutation(
        'an endpoint runs no reserved request before the entry starts it',
        scenario('frozen_endpoint'),
        (Edit(D + 'endpoint/backend_gateway.py', 'await reservation.started.wait()', 'pass'),),
    ),
    Mutation(
        'idempotency keys are claimed by a quorum of the replicas',
        scenario('entry_killed_under_filings'),
        (
            Edit(
                D + 'entry/caller_requests.py',
                "'' if repeatable else key,",
                "'',",
            ),
        ),
    ),
    Mutation(
        'an endpoint refuses requests once any entry or the instance list announces its leave',
        scenario('leaving_endpoint'),
        (
            Edit(
                D + 'endpoint/daemon.py',
                'return self.stopping or self.notified_leaving or listed or drained',
                'return self.stopping or drained',
            ),
            Edit(
                D + 'entry/endpoint_connections.py',
                'return facts is not None and facts.leaving',
                'return False',
            ),
        ),
    ),
    Mutation(
        'a planned stop waits for requests in progress',
        scenario('planned_stops'),
        (
            Edit(D + 'entry/daemon.py', 'while self.server.active:', 'while False:'),
            Edit(
                D + 'entry/daemon.py',
                'await self.server.stop_accepting()\n                '
                'await self.server.wait_until_finished()',
                'pass',
            ),
            Edit(D + 'endpoint/backend_gateway.py', 'while self.reservations:', 'while False:'),
        ),
    ),
    Mutation(
        'a voter is identified by its instance and its disk',
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
        'a change is accepted only with a majority of the replicas',
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
        'a repeated command gets the result of its first execution',
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
        'of two concurrent changes by operators, the later one gets a conflict',
        'tests/test_history_runs.py',
        (
            Edit(
                S + 'state_machine.py',
                'if self._last_change_revision(change.key) > change.expect:',
                'if False:',
            ),
        ),
    ),
    Mutation(
        'an incompletely written record is detected by its checksum',
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
        'replicas apply configuration from their log only, not from updates of peers',
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
        'an endpoint that replaces another uses a higher fencing number',
        'tests/test_fencing.py',
        (
            Edit(
                D + 'endpoint/engine_client.py',
                'self.number = FencingNumber(self.status.fencing_number + 1)',
                'self.number = FencingNumber(1)',
            ),
        ),
    ),
    Mutation(
        'an answer from another version than the reserved one is not delivered',
        'tests/test_backend_gateway.py',
        (
            Edit(
                D + 'endpoint/backend_gateway.py', 'if version != reservation.version:', 'if False:'
            ),
        ),
    ),
    Mutation(
        'a manifest must have the digest that was accepted',
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
        'a process that starts waits for the newest revision known in its zone',
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
        'a replica acknowledges log entries only once they are durable',
        'tests/test_replica.py',
        (
            Edit(
                S + 'replica.py',
                'if self.storage.durable_index < match_index:',
                'if False:',
            ),
        ),
    ),
    Mutation(
        'operators see only the keys of their own organisation',
        'tests/test_isolation.py',
        (
            Edit(
                D + 'entry/operator_requests.py',
                "return key == f'{ORGANISATIONS}{own}'",
                'return True',
            ),
        ),
    ),
    Mutation(
        'a deployment is looked up only within the organisation of the caller',
        'tests/test_isolation.py',
        (
            Edit(
                D + 'entry/caller_requests.py',
                "service = f'{organisation}/{name}'",
                'service = next((k.removeprefix(DEPLOYMENTS) for k in self.view.items'
                " if k.startswith(DEPLOYMENTS) and k.endswith('/' + name)), '')",
            ),
        ),
    ),
    Mutation(
        'a process that started first switches to an upstream of its own zone later',
        'tests/test_subscription.py::test_a_process_that_started_first_returns_to_its_own_zone',
        (Edit(S + 'subscription.py', 'if await self._finds_nearer():', 'if False:'),),
    ),
    Mutation(
        'an endpoint notices a stream that ends inside an event',
        'tests/test_broken_off_streams_on_listed_fleets.py::'
        'test_a_stream_that_ends_inside_an_event_is_not_framed_as_complete[8-last-chunk]',
        (Edit(D + 'endpoint/answer_parts.py', 'if splitter.is_inside_event:', 'if False:'),),
    ),
    Mutation(
        'followers leave a replica that is cut off from the leader',
        'tests/test_subscription.py::'
        'test_an_upstream_cut_off_from_the_leader_is_left_for_a_current_replica',
        (Edit(S + 'subscription.py', 'if await self._is_stale():', 'if False:'),),
    ),
    Mutation(
        'an upstream that did not respond is tried last',
        'tests/test_subscription.py::test_an_upstream_that_was_silent_is_tried_last',
        (
            Edit(
                S + 'subscription.py',
                'found.sort(key=lambda address: address.instance == self.unresponsive_upstream)',
                'pass',
            ),
        ),
    ),
    Mutation(
        'requests in progress at the end of a planned stop are answered on listed fleets',
        'tests/test_stops.py::test_the_requests_at_the_end_of_a_planned_stop_are_answered',
        (Edit(D + 'entry/daemon.py', 'await self._end_requests()', 'pass'),),
    ),
)
