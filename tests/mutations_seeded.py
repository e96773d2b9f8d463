"""
Mechanisms of seeded fleets.

"""

from typing import Final

from tests.mutation import C, D, Edit, G, Mutation, R, W

SEEDED_FLEETS: Final = (
    Mutation(
        'a back end that names a limit gets a share of it from each entry',
        'tests/test_limit_shares.py::test_requests_over_a_limit_go_to_other_back_ends',
        (
            Edit(
                C + 'availability.py',
                'if self.limit is None or self.limit.can_send(now, entries):',
                'if True:',
            ),
        ),
    ),
    Mutation(
        'what many entries could save together is not saved',
        'tests/test_limit_shares.py::test_the_sends_of_all_entries_keep_to_the_limit',
        (Edit(C + 'limit_share.py', 'return entries * each <= tolerated', 'return True'),),
    ),
    Mutation(
        'an answer to what was sent before a limit was named does not end it',
        'tests/test_limit_shares.py::test_only_an_answer_to_a_later_request_ends_a_limit',
        (Edit(C + 'availability.py', 'if sent_at <= self.limit_named_at:', 'if False:'),),
    ),
    Mutation(
        'nothing is sent to a back end that closed while a connection came up',
        'tests/test_forwarding.py::'
        'test_nothing_is_sent_to_a_back_end_that_names_a_limit_while_connecting',
        (Edit(D + 'proxy/request_sender.py', 'if closure is not None:', 'if False:'),),
    ),
    Mutation(
        'a back end that said that it leaves is sent to no more',
        'tests/test_closed_back_ends.py::'
        'test_neither_heartbeats_nor_answers_reopen_a_leaving_back_end',
        (Edit(C + 'availability.py', 'if self.leaving or self.reported_leaving:', 'if False:'),),
    ),
    Mutation(
        'what an incarnation said outlives its lease',
        'tests/test_closed_back_ends.py::test_a_rest_applies_to_one_incarnation_only',
        (
            Edit(
                C + 'availability.py',
                'self.kept[key] = (now, availability)',
                'pass',
            ),
        ),
    ),
    Mutation(
        'a rest is not shortened by an answer that was under way',
        'tests/test_closed_back_ends.py::test_answers_sent_earlier_do_not_shorten_a_rest',
        (
            Edit(
                C + 'availability.py',
                'self.until = max(self.until, now + min(rest_s, MAX_REST_S))',
                'self.until = now + min(rest_s, MAX_REST_S)',
            ),
        ),
    ),
    Mutation(
        'one request asks whether a rest is over',
        'tests/test_closed_back_ends.py::test_one_request_probes_whether_a_rest_is_over',
        (Edit(C + 'availability.py', 'self.probed_at + PROBE_TIMEOUT_S - now, 0.0', '0.0'),),
    ),
    Mutation(
        'a back end that turns requests away is left to others for a while',
        'tests/test_turned_away_at_once.py::'
        'test_a_back_end_that_turns_all_requests_away_gets_no_more_than_its_share',
        (
            Edit(
                D + 'proxy/backpressure.py',
                'server.note_turned_away(sent_at, now)',
                'pass',
            ),
        ),
    ),
    Mutation(
        'what waits at an endpoint does not reach a back end that rests',
        'tests/test_door.py::test_what_waits_at_the_door_does_not_reach_a_back_end_that_rests',
        (
            Edit(
                D + 'endpoint/resting.py',
                'self.rest.extend(asked.seconds, now)',
                'pass',
            ),
        ),
    ),
    Mutation(
        'a slow engine gets nothing that its version would outlive',
        'tests/test_servers.py::'
        'test_a_slow_engine_gets_no_request_that_would_begin_after_its_version_ends',
        (Edit(C + 'placement.py', 'requirements.ends_at(version) - margin_s', "float('inf')"),),
    ),
    Mutation(
        'first tries are told from returns where callers begin with different times',
        'tests/test_first_tries.py::test_with_different_deadlines_a_short_one_is_undecided',
        (Edit(C + 'first_tries.py', 'if deadline_ms >= shortest - margin_ms:', 'if False:'),),
    ),
    Mutation(
        'a version counts from when its entry came into the log',
        'tests/test_ends_after_an_election.py::'
        'test_a_leader_elected_later_counts_from_the_arrival_of_the_entry',
        (
            Edit(
                D + 'versions.py',
                'return now if arrived is None else arrived',
                'return now',
            ),
        ),
    ),
    Mutation(
        'a late heartbeat of an unknown back end ends no lease',
        'tests/test_delayed_heartbeats.py::'
        'test_a_delayed_heartbeat_of_an_unknown_back_end_ends_no_lease',
        (
            Edit(
                'packages/millfork-registry/millfork_registry/registry.py',
                'if other is not None and held is None and self._may_be_delayed(lease, other):',
                'if False:',
            ),
        ),
    ),
    Mutation(
        'an engine without its daemon is sent to for less long before a version ends',
        'tests/test_engines_without_daemon_reports.py::'
        'test_no_request_sent_over_a_slow_link_begins_after_the_end',
        (
            Edit(
                C + 'placement.py',
                'VERSION_END_MARGIN_WITHOUT_DAEMON_S if has_no_daemon',
                'VERSION_END_MARGIN_S if unguarded',
            ),
        ),
    ),
    Mutation(
        'a replica that is cut off does not say that it knows all leases',
        'tests/test_registry_completeness.py::'
        'test_a_replica_that_is_cut_off_does_not_claim_completeness',
        (Edit(D + 'replica/replica_links.py', 'if known > len(members) // 2:', 'if True:'),),
    ),
    Mutation(
        'a back end that is silent is looked at again',
        'tests/test_ends_of_silent_back_ends.py::test_a_silent_back_end_that_refuses_connections_later_has_ended',
        (
            Edit(
                D + 'end_watch.py',
                'while self.interruptions:',
                'for _ in range(PROBES_BEFORE_RETURN):',
            ),
        ),
    ),
    Mutation(
        'no refusal promises not run after an attempt that may have run',
        'tests/test_not_run_refusals.py::'
        'test_no_refusal_promises_not_run_after_an_attempt_that_may_have_run',
        (
            Edit(
                D + 'proxy/forwarding.py',
                'if job.may_have_run:\n            return Refusal(reason, Verdict.MAY',
                'if False:\n            return Refusal(reason, Verdict.MAY',
            ),
        ),
    ),
    Mutation(
        'engines are drawn by some entry where entries are few',
        'tests/test_choice_in_large_fleets.py::test_every_engine_is_used_by_some_entry',
        (
            Edit(
                C + 'fleet_index.py',
                'share = ENTRIES_PER_ENGINE * len(found) // max(self.entries(), 1)',
                'share = 0',
            ),
        ),
    ),
    Mutation(
        'a connection on which questions stay unanswered is closed',
        'tests/test_load_queries.py::test_a_silent_connection_is_closed_and_dialled_again',
        (Edit(D + 'proxy/peer_queries.py', 'await self._close_if_silent(connection)', 'pass'),),
    ),
    Mutation(
        'nobody is turned away for the few engines compared',
        'tests/test_drawn_deployments.py::'
        'test_nobody_is_turned_away_while_half_of_the_slots_are_free',
        (
            Edit(
                C + 'server_table.py',
                'if taken >= MAX_OCCUPIED_SHARE * sum(',
                'if taken >= 0 * sum(',
            ),
        ),
    ),
    Mutation(
        'the daemons beside engines are asked for loads',
        'tests/test_load_queries.py::'
        'test_the_engine_that_is_free_now_is_chosen_despite_old_reports',
        (Edit(D + 'proxy/load_queries.py', 'server.set_load(load, now)', 'pass'),),
    ),
    Mutation(
        'two requests do not show that callers begin alike',
        'tests/test_first_tries.py::'
        'test_first_tries_with_different_deadlines_are_not_taken_for_retries',
        (
            Edit(
                C + 'first_tries.py',
                'max(MIN_COMMON_DEADLINES, COMMON_DEADLINE_SHARE * len(self.latest))',
                'COMMON_DEADLINE_SHARE * len(self.latest)',
            ),
        ),
    ),
    Mutation(
        'what was turned away is remembered by an entry of the zone',
        'tests/test_turned_away_directory.py::test_a_retry_is_recognised_at_any_entry_of_its_zone',
        (Edit(D + 'proxy/turned_away_directory.py', 'return reply.elapsed_ms', 'return 0'),),
    ),
    Mutation(
        'a replica is up to date once it holds what was committed',
        'tests/test_replica_age.py::test_a_replica_that_lacks_committed_entries_is_not_up_to_date',
        (
            Edit(
                'packages/millfork-state/millfork_state/replica.py',
                'if self.applied >= request.commit:',
                'if True:',
            ),
        ),
    ),
    Mutation(
        'connections that rest make room for new ones',
        'tests/test_accepting_at_limits.py::test_a_server_at_its_limits_goes_on_accepting',
        (
            Edit(
                'packages/millfork-web/millfork_web/server.py',
                'await self._make_room()',
                'await curio.sleep(0)',
            ),
        ),
    ),
    Mutation(
        'the origin is drawn once for all zones',
        'tests/test_caches.py::test_each_piece_is_fetched_from_the_origin_once_for_all_zones',
        (
            Edit(
                D + 'proxy/cache.py',
                'if not draw and await self._fetch_from_cache(held, index):',
                'if False:',
            ),
        ),
    ),
    Mutation(
        'a piece is left to a drawer that is at it',
        'tests/test_caches.py::test_a_piece_that_the_assigned_cache_fetches_is_not_fetched_twice',
        (
            Edit(
                D + 'proxy/cache.py',
                'self.not_yet_answers[key] < MAX_NOT_YET_ANSWERS',
                'not self.not_yet_answers[key]',
            ),
        ),
    ),
    Mutation(
        'a drawer whose origin sends other pieces first is waited for',
        'tests/test_caches.py::test_an_assigned_cache_is_waited_for_while_its_origin_sends_other_pieces',
        (
            Edit(
                D + 'proxy/cache.py',
                'reply.reason not in (ORIGIN_FAILS, OTHERS_FIRST)',
                'reply.reason != ORIGIN_FAILS',
            ),
        ),
    ),
    Mutation(
        'a silent drawer is passed over',
        'tests/test_caches.py::test_a_silent_assigned_cache_is_skipped_for_a_while',
        (Edit(D + 'sidecar/silent_peers.py', 'if until > self.monotonic():', 'if False:'),),
    ),
    Mutation(
        'a connection that is silent beside others is left',
        'tests/test_forwarding.py::test_a_silent_connection_to_a_working_back_end_is_given_up',
        (
            Edit(
                D + 'proxy/response_monitor.py',
                'if server.answered_since(job.urgency, attempt.started_at + OVERTAKEN_S):',
                'if False:',
            ),
        ),
    ),
    Mutation(
        'a late heartbeat does not bring back a back end that was replaced',
        'tests/test_registry.py::'
        'test_a_new_back_end_ends_the_lease_of_its_predecessor_at_the_address',
        (
            Edit(
                'packages/millfork-registry/millfork_registry/registry.py',
                'return held.state is LeaseState.EXPIRED',
                'return False',
            ),
        ),
    ),
    Mutation(
        'late requests leave slots to those who can be in time',
        'tests/test_routing_model.py::test_under_lasting_load_slots_go_to_requests_that_can_be_in_time',
        (
            Edit(
                C + 'admission.py',
                'LATE_MAX_OCCUPIED_SHARE: Final = 0.75',
                'LATE_MAX_OCCUPIED_SHARE: Final = 10.0',
            ),
        ),
    ),
    Mutation(
        'entries that see the same loads choose differently',
        'tests/test_routing_model.py::test_many_entries_do_not_choose_the_same_engine',
        (
            Edit(
                C + 'placement.py',
                'choose_cheapest(\n'
                '        sample_engines(eligible, context.zone, random), random=random\n'
                '    ) or',
                'None or',
            ),
        ),
    ),
    Mutation(
        'who is cut off hears by way of another follower',
        'tests/test_feed_relay.py::'
        'test_a_follower_that_is_cut_off_gets_configuration_and_load_from_its_zone',
        (
            Edit(
                'packages/millfork-registry/millfork_registry/feed_relay.py',
                'if not self._feed_is_lost():',
                'if True:',
            ),
        ),
    ),
    Mutation(
        'an ended version is taken from its engine',
        'tests/test_rollouts.py::'
        'test_a_version_that_ends_before_the_next_arrives_is_removed_from_the_engine',
        (
            Edit(
                D + 'sidecar/expiry.py',
                'if self._is_due(target, held):',
                'if False:',
            ),
        ),
    ),
    Mutation(
        'an ended version is taken where nothing of the next one is here',
        'tests/test_rollouts.py::test_an_ended_version_is_removed_without_any_piece_of_the_next',
        (
            Edit(
                D + 'sidecar/expiry.py',
                'return await self._order_layer_of_served_version(target)',
                'return None',
            ),
        ),
    ),
    Mutation(
        'an engine is left a single layer once',
        'tests/test_rollouts.py::test_an_engine_is_reduced_to_a_single_layer_once',
        (
            Edit(
                D + 'sidecar/expiry.py',
                'if end - serves.first <= 1:',
                'if False:',
            ),
        ),
    ),
    Mutation(
        'a daemon looks first whose pieces lie at its engine',
        'tests/test_rollouts.py::'
        'test_a_started_daemon_checks_staged_pieces_before_it_empties_the_engine',
        (
            Edit(
                D + 'sidecar/expiry.py',
                'if not self.rollout.staged_checked ',
                'if False:',
            ),
        ),
    ),
    Mutation(
        'an emptied engine has nothing to end',
        'tests/test_rollouts.py::test_an_ended_version_is_removed_without_any_piece_of_the_next',
        (
            Edit(
                D + 'sidecar/rollout.py',
                'self.serves_another(target) and not self.is_emptied(target)',
                'self.serves_another(target)',
            ),
        ),
    ),
    Mutation(
        'nothing is sent to a version that ends while a connection comes up',
        'tests/test_forwarding.py::test_nothing_is_sent_to_a_version_that_ends_while_connecting',
        (
            Edit(
                D + 'proxy/request_sender.py',
                'if version is None or version < least:',
                'if version is None:',
            ),
        ),
    ),
    Mutation(
        'nothing is sent to an engine that has no whole version by then',
        'tests/test_forwarding.py::test_nothing_is_sent_to_an_engine_without_a_complete_version',
        (
            Edit(
                D + 'proxy/request_sender.py',
                'if version is None or version < least:',
                'if version is not None and version < least:',
            ),
        ),
    ),
    Mutation(
        'a repeat that was not sent is paid for once',
        'tests/test_forwarding.py::test_a_repeat_that_was_not_sent_spends_the_budget_once',
        (
            Edit(
                D + 'proxy/forwarding.py',
                'budget_spent = not failed.sent',
                'budget_spent = False',
            ),
        ),
    ),
    Mutation(
        'engines change in turns',
        'tests/test_rollouts.py::test_an_engine_changes_after_the_engines_of_earlier_turns',
        (
            Edit(
                D + 'sidecar/rollout.py',
                'if self._changed_count(target) * TURNS >= turn',
                'if self._changed_count(target) * TURNS >= 0 * turn',
            ),
        ),
    ),
    Mutation(
        'a version that does not come is not waited for',
        'tests/test_versions.py::'
        'test_an_intermediate_version_is_the_target_if_the_newest_does_not_arrive',
        (Edit(D + 'sidecar/target.py', 'if self._is_stuck(newest, now):', 'if False:'),),
    ),
    Mutation(
        'the end of a version counts from the question',
        'tests/test_version_cutoffs.py::test_a_late_answer_never_gives_too_late_a_cutoff',
        (
            Edit(
                G + 'version_cutoffs.py',
                'cutoff = asked_at + switch.left_ms / MS_PER_S',
                'cutoff = asked_at + 0.5 + switch.left_ms / MS_PER_S',
            ),
        ),
    ),
    Mutation(
        'what has ended does not come back',
        'tests/test_version_cutoffs.py::test_a_passed_cutoff_is_not_moved',
        (
            Edit(
                G + 'version_cutoffs.py',
                '(known <= asked_at or cutoff <= known)',
                'cutoff <= known',
            ),
        ),
    ),
    Mutation(
        'every version told of has its own end',
        'tests/test_version_cutoffs.py::test_the_cutoff_of_a_superseded_version_is_kept',
        (
            Edit(
                D + 'versions.py',
                'sorted({*learned, *self.told.known_versions(model)})',
                'sorted(learned)',
            ),
        ),
    ),
    Mutation(
        'only who led or was told tells of a version',
        'tests/test_version_cutoffs.py::test_only_a_leader_or_a_process_with_an_answer_reports_a_switch',
        (
            Edit(
                D + 'versions.py',
                'if not self.leads() and self.told.cutoff_of(model, version) is None:',
                'if False:',
            ),
        ),
    ),
    Mutation(
        'who is cut off is told the ends by way of another follower',
        'tests/test_feed_relay.py::test_a_follower_that_is_cut_off_gets_version_cutoffs',
        (
            Edit(
                G + 'feed_relay.py',
                'await self.feed_client.record_switches(asked_at, reply.switches)',
                'pass',
            ),
        ),
    ),
    Mutation(
        'a process has no fixed allowance of repeats in its first window',
        'tests/test_shared_budget.py',
        (
            Edit(
                R + 'shared_budget.py',
                'return since is not None and self.monotonic() - since >= self.window_s',
                'return since is not None',
            ),
        ),
    ),
    Mutation(
        'the fixed allowance is divided by the most entries known lately',
        'tests/test_shared_budget.py',
        (
            Edit(
                R + 'shared_budget.py',
                'return self.most_entries.note(entries, now)',
                'return entries',
            ),
        ),
    ),
    Mutation(
        'entries have none of the allowance before a majority of the replicas was heard',
        'tests/test_repeat_budget_in_cuts.py',
        (
            Edit(
                R + 'shared_budget.py',
                'if not self.has_quorum():',
                'if False:',
            ),
        ),
    ),
    Mutation(
        'a replica tells of the most entries that it knew of lately',
        'tests/test_repeat_budget_in_cuts.py',
        (
            Edit(
                G + 'followers.py',
                'self.most_entries.note(self.entries, self.env.monotonic())',
                'self.entries',
            ),
        ),
    ),
    Mutation(
        'an owner that hears its lease ended tells it again',
        'tests/test_leases_of_lost_owners.py',
        (
            Edit(
                G + 'registry.py',
                'self.leases.put(held.instance, held)',
                'pass',
            ),
        ),
    ),
    Mutation(
        'a new engine does not take over the report of the one before it',
        'tests/test_reports_of_earlier_incarnations.py::'
        'test_a_new_engine_does_not_inherit_the_reported_versions_of_its_predecessor',
        (
            Edit(
                C + 'server_table.py',
                'new_server.report_sequence = previous.report_sequence',
                'pass',
            ),
        ),
    ),
    Mutation(
        'the leader goes by the end of versions that its deployment gives',
        'tests/test_promises.py::test_older_weights_end_when_the_deployment_says_at_every_role',
        (
            Edit(
                'deploy/settings/replica.yaml',
                'version_ms: {{bounds.version_ms}}',
                'version_ms: 8000',
            ),
        ),
    ),
    Mutation(
        'a bound that is no whole number stops no daemon',
        'tests/test_promises.py',
        (
            Edit(
                'packages/millfork-settings/millfork_settings/seeded.py',
                'used[name] = _usable(values[name], info)',
                'used[name] = int(values[name])',
            ),
        ),
    ),
    Mutation(
        'records of a back end are ordered by incarnation first',
        'tests/test_incarnations.py',
        (
            Edit(
                G + 'records.py',
                '            self.incarnation,\n            self.state is LeaseState.GONE,',
                '            self.state is LeaseState.GONE,',
            ),
        ),
    ),
    Mutation(
        'an entry begins anew with each incarnation',
        'tests/test_incarnations.py',
        (
            Edit(
                C + 'server_table.py',
                'if lease is not None and lease.incarnation == server.incarnation:',
                'if lease is not None:',
            ),
        ),
    ),
    Mutation(
        'a report of another incarnation says nothing of the one known',
        'tests/test_incarnations.py',
        (
            Edit(
                C + 'server.py',
                'return incarnation != self.incarnation',
                'return False',
            ),
        ),
    ),
    Mutation(
        'a daemon forgets what it did to an earlier incarnation',
        'tests/test_incarnations.py',
        (
            Edit(
                D + 'sidecar/expiry.py',
                'emptied = self.emptied_for == (self.rollout.incarnation, target.weights.version)',
                'emptied = self.emptied_for[1] == target.weights.version',
            ),
        ),
    ),
    Mutation(
        'a later process ends the one before it at its address',
        'tests/test_incarnations.py',
        (
            Edit(
                G + 'registry.py',
                '        return lease.incarnation > other.incarnation',
                '        return held is None',
            ),
        ),
    ),
    Mutation(
        'a moved back end leaves its old address',
        'tests/test_incarnations.py',
        (
            Edit(
                G + 'registry.py',
                '                self._release_address(held)',
                '                pass',
            ),
        ),
    ),
    Mutation(
        'numbers from outside are believed within limits',
        'tests/test_platform_foreign_messages.py',
        (
            Edit(
                'platform/millfork_platform/numbers.py',
                'NonNegativeInt = Annotated[int, Meta(ge=0, le=MAX_EXACT_INT)]',
                'NonNegativeInt = int',
            ),
        ),
    ),
    Mutation(
        'a heartbeat of a service that is not declared is refused',
        'tests/test_platform_foreign_messages.py',
        (
            Edit(
                D + 'replica/control.py',
                'if self.services is not None and service not in self.services:',
                'if False:',
            ),
        ),
    ),
    Mutation(
        'the digests are drawn once for all caches',
        'tests/test_caches.py::test_digests_are_fetched_from_the_origin_once_for_all_caches',
        (
            Edit(
                D + 'proxy/cache.py',
                'if draw or not await self._fetch_from_cache(held, DIGESTS_INDEX):',
                'if True:',
            ),
        ),
    ),
    Mutation(
        'a daemon leaves the digests to its caches',
        'tests/test_gathering.py',
        (
            Edit(
                D + 'sidecar/gathering.py',
                'if caches and self.failed_digest_requests < MAX_FAILED_DIGEST_REQUESTS:',
                'if False:',
            ),
        ),
    ),
    Mutation(
        'of many engines a few are drawn, not all looked at',
        'tests/test_choice_in_large_fleets.py',
        (
            Edit(
                C + 'server_table.py',
                'if len(self.index.by_service.get(requirements.service, [])) <= MAX_SCANNED:',
                'if True:',
            ),
        ),
    ),
    Mutation(
        'paths are found anew where an engine changed',
        'tests/test_choice_in_large_fleets.py',
        (
            Edit(
                C + 'server_table.py',
                'if (changing, state.served) != (server.changing, server.served):',
                'if False:',
            ),
        ),
    ),
    Mutation(
        'how far a version has come wakes nobody',
        'tests/test_registry.py',
        (
            Edit(
                G + 'records.py',
                'held = {(item.model, item.version) for item in self.held}',
                'held = self.held',
            ),
        ),
    ),
    Mutation(
        'a request that ends back ends is sent no more',
        'tests/test_quarantine.py::'
        'test_a_request_is_blocked_after_its_third_end_and_by_the_list_alone',
        (
            Edit(
                'packages/millfork-scheduling/millfork_scheduling/quarantine.py',
                'if is_at_fault(suspicion):',
                'if False:',
            ),
        ),
    ),
    Mutation(
        'an end counts only where the address takes no connections',
        'tests/test_quarantine.py::test_a_broken_off_answer_counts_only_if_the_back_end_has_ended',
        (Edit(D + 'end_watch.py', 'return ProbeResult.ANSWERS\n', 'return ProbeResult.REFUSES\n'),),
    ),
    Mutation(
        'a request stays under suspicion until the fate of its back end is known',
        'tests/test_late_closing_back_ends.py',
        (
            Edit(
                'packages/millfork-scheduling/millfork_scheduling/quarantine.py',
                'if len(suspicion.broken) >= MIN_ENDS_AT_FAULT',
                'if False',
            ),
        ),
    ),
    Mutation(
        'an end counts also after its caller left',
        'tests/test_ends_after_their_callers_left.py',
        (
            Edit(
                D + 'proxy/end_detection.py',
                'if last is None or now - last.at > CALLER_LEFT_MEMORY_S:',
                'if True:',
            ),
        ),
    ),
    Mutation(
        'a back end that answers later is known to live on',
        'tests/test_incarnation_status.py',
        (
            Edit(
                'packages/millfork-scheduling/millfork_scheduling/incarnation_status.py',
                'if any(sent_at > since for sent_at in server.answered.values()):',
                'if False:',
            ),
        ),
    ),
    Mutation(
        'an answer that came whole clears a request',
        'tests/test_quarantine.py::test_a_complete_answer_removes_a_request_from_the_list',
        (Edit(D + 'quarantine.py', 'if not suspicion.is_clear:', 'if False:'),),
    ),
    Mutation(
        'a request in quarantine is written down',
        'tests/test_crashing_requests.py::test_the_quarantine_outlives_all_processes_at_once',
        (Edit(D + 'replica/quarantine.py', 'if self.is_leader():', 'if False:'),),
    ),
    Mutation(
        'a stripe of which nothing comes gets another root',
        'tests/test_transfer_without_root.py::'
        'test_a_stripe_that_nobody_draws_comes_within_half_a_minute',
        (Edit(W + 'transfer.py', 'if not self._is_rootless(index):', 'if True:'),),
    ),
    Mutation(
        'time counts while a machine is suspended',
        'tests/test_machine_suspension.py',
        (
            Edit(
                'packages/millfork-core/millfork_core/clocks.py',
                'time.CLOCK_BOOTTIME',
                'time.CLOCK_MONOTONIC',
            ),
        ),
    ),
)
