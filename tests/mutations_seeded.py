"""
Mutations of seeded fleets (in a seeded fleet, processes start from a few replica addresses).

"""

from typing import Final

from tests.mutation import C, D, Edit, G, Mutation, R, S, W

SEEDED_FLEETS: Final = (
    Mutation(
        'an entry with an old document refuses unknown routes as not run',
        'tests/test_outdated_documents.py::test_a_lack_is_final_only_by_a_recent_document',
        (
            Edit(
                D + 'proxy/admission.py', 'if self.document_age.is_recent(received_at):', 'if True:'
            ),
        ),
    ),
    Mutation(
        'an entry asks a replica before it refuses a request as outdated',
        'tests/test_outdated_documents.py::test_a_replica_is_asked_before_a_request_is_refused_as_outdated',
        (
            Edit(
                D + 'proxy/admission.py',
                'await self.document_age.confirm(received_at)',
                'pass',
            ),
        ),
    ),
    Mutation(
        'refused requests together ask few questions',
        'tests/test_outdated_documents.py::test_many_refused_requests_ask_few_questions',
        (
            Edit(
                D + 'proxy/document_age.py',
                ' or self.env.monotonic() < self.next_question_at:',
                ':',
            ),
        ),
    ),
    Mutation(
        'caches keep a copy of the weights before engines ask for it',
        'tests/test_copies_ahead.py::test_engines_that_are_added_find_a_copy_in_their_zone',
        (Edit(D + 'proxy/cache.py', 'if self._missing_own(weights):', 'if False:'),),
    ),
    Mutation(
        'second attempts keep to their share of the requests',
        'tests/test_slow_answers.py::test_second_attempts_cut_the_slowest_answers_within_the_limit',
        (
            Edit(
                C + 'slow_answers.py',
                'if recent.saved < 1:',
                'if False:',
            ),
        ),
    ),
    Mutation(
        'second attempts take no place that a first attempt needs',
        'tests/test_slow_answers.py::test_a_second_attempt_takes_no_place_that_a_first_one_needs',
        (
            Edit(
                C + 'slow_answers.py',
                'if site.avoided or site.occupied >= site.slots * MAX_OCCUPIED_SHARE:',
                'if site.avoided:',
            ),
        ),
    ),
    Mutation(
        'callers that read nothing are cut off',
        'tests/test_slow_readers.py::test_a_peer_that_reads_too_slowly_is_cut_off[read_nothing]',
        (
            Edit(
                'packages/millfork-web/millfork_web/unsent.py',
                'if waited_s >= self.stall_s:',
                'if False:',
            ),
        ),
    ),
    Mutation(
        'comments alone are no answer',
        'tests/test_endless_answers.py::'
        'test_another_back_end_is_asked_instead_of_a_stream_without_events[slow-comments]',
        (
            Edit(
                'packages/millfork-web/millfork_web/event_stream.py',
                'if not (end and self.parser.has_event):',
                'if not end:',
            ),
        ),
    ),
    Mutation(
        'back ends whose data completes nothing are avoided',
        'tests/test_hedged_requests.py::test_a_back_end_whose_data_completes_nothing_is_avoided',
        (
            Edit(
                D + 'proxy/response_monitor.py',
                'if now - began_at <= SILENT_SERVER_S:',
                'if True:',
            ),
        ),
    ),
    Mutation(
        'no requests are sent to the back ends of an evacuated zone',
        'tests/test_evacuations.py::test_no_choice_is_in_an_evacuated_zone',
        (Edit(C + 'server_table.py', 'if server.zone in self.evacuated_zones:', 'if False:'),),
    ),
    Mutation(
        'requests keep to the regions of their route and organisation',
        'tests/test_regions.py::'
        'test_no_back_end_of_another_region_is_chosen_when_the_own_zone_has_one',
        (
            Edit(
                C + 'server_table.py',
                'return self.regions_by_zone.get(server.zone) in requirements.regions',
                'return True',
            ),
        ),
    ),
    Mutation(
        'all entries together keep to what a cold back end bears',
        'tests/test_cold_back_ends.py::test_a_rush_of_all_entries_keeps_to_the_bound',
        (
            Edit(
                C + 'cold_share.py',
                'return int(self.draw < allowed_probability(self.bounds.max_requests, entries))',
                'return 1',
            ),
        ),
    ),
    Mutation(
        'the number of entries outlives a loss of power of all replicas',
        'tests/test_entry_count.py::test_the_number_of_entries_outlives_a_loss_of_power',
        (
            Edit(
                D + 'replica/entry_count.py',
                'self.followers.peak_entries.add(self.stored, self.started_at)',
                'pass',
            ),
        ),
    ),
    Mutation(
        'each entry uses only its share of a limit that a back end announces',
        'tests/test_limit_shares.py::test_requests_over_a_limit_go_to_other_back_ends',
        (
            Edit(
                C + 'availability.py',
                'if self.limit is not None and not self.limit.can_send(now, entries):',
                'if False:',
            ),
        ),
    ),
    Mutation(
        'entries do not save up permissions that would together exceed a limit',
        'tests/test_limit_shares.py::test_the_sends_of_all_entries_keep_to_the_limit',
        (Edit(C + 'limit_share.py', 'return entries * max_per_entry <= tolerated', 'return True'),),
    ),
    Mutation(
        'answers to requests sent before a limit was announced do not end the limit',
        'tests/test_limit_shares.py::test_only_an_answer_to_a_later_request_ends_a_limit',
        (Edit(C + 'availability.py', 'if sent_at <= self.limit_announced_at:', 'if False:'),),
    ),
    Mutation(
        'no request is sent to a back end that became unavailable while connecting to it',
        'tests/test_forwarding.py::'
        'test_nothing_is_sent_to_a_back_end_that_names_a_limit_while_connecting',
        (Edit(D + 'proxy/request_sender.py', 'if closure is not None:', 'if False:'),),
    ),
    Mutation(
        'no requests are sent to a back end that announced that it is leaving',
        'tests/test_closed_back_ends.py::'
        'test_neither_heartbeats_nor_answers_reopen_a_leaving_back_end',
        (Edit(C + 'availability.py', 'if self.leaving or self.reported_leaving:', 'if False:'),),
    ),
    Mutation(
        'the availability of an incarnation is kept after its lease ends',
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
        'the answer to an earlier request does not shorten the rest period of a back end',
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
        'only one request at a time probes whether a rest period is over',
        'tests/test_closed_back_ends.py::test_one_request_probes_whether_a_rest_is_over',
        (Edit(C + 'availability.py', 'self.probed_at + PROBE_TIMEOUT_S - now, 0.0', '0.0'),),
    ),
    Mutation(
        'a back end that turns requests away gets fewer requests for a while',
        'tests/test_turned_away_at_once.py::'
        'test_a_back_end_that_turns_all_requests_away_gets_no_more_than_its_share',
        (
            Edit(
                D + 'proxy/backpressure.py',
                'server.record_turned_away(sent_at, now)',
                'pass',
            ),
        ),
    ),
    Mutation(
        'requests that wait at an endpoint are not sent to a back end in its rest period',
        'tests/test_backend_gateway.py::test_queued_requests_are_not_sent_to_a_resting_back_end',
        (
            Edit(
                D + 'endpoint/rest_tracking.py',
                'self.rest_period.extend(requested.seconds, now)',
                'pass',
            ),
        ),
    ),
    Mutation(
        'a slow engine gets no request that would begin after its version ends',
        'tests/test_servers.py::'
        'test_a_slow_engine_gets_no_request_that_would_begin_after_its_version_ends',
        (
            Edit(
                C + 'placement.py', 'requirements.cancelled_at(version) - margin_s', "float('inf')"
            ),
        ),
    ),
    Mutation(
        'with different deadlines, a short deadline alone does not mark a request as a retry',
        'tests/test_first_tries.py::test_with_different_deadlines_a_short_one_is_undecided',
        (Edit(C + 'first_tries.py', 'if deadline_ms >= shortest_ms - margin_ms:', 'if False:'),),
    ),
    Mutation(
        'the lifetime of a version counts from the arrival of its log entry',
        'tests/test_ends_after_an_election.py::'
        'test_a_leader_elected_later_counts_from_the_arrival_of_the_entry',
        (
            Edit(
                D + 'versions.py',
                'arrived_at = self.arrived_at(key, version)',
                'arrived_at = now',
            ),
        ),
    ),
    Mutation(
        'a log entry committed before it arrived counts from before its commit',
        'tests/test_ends_after_an_election.py::'
        'test_an_entry_that_was_committed_before_it_arrived_counts_from_before_its_commit',
        (
            Edit(
                S + 'replica.py',
                'self.caught_up_at if entry.index <= committed else None',
                'None',
            ),
        ),
    ),
    Mutation(
        'a leader reports no cutoff of a version about which nothing tells when it was set',
        'tests/test_ends_after_an_election.py::'
        'test_a_leader_that_restarted_tells_no_cutoff_while_followers_may_know_a_later_one',
        (
            Edit(
                D + 'versions.py',
                'if cutoff == LONG_AGO and now < self.found_at[(model, version)] + self.switch_s:',
                'if False:',
            ),
        ),
    ),
    Mutation(
        'without an answer about a cutoff, a follower counts from when it was last up to date',
        'tests/test_version_cutoffs.py::'
        'test_without_a_cutoff_a_follower_counts_from_the_last_answer_before_the_version',
        (
            Edit(
                D + 'versions.py',
                'up_to_date_at = self.up_to_date_at(*self.position)',
                'up_to_date_at = now',
            ),
        ),
    ),
    Mutation(
        'the age of a replica counts in the time at which the configuration had a revision',
        'tests/test_revision_times.py::test_no_change_is_taken_to_be_later_than_it_was',
        (
            Edit(
                G + 'revision_times.py',
                'at = asked_at - answer.age_ms / MS_PER_S',
                'at = asked_at',
            ),
        ),
    ),
    Mutation(
        'a delayed heartbeat of an unknown back end does not end the lease of another one',
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
        'without daemon reports, requests to an engine stop earlier before its version ends',
        'tests/test_engines_without_daemon_reports.py::'
        'test_no_request_sent_over_a_slow_link_begins_after_the_end',
        (
            Edit(
                C + 'placement.py',
                'VERSION_END_MARGIN_WITHOUT_DAEMON_S if has_no_daemon',
                'VERSION_END_MARGIN_S if has_no_daemon',
            ),
        ),
    ),
    Mutation(
        'a replica that is cut off does not claim to know all leases',
        'tests/test_registry_completeness.py::'
        'test_a_replica_that_is_cut_off_does_not_claim_completeness',
        (Edit(D + 'replica/replica_links.py', 'if known > len(members) // 2:', 'if True:'),),
    ),
    Mutation(
        'a silent back end is probed until it is known to have ended',
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
        'no refusal says that a request was not run after an attempt that may have run',
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
        'with few entries, each engine is still in the share of some entry',
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
        'a peer connection without answers to queries is closed',
        'tests/test_load_queries.py::test_a_silent_connection_is_closed_and_dialled_again',
        (Edit(D + 'proxy/peer_queries.py', 'await self._close_if_silent(connection)', 'pass'),),
    ),
    Mutation(
        'no request is turned away only because the few compared engines are occupied',
        'tests/test_drawn_deployments.py::'
        'test_no_caller_is_turned_away_while_half_of_the_slots_are_free',
        (
            Edit(
                C + 'server_table.py',
                'if occupied >= MAX_OCCUPIED_SHARE * sum(',
                'if occupied >= 0 * sum(',
            ),
        ),
    ),
    Mutation(
        'entries use the current loads that they query from sidecar daemons',
        'tests/test_load_queries.py::'
        'test_the_engine_that_is_free_now_is_chosen_despite_old_reports',
        (Edit(D + 'proxy/load_queries.py', 'server.set_load(load, now)', 'pass'),),
    ),
    Mutation(
        'a common deadline must occur in several requests before it marks first tries',
        'tests/test_first_tries.py::'
        'test_first_tries_with_different_deadlines_are_not_mistaken_for_retries',
        (
            Edit(
                C + 'first_tries.py',
                'max(MIN_COMMON_DEADLINES, COMMON_DEADLINE_SHARE * len(self.latest_ms))',
                'COMMON_DEADLINE_SHARE * len(self.latest_ms)',
            ),
        ),
    ),
    Mutation(
        'an entry of the zone stores the requests that were turned away',
        'tests/test_turned_away_directory.py::test_a_retry_is_recognised_at_any_entry_of_its_zone',
        (Edit(D + 'proxy/turned_away_directory.py', 'return reply.elapsed_ms', 'return 0'),),
    ),
    Mutation(
        'a replica counts as up to date only once it has applied all committed log entries',
        'tests/test_replica_age.py::test_a_replica_that_lacks_committed_entries_is_not_up_to_date',
        (
            Edit(
                'packages/millfork-state/millfork_state/replica.py',
                'if self.applied >= index:',
                'if True:',
            ),
        ),
    ),
    Mutation(
        'a server at its connection limit closes idle connections for new ones',
        'tests/test_accepting_at_limits.py::test_a_server_at_its_limits_goes_on_accepting',
        (
            Edit(
                'packages/millfork-web/millfork_web/server.py',
                'await self._free_descriptors()',
                'await curio.sleep(0)',
            ),
        ),
    ),
    Mutation(
        'a cache fetches a piece from the assigned cache before it uses the origin',
        'tests/test_caches.py::test_each_piece_is_fetched_from_the_origin_once_for_all_zones',
        (
            Edit(
                D + 'proxy/cache.py',
                'if not from_origin and await self._fetch_from_cache(held, index):',
                'if False:',
            ),
        ),
    ),
    Mutation(
        'a cache waits while the assigned cache is fetching the piece',
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
        'a cache waits for an assigned cache whose origin sends other pieces first',
        'tests/test_caches.py::test_an_assigned_cache_is_waited_for_while_its_origin_sends_other_pieces',
        (
            Edit(
                D + 'proxy/cache.py',
                'reply.reason not in (ORIGIN_FAILS, ORIGIN_BUSY)',
                'reply.reason != ORIGIN_FAILS',
            ),
        ),
    ),
    Mutation(
        'an assigned cache that does not answer is skipped for a while',
        'tests/test_caches.py::test_a_silent_assigned_cache_is_skipped_for_a_while',
        (Edit(D + 'sidecar/silent_peers.py', 'if until > self.monotonic():', 'if False:'),),
    ),
    Mutation(
        'a silent connection is noticed if the back end answers on other connections',
        'tests/test_forwarding.py::test_a_silent_connection_to_a_working_back_end_is_noticed',
        (
            Edit(
                D + 'proxy/response_monitor.py',
                'if attempt.server.answered_since('
                'job.urgency, attempt.started_at + REORDER_THRESHOLD_S):',
                'if False:',
            ),
        ),
    ),
    Mutation(
        'a request whose back end is silent is sent to a second one',
        'tests/test_silent_back_ends.py::test_another_back_end_goes_on_for_one_that_stays_silent',
        (
            Edit(
                D + 'proxy/attempt_runner.py',
                'if not job.race.may_hedge or not self._may_send_again(job):',
                'if True:',
            ),
        ),
    ),
    Mutation(
        'the attempt at a silent back end goes on beside the second one',
        'tests/test_silent_back_ends.py::test_a_pause_costs_no_answer_if_the_other_back_end_fails',
        (
            Edit(
                D + 'proxy/attempt_runner.py',
                'job.race.hedges.append(await self.env.spawn(self.run, job, hedge))',
                'job.race.hedges.append(await self.env.spawn(self.run, job, hedge))\n'
                '        await job.race.claim(hedge)',
            ),
        ),
    ),
    Mutation(
        'a delayed heartbeat does not renew the lease of a replaced back end',
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
        'late requests leave some slots to requests that can be in time',
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
        'entries with the same load information choose among randomly sampled engines',
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
        'a follower that is cut off gets the feed from another follower',
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
        'a version that ended is removed from its engine',
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
        'a version that ended is removed even without any piece of the next one',
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
        'an engine is reduced to a single layer only once',
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
        'a started daemon checks which pieces are staged before it empties its engine',
        'tests/test_rollouts.py::'
        'test_a_started_daemon_checks_staged_pieces_before_it_empties_the_engine',
        (
            Edit(
                D + 'sidecar/expiry.py',
                'if not self.rollout.staged_checked'
                ' or self.rollout.staged_weights == target.weights:',
                'if False:',
            ),
        ),
    ),
    Mutation(
        'an engine that was emptied does not count as serving another version',
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
        'layers are loaded only from pieces that were read back intact',
        'tests/test_stale_pieces.py::test_a_write_that_stored_nothing_is_noticed_before_the_order',
        (
            Edit(
                D + 'sidecar/staging.py',
                'if await self.is_intact(held, index):',
                'if True:',
            ),
        ),
    ),
    Mutation(
        'an order names only layers that were proven a short time before',
        'tests/test_stale_pieces.py::'
        'test_no_layer_is_loaded_from_a_piece_that_turned_bad_after_it_was_read_back',
        (
            Edit(
                D + 'sidecar/loading.py',
                'if proofs and self.env.monotonic() - began_at > PROVING_S:',
                'if False:',
            ),
        ),
    ),
    Mutation(
        'layers that were loaded late are not used before their pieces were checked',
        'tests/test_stale_pieces.py::'
        'test_layers_that_were_loaded_late_from_bad_pieces_are_loaded_again',
        (
            Edit(
                D + 'sidecar/loaded_layers.py',
                'if reported_at - self._latest_proof(layer) <= PROOF_VALID_S:',
                'if True:',
            ),
        ),
    ),
    Mutation(
        'layers of a pending order whose pieces were overwritten are not used',
        'tests/test_stale_pieces.py::'
        'test_an_order_that_is_taken_after_newer_pieces_were_staged_is_noticed',
        (
            Edit(
                D + 'sidecar/loaded_layers.py',
                'if layer in self.rewritten:',
                'if False:',
            ),
        ),
    ),
    Mutation(
        'an engine is reduced to a layer with which no path begins or ends',
        'tests/test_stale_pieces.py::'
        'test_an_emptied_engine_keeps_no_layer_that_begins_or_ends_a_path',
        (
            Edit(
                D + 'sidecar/expiry.py',
                'inner = range(max(serves.first, 1), min(end, target.layers - 1))',
                'inner = range(serves.first, end)',
            ),
        ),
    ),
    Mutation(
        'layers that an earlier process ordered are not used before they are proven',
        'tests/test_stale_pieces_after_daemon_restarts.py::'
        'test_layers_of_an_ended_daemon_are_not_used_if_their_pieces_were_bad',
        (
            Edit(
                D + 'sidecar/loaded_layers.py',
                'is_first_load = orders == 0',
                'is_first_load = True',
            ),
        ),
    ),
    Mutation(
        'layers that an earlier process announced as changing are not taken as proven',
        'tests/test_stale_pieces_after_daemon_restarts.py::'
        'test_layers_that_were_not_announced_as_usable_are_not_used_if_a_piece_is_bad',
        (
            Edit(
                D + 'sidecar/layer_checks.py',
                'if announced is None or announced.changing_to or not announced.reachable:',
                'if announced is None:',
            ),
        ),
    ),
    Mutation(
        'no piece is read back while the announcement of an earlier process may still arrive',
        'tests/test_stale_pieces_after_daemon_restarts.py::'
        'test_a_state_that_arrives_with_the_target_is_known_before_pieces_are_read_back',
        (
            Edit(
                D + 'sidecar/layer_checks.py',
                'if self.awaits_announced():',
                'if False:',
            ),
        ),
    ),
    Mutation(
        'pieces of the engine are read before any is fetched again after a restart of the daemon',
        'tests/test_stale_pieces_after_daemon_restarts.py::test_only_bad_pieces_are_fetched_again',
        (
            Edit(
                D + 'sidecar/layer_checks.py',
                'if self.state.loaded.numbers(target.weights, LayerState.SUSPECT):',
                'if False:',
            ),
        ),
    ),
    Mutation(
        'no request is sent to a version that ends while connecting',
        'tests/test_forwarding.py::test_nothing_is_sent_to_a_version_that_ends_while_connecting',
        (
            Edit(
                D + 'proxy/request_sender.py',
                'if version is None or version < oldest:',
                'if version is None:',
            ),
        ),
    ),
    Mutation(
        'no request is sent to an engine that has no complete version after connecting',
        'tests/test_forwarding.py::test_nothing_is_sent_to_an_engine_without_a_complete_version',
        (
            Edit(
                D + 'proxy/request_sender.py',
                'if version is None or version < oldest:',
                'if version is not None and version < oldest:',
            ),
        ),
    ),
    Mutation(
        'a retry that could not be sent spends the retry budget only once',
        'tests/test_forwarding.py::test_a_repeat_that_was_not_sent_spends_the_budget_once',
        (
            Edit(
                D + 'proxy/attempt_runner.py',
                'job.retry_paid = job.retry_paid or not failed.sent',
                'job.retry_paid = False',
            ),
        ),
    ),
    Mutation(
        'a request is withdrawn from a changing engine only if another one can be asked',
        'tests/test_requests_at_changing_engines.py::'
        'test_a_request_that_can_go_nowhere_else_is_not_withdrawn',
        (
            Edit(
                D + 'proxy/response_monitor.py',
                'if server.changes_version and self.reserve_attempt(job):',
                'if server.changes_version:',
            ),
        ),
    ),
    Mutation(
        'a daemon waits for the answers of an engine that pauses',
        'tests/test_pauses_of_engines.py::test_calls_that_a_pausing_engine_answers_late_succeed',
        (
            Edit(
                D + 'sidecar/engine.py',
                'CALL_TIMEOUT_S: Final = 2.5',
                'CALL_TIMEOUT_S: Final = 1.0',
            ),
        ),
    ),
    Mutation(
        'an announced change lapses if the reports of the daemon end',
        'tests/test_engines_whose_daemon_ended_in_a_change.py::'
        'test_the_engine_is_used_again_with_what_its_lease_says',
        (
            Edit(
                'packages/millfork-scheduling/millfork_scheduling/server_table.py',
                '            server.changes_version = False\n',
                '',
            ),
        ),
    ),
    Mutation(
        'a pause of the engine does not shorten its drain',
        'tests/test_pauses_of_engines.py::'
        'test_a_pause_in_the_drain_interrupts_no_request_before_the_version_ends',
        (
            Edit(
                D + 'sidecar/rollout.py',
                '                until = min(until + silent_s, latest)\n',
                '',
            ),
        ),
    ),
    Mutation(
        'a single report without requests does not end a drain',
        'tests/test_pauses_of_engines.py::'
        'test_requests_that_arrived_in_a_pause_before_the_drain_finish',
        (
            Edit(
                D + 'sidecar/rollout.py',
                'EMPTY_REPORTS: Final = 2',
                'EMPTY_REPORTS: Final = 1',
            ),
        ),
    ),
    Mutation(
        'a silent engine is not taken for an empty one',
        'tests/test_pauses_of_engines.py::test_a_silent_engine_is_not_taken_for_an_empty_one',
        (
            Edit(
                D + 'sidecar/rollout.py',
                'if not await self._wait_for_turn(target) or self.report is None:',
                'if not await self._wait_for_turn(target):',
            ),
        ),
    ),
    Mutation(
        'engines change their version in turns',
        'tests/test_rollouts.py::test_an_engine_changes_after_the_engines_of_earlier_turns',
        (
            Edit(
                D + 'sidecar/rollout.py',
                'if self._changed_count(target) * ROLLOUT_TURNS >= turn',
                'if self._changed_count(target) * ROLLOUT_TURNS >= 0 * turn',
            ),
        ),
    ),
    Mutation(
        'an intermediate version becomes the target if the newest one does not arrive',
        'tests/test_versions.py::'
        'test_an_intermediate_version_is_the_target_if_the_newest_does_not_arrive',
        (Edit(D + 'sidecar/target.py', 'if self._is_stuck(newest, now):', 'if False:'),),
    ),
    Mutation(
        'the remaining time of a version counts from when the query was sent',
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
        'the cutoff of a version is not moved once it has passed',
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
        'a superseded version keeps its own cutoff',
        'tests/test_version_cutoffs.py::test_the_cutoff_of_a_superseded_version_is_kept',
        (
            Edit(
                D + 'versions.py',
                'sorted({*learned, *self.cutoffs.known_versions(model)})',
                'sorted(learned)',
            ),
        ),
    ),
    Mutation(
        'only leaders and processes with a received cutoff report a version switch',
        'tests/test_version_cutoffs.py::test_only_a_leader_or_a_process_with_an_answer_reports_a_switch',
        (
            Edit(
                D + 'versions.py',
                'if not self.leads() and self.cutoffs.cutoff_of(model, version) is None:',
                'if False:',
            ),
        ),
    ),
    Mutation(
        'a follower that is cut off gets version cutoffs from another follower',
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
        'a process has no fixed retry allowance in its first window',
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
        'the fixed retry allowance is divided by the highest recent number of entries',
        'tests/test_shared_budget.py',
        (
            Edit(
                R + 'shared_budget.py',
                'return self.peak_entries.add(entries, now)',
                'return entries',
            ),
        ),
    ),
    Mutation(
        'entries have no fixed retry allowance without contact to a majority of the replicas',
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
        'replicas report the highest recent number of entries',
        'tests/test_repeat_budget_in_cuts.py',
        (
            Edit(
                G + 'followers.py',
                'self.peak_entries.add(self.entries, self.env.monotonic())',
                'self.entries',
            ),
        ),
    ),
    Mutation(
        'the owner of a lease announces the lease again if it is reported as expired',
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
        'a new engine does not inherit the reported versions of its predecessor',
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
        'the leader uses the version lifetime that its deployment sets',
        'tests/test_promises.py::test_every_role_stops_using_older_weights_at_the_promised_time',
        (
            Edit(
                'deploy/settings/replica.yaml',
                'version_ms: {{bounds.version_ms}}',
                'version_ms: 8000',
            ),
        ),
    ),
    Mutation(
        'a daemon starts even if a bound in its settings is not an integer',
        'tests/test_promises.py',
        (
            Edit(
                'packages/millfork-settings/millfork_settings/seeded.py',
                'usable[name] = _usable_value(given[name], info)',
                'usable[name] = int(given[name])',
            ),
        ),
    ),
    Mutation(
        'records of a back end are ordered by incarnation before state',
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
        'an entry keeps no state of a back end across incarnations',
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
        'reports of another incarnation are not applied to the known one',
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
        'a daemon does not consider an engine emptied if an earlier incarnation was emptied',
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
        'a later process ends the lease of an earlier one at the same address',
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
        'a back end that moves releases its old address',
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
        'numbers in messages from outside are limited in size',
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
        'heartbeats of undeclared services are refused',
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
        'a cache fetches digests from another cache before it uses the origin',
        'tests/test_caches.py::test_digests_are_fetched_from_the_origin_once_for_all_caches',
        (
            Edit(
                D + 'proxy/cache.py',
                'if from_origin or not await self._fetch_from_cache(held, DIGESTS_INDEX):',
                'if True:',
            ),
        ),
    ),
    Mutation(
        'a daemon requests digests from caches, not from the origin',
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
        'of many engines, only a sample is compared',
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
        'paths are computed again after the weights that an engine serves changed',
        'tests/test_choice_in_large_fleets.py',
        (
            Edit(
                C + 'server_table.py',
                'if (changes_version, state.served) != (server.changes_version, server.served):',
                'if False:',
            ),
        ),
    ),
    Mutation(
        'the progress of a transfer is not announced to followers at once',
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
        'a request that ended several back ends is not sent again',
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
        'prompts with a part that ended several back ends are not sent',
        'tests/test_crashing_parts.py::test_a_part_that_ends_back_ends_is_sent_no_more',
        (
            Edit(
                D + 'proxy/part_quarantine.py',
                'if self.listing.includes(suspicion)\n'
                '            or is_at_fault_among(suspicion, self.suspicion_store)',
                'if False',
            ),
        ),
    ),
    Mutation(
        'a request that is sent again and again blames no part',
        'tests/test_part_suspicions.py::'
        'test_a_request_that_is_sent_again_and_again_is_a_single_witness',
        (
            Edit(
                'packages/millfork-scheduling/millfork_scheduling/quarantine.py',
                'if requests < MIN_WITNESSES:',
                'if False:',
            ),
        ),
    ),
    Mutation(
        'a part that was answered a moment before needs more ends',
        'tests/test_part_suspicions.py::test_an_answer_seen_by_one_entry_counts_for_all',
        (
            Edit(
                'packages/millfork-registry/millfork_registry/answered_parts.py',
                'return answered_at is not None and',
                'return False and',
            ),
        ),
    ),
    Mutation(
        'an answered part that does not stand out is not blamed',
        'tests/test_part_suspicions.py::test_an_answered_part_is_blamed_only_if_it_stands_out',
        (
            Edit(
                'packages/millfork-scheduling/millfork_scheduling/quarantine.py',
                'and rivals.by_ends <= MAX_RIVALS',
                'and True',
            ),
        ),
    ),
    Mutation(
        'prompts with a quarantined part are refused beside planned work',
        'tests/test_soak.py::test_a_part_that_crashes_back_ends_costs_no_other_promise',
        (
            Edit(
                D + 'proxy/part_quarantine.py',
                'if not self.suspicion_store.table and not self.listing.epochs:',
                'if True:',
            ),
        ),
    ),
    Mutation(
        'an answered part is blamed for fast ends if most back ends ended with it',
        'tests/test_part_blame.py::test_a_part_that_was_sound_a_moment_before_is_sent_no_more',
        (
            Edit(
                'packages/millfork-scheduling/millfork_scheduling/quarantine.py',
                'and rivals.by_back_ends == 0',
                'and False',
            ),
        ),
    ),
    Mutation(
        'an end that a part at fault explains counts against no other part',
        'tests/test_part_suspicions.py::'
        'test_an_end_that_a_blamed_part_explains_counts_against_no_other_part',
        (
            Edit(
                D + 'proxy/end_detection.py',
                'if any(is_at_fault_among(store.get(part), store) for part in parts):',
                'if False:',
            ),
        ),
    ),
    Mutation(
        'a complete answer clears the parts of its prompt',
        'tests/test_crashing_parts.py::test_a_part_that_was_blamed_by_chance_is_served_again',
        (
            Edit(
                D + 'proxy/request_sender.py',
                'if attempt.has_written_answer:',
                'if False:',
            ),
        ),
    ),
    Mutation(
        'a part in quarantine is tried again',
        'tests/test_crashing_parts.py::test_a_part_that_was_blamed_by_chance_is_served_again',
        (Edit(D + 'proxy/part_trials.py', 'if now < self.claim_again_at:', 'if True:'),),
    ),
    Mutation(
        'a back end counts as crashed only if its address refuses connections',
        'tests/test_quarantine.py::test_a_broken_off_answer_counts_only_if_the_back_end_has_ended',
        (Edit(D + 'end_watch.py', 'return ProbeResult.ANSWERS\n', 'return ProbeResult.REFUSES\n'),),
    ),
    Mutation(
        'a request stays suspected until it is known whether the back ends that ran it ended',
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
        'the crash of a back end counts against its request even after the caller left',
        'tests/test_ends_after_their_callers_left.py',
        (
            Edit(
                D + 'proxy/end_detection.py',
                'if not recent:',
                'if True:',
            ),
        ),
    ),
    Mutation(
        'a back end that answers a later request counts as alive',
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
        'a complete answer removes the suspicion of a request',
        'tests/test_quarantine.py::test_a_complete_answer_removes_a_request_from_the_list',
        (Edit(G + 'suspicion_store.py', 'if not known.is_clear:', 'if False:'),),
    ),
    Mutation(
        'a stream that ends inside an event has been broken off',
        'tests/test_broken_off_streams.py::test_a_stream_that_ends_inside_an_event_is_resumed',
        (Edit(D + 'proxy/response_relay.py', 'if splitter.is_inside_event:', 'if False:'),),
    ),
    Mutation(
        'the back end of an answer that ends with its connection is watched',
        'tests/test_crashing_requests.py::test_a_stream_that_ends_back_ends_is_sent_no_more',
        (
            Edit(
                D + 'proxy/attempt_runner.py',
                'await self.end_detector.record_closed(server, attempt.before, parts)',
                'pass',
            ),
        ),
    ),
    Mutation(
        'a connection that the entry interrupted ends no answer',
        'tests/test_proxy_connections.py::'
        'test_an_interruption_is_not_the_end_of_an_answer_without_length',
        (Edit(D + 'proxy/connections.py', 'if not data and self.interrupted:', 'if False:'),),
    ),
    Mutation(
        'a stream to an HTTP/1.0 caller is reset if its entry ends',
        'tests/test_resumed_streams.py::test_the_end_of_an_entry_does_not_end_a_stream',
        (
            Edit(
                'packages/millfork-web/millfork_web/exchange.py',
                "return bool(self.conn.their_http_version == b'1.0')",
                'return False',
            ),
        ),
    ),
    Mutation(
        'quarantined requests are stored in the replicated state',
        'tests/test_crashing_requests.py::test_the_quarantine_outlives_all_processes_at_once',
        (Edit(D + 'replica/quarantine.py', 'if self.is_leader():', 'if False:'),),
    ),
    Mutation(
        'an entry that starts serves nothing until it is up to date',
        'tests/test_crashing_requests.py::'
        'test_the_quarantine_outlives_all_processes_at_once[of-power]',
        (
            Edit(
                D + 'proxy/daemon.py',
                'if table is None and not self.feed_client.was_current:',
                'if False:',
            ),
        ),
    ),
    Mutation(
        'a stripe without arriving chunks gets another root',
        'tests/test_transfer_without_root.py::'
        'test_a_stripe_without_a_root_arrives_within_half_a_minute',
        (Edit(W + 'transfer.py', 'if not self._must_become_root(index):', 'if True:'),),
    ),
    Mutation(
        'the clock continues while the machine is suspended',
        'tests/test_machine_suspension.py',
        (
            Edit(
                'packages/millfork-core/millfork_core/clocks.py',
                'time.CLOCK_BOOTTIME',
                'time.CLOCK_MONOTONIC',
            ),
        ),
    ),
    Mutation(
        'a success without a signature is no answer',
        'tests/test_invalid_answers.py::test_an_invalid_answer_to_an_unsafe_request_promises_nothing'
        '_and_repeats_nothing',
        (Edit(D + 'proxy/answer_validation.py', 'and not head.has_signature', 'and False'),),
    ),
    Mutation(
        'a replica leaves the voters before it stops',
        'tests/test_replaced_replicas.py::test_replacements_in_series_leave_no_lost_voter',
        (
            Edit(D + 'replica/daemon.py', 'await self.replica.leave(LEAVE_TIMEOUT_S)', 'False'),
            Edit(
                S + 'leadership.py',
                'or self._without(self._silent_instances())',
                '',
            ),
        ),
    ),
    Mutation(
        'heartbeats go on while a replica is sent log entries',
        'tests/test_replication.py::test_a_leader_stays_while_a_voter_gets_its_log_slowly',
        (Edit(S + 'replication.py', 'if progress.sending_bytes:', 'if False:'),),
    ),
    Mutation(
        'a heartbeat is answered while log entries are written',
        'tests/test_replication.py::test_a_heartbeat_is_answered_while_log_entries_are_written',
        (Edit(S + 'replica.py', 'if self._is_heartbeat_of_leader(request):', 'if False:'),),
    ),
    Mutation(
        'the bytes of a log are bounded by the size of the state',
        'tests/test_replication.py::'
        'test_a_log_of_many_times_the_size_of_the_state_is_replaced_by_a_snapshot',
        (Edit(S + 'replica.py', 'and storage.size >= max_bytes', 'and False'),),
    ),
    Mutation(
        'a replica that is silent is not added to the voters',
        'tests/test_replication.py::'
        'test_a_replica_that_had_caught_up_and_is_silent_does_not_become_a_voter',
        (Edit(S + 'leadership.py', 'or progress.acked_at <= silent_since', ''),),
    ),
    Mutation(
        'no more of a transfer is on its way than the window allows',
        'tests/test_transfers.py::test_no_more_of_a_transfer_is_on_its_way_than_the_window_allows',
        (
            Edit(
                'packages/millfork-wire/millfork_wire/outbox.py',
                'if self.unacknowledged_bytes >= BULK_WINDOW_BYTES:',
                'if False:',
            ),
        ),
    ),
    Mutation(
        'a feed queues no document behind one that is on its way',
        'tests/test_feeds_over_slow_links.py::'
        'test_documents_are_not_queued_behind_one_that_a_slow_link_takes[replica_feed]',
        (Edit(G + 'followers.py', 'if follower.connection.has_bulk:', 'if False:'),),
    ),
    Mutation(
        'a killed voter is removed after an election timeout',
        'tests/test_replaced_replicas.py::'
        'test_a_replica_that_was_killed_after_its_replacement_is_soon_no_voter',
        (Edit(S + 'leadership.py', '- self.replica.election_s', '- 4.0'),),
    ),
    Mutation(
        'parsing a body leaves turns to other tasks',
        'tests/test_turns.py::test_a_body_in_small_chunks_leaves_turns_to_other_requests',
        (Edit('packages/millfork-web/millfork_web/turns.py', 'await curio.sleep(0)', 'pass'),),
    ),
    Mutation(
        'an empty list of organisations makes no key valid',
        'tests/test_seeded_fleet.py::test_no_key_is_taken_once_the_last_organisation_is_gone',
        (Edit(R + 'routes.py', 'organisations is not None', 'organisations'),),
    ),
    Mutation(
        'a wrong digest is corrected by another list',
        'tests/test_wrong_digests.py::test_a_version_becomes_whole_after_a_corrupt_list_of_digests',
        (
            Edit(
                D + 'sidecar/digest_checks.py',
                'return known.arrivals >= (ORIGIN_ARRIVALS if source is PieceSource.ORIGIN else 1)',
                'return False',
            ),
        ),
    ),
    Mutation(
        'digests in the replicated state are used',
        'tests/test_recorded_digests.py::'
        'test_engines_are_used_again_after_two_restarts_of_all_processes_without_the_origin',
        (
            Edit(
                D + 'sidecar/recorded_digests.py',
                'return digests if all(digests) else ()',
                'return ()',
            ),
        ),
    ),
    Mutation(
        'a prompt with some of the parts of a trial is tried soon after it',
        'tests/test_part_suspicions.py::'
        'test_a_trial_of_a_crashing_prompt_leaves_one_to_the_sound_parts_in_it',
        (
            Edit(
                D + 'proxy/part_trials.py',
                'if any(parts < tried for tried in made.tried):',
                'if 0:',
            ),
        ),
    ),
    Mutation(
        'an answer takes a part out of quarantine without a suspicion in memory',
        'tests/test_part_suspicions.py::'
        'test_an_answer_after_a_restart_of_all_processes_takes_a_part_out_of_quarantine',
        (
            Edit(
                G + 'suspicion_store.py',
                'if listed_epoch is not None and known.epoch <= listed_epoch:',
                'if False:',
            ),
        ),
    ),
    Mutation(
        'an acknowledged leave notice outlives a restart of all processes',
        'tests/test_leave_notices_after_restarts.py::'
        'test_a_back_end_that_left_gets_no_requests_after_a_restart_of_all_processes',
        (
            Edit(
                D + 'replica/control.py',
                'await self.departures.record(lease.instance, lease.incarnation)',
                'pass',
            ),
        ),
    ),
    Mutation(
        'addresses of replicas that are gone cost a follower no time',
        'tests/test_replicas_that_are_gone.py::'
        'test_a_follower_finds_a_fresh_replica_among_addresses_that_are_gone',
        (Edit(G + 'replica_survey.py', 'HEAD_START_S: Final = 0.15', 'HEAD_START_S: Final = 5.0'),),
    ),
    Mutation(
        'requests in progress at the end of a planned stop are answered',
        'tests/test_stops.py::'
        'test_the_requests_at_the_end_of_a_planned_stop_of_a_seeded_entry_are_answered',
        (Edit(D + 'proxy/daemon.py', 'await self._end_requests()', 'pass'),),
    ),
)
