"""Mutation testing of the guarantees; see mutants.sh. Each mutant disables one mechanism."""

import os
import re
import shutil
import subprocess
import sys
import tempfile
import threading

DEFAULT_DIRECTORY = "src/coordination/"  # Directory of files that are given without a path.
WORKERS = 4
TESTS = ["ledger_test", "placement_test", "golden_test", "request_test", "attempt_test",
         "attempt_review_test", "quarantine_test", "limit_test", "links_test", "run_grant_test",
         "forwarded_grant_test", "backend_order_test", "caller_order_test", "memory_account_test",
         "formation_test", "conversion_test", "closed_group_test", "repair_duty_test", "initial_split_test", "foreign_entry_test", "odd_configuration_test", "overload_test", "relay_test", "http_client_test", "promises_test"]
# Tests that start the program, for mutants that no test above catches. They share ports.
PROCESS_TESTS = [["response_end_test.py"], ["repeated_refusal_test.py"],
                 ["resumed_stream_test.py"], ["half_closed_caller_test.py"],
                 ["endless_bytes_test.py"],
                 ["process_test.py", "CompletionTest"]]
PROGRAMS = ["bramleypitch", "bramleypitch-standin"]
process_test_lock = threading.Lock()
# Name, file, text to replace, replacement text.
MUTANTS = [
    ("ledger_claim_skipped", "service_system.cpp",
     "    if (!stored.once) {\n", "    if (true) {\n"),
    ("ledger_grant_before_write", "ledger_owner.cpp",
     "if (!batch.changed) {", "if (true) {\n        segment.head = batch.head;"),
    ("ledger_other_claim_granted", "ledger_func.cpp",
     "if (held->state == ClaimState::Claimed && held->claim == request.claim)",
     "if (held->state == ClaimState::Claimed)"),
    ("ledger_conflict_treated_as_written", "ledger_owner.cpp",
     "if (done.outcome == SwapOutcome::Conflict)\n            onHeadConflict",
     "if (false)\n            onHeadConflict"),
    ("once_call_retried_after_sending", "service_system.cpp",
     "if (failure.sent && !repeatable)", "if (false)"),
    ("unsent_always_reported_not_run", "service_system.cpp",
     "if (asked.idempotencyKey.empty() || asked.firstAttempt)", "if (true)"),
    ("sent_ignored_in_outcome", "completion_system.cpp",
     "completion.mayHaveRun = completion.mayHaveRun || failure.sent;", ""),
    ("gate_ignores_freshness", "group_func.cpp",
     "if (now - vm.confirmedAt >= limits.memberFreshness)\n        return false;", ""),
    ("gate_checks_first_member_only", "group_func.cpp",
     "for (const VmIndex member : group.vms) {",
     "for (const VmIndex member : {group.vms.front()}) {"),
    ("gate_ignores_generation", "group_func.cpp",
     "return vm.report->group == group.placed.id && vm.report->generation == group.placed.generation;",
     "return true;"),
    ("gate_ignores_zone", "group_func.cpp",
     "if (isZoneOut(envelope, vm->record.zone))", "if (false)"),
    ("gate_ignores_leaving", "group_func.cpp", "if (vm->record.leaving)", "if (false)"),
    ("released_vm_reused_at_once", "placement_func.cpp",
     "    for (const ReleasedVm &released : m_next.released)\n            vms.insert(released.vm);",
     ""),
    ("cold_group_open_to_all", "group_func.cpp", "if (!warm && !isHome(group, lease, now))",
     "if (false)"),
    ("cold_group_without_allowance", "group_func.cpp",
     "return remainingCapacity(running, group.limits.coldAllowance);",
     "return remainingCapacity(running, group.limits.concurrency);"),
    ("home_kept_after_lease_expiry", "group_func.cpp",
     "\n            && now < lease.validUntil", ""),
    ("older_configuration_accepted", "shared_base.cpp", "if (value.revision <= held.revision)",
     "if (value.revision == held.revision)"),
    ("stale_configuration_served", "node_state.cpp",
     "return !isOutdated && state.lastAnsweredHeartbeatAt >= evidenceExpiredAt "
     "&& state.members.majorityAlive(now);",
     "return true;"),
    ("queued_heartbeats_count_as_alive", "node_state.cpp",
     "return !isOutdated && state.lastAnsweredHeartbeatAt >= evidenceExpiredAt "
     "&& state.members.majorityAlive(now);",
     "return !isOutdated && state.members.majorityAlive(now);"),
    ("served_with_configuration_behind", "node_state.cpp",
     "return !isOutdated && state.lastAnsweredHeartbeatAt", "return state.lastAnsweredHeartbeatAt"),
    ("late_frames_accepted", "completion_system.cpp", "|| found->second.attempt != attempt", ""),
    ("repeated_frames_accepted", "completion_system.cpp",
     "if (token.index < completion->delivered) {", "if (false) {"),
    ("stop_without_waiting", "node.cpp", " || openRequests() > 0", ""),
    ("payment_sent_again", "request/request_system.cpp",
     "mayRetry = request->mayRepeatRun();", "mayRetry = true;"),
    ("unproven_refusal_is_passed_on", "request/request_system.cpp",
     "if (!request->mayRepeatRun() && statesNotRun(status)) {", "if (false) {"),
    ("response_without_id_is_accepted", "network/backend_connections.cpp",
     "const bool isFirstOfConnection = connection.carriedIds.size() == 1;",
     "const bool isFirstOfConnection = true;"),
    ("connection_carries_an_id_twice", "network/backend_connections.cpp",
     " && !connection->hasCarried(request.traceId)", ""),
    ("refusal_without_id_shows_not_run", "network/relay.cpp",
     "if (isRefusal && !open.attempt->head.find(m_dialect.traceHeader)) {", "if (false) {"),
    ("sent_payment_reported_not_run", "request/request_system.cpp",
     "request->grant.keep();\n        mayRetry", "mayRetry"),
    ("keys_accepted_without_proof", "request/request_system.cpp",
     "if (!isCurrent(now))\n        return ErrorCode::ConfigurationStale;", ""),
    ("denied_on_outdated_proof", "request/request_system.cpp",
     "const bool isRecentlyProven = now - m_proof.provenAt() <= m_options.maxDenialProofAge;",
     "const bool isRecentlyProven = true;"),
    ("dispatched_under_old_configuration", "request/request_system.cpp",
     "if (!request.responseStarted && !isStillPermitted(request, now)) {", "if (false) {"),
    ("drained_zone_is_served", "request/target_choice.cpp",
     "if (input.zonesOut->count(backend.report.zone))", "if (false)"),
    ("incomplete_group_serves", "request/backend_base.cpp",
     "present->second >= model->span", "present->second >= 1"),
    ("draining_member_counts", "request/backend_base.cpp",
     "if (working && !backend.report.draining)", "if (working)"),
    ("missing_server_is_served", "request/backend_base.cpp",
     "|| backend.listing == Listing::Overdue\n        || backend.listing == Listing::Missing", ""),
    ("nodes_choose_the_same_server", "request/target_choice.cpp",
     "candidate.cost += spread(input, candidate.draw);", ""),
    ("many_nodes_consider_all_servers", "request/target_choice.cpp",
     "if (input.nodes.count > maxFullScanNodes)\n        sampleCandidates(candidates);", ""),
    ("opened_server_gets_full_load_at_once", "request/target_choice.cpp",
     "if (running >= currentLimit(backend, input, now))",
     "if (running >= concurrencyLimit(backend, *input.configuration))"),
    ("stream_without_event_counts_as_paused", "request/request_system.cpp",
     "const Duration silenceTimeout = "
     "isBetweenEvents ? m_options.streamStallTimeout : m_options.firstEventTimeout;",
     "const Duration silenceTimeout = m_options.streamStallTimeout;"),
    ("engine_progress_is_ignored", "request/backend_base.cpp",
     "backend.lastProgress = std::max(backend.lastProgress, at);", ""),
    ("received_suspicions_are_forwarded", "request/backend_base.cpp",
     "if (backend.ownSuspectUntil > now)\n            found[backend.report.id] = "
     "backend.ownSuspectUntil - now;",
     "if (backend.suspectUntil > now) found[backend.report.id] = backend.suspectUntil - now;"),
    ("dissolving_group_serves", "request/backend_base.cpp",
     "&& dissolving->second.count({claim.name, claim.generation}) > 0)", "&& false)"),
    ("prompts_need_no_slots", "request/engine_model.cpp",
     "return 1 + prefillWeight * engine.slots", "return 1 + 0 * prefillWeight * engine.slots"),
    ("new_node_counts_as_settled", "request/membership_base.h",
     "return !m_leaving && now - m_options.startedAt >= m_options.nodeTimeout;", "return true;"),
    ("leaving_node_feeds_its_zone", "request/membership_base.cpp",
     "return !m_leaving && representativeOf", "return representativeOf"),
    ("digest_of_unregistered_node_accepted", "request/membership_base.cpp",
     "|| author == m_peers.end() || !author->second.record)\n        return false;",
     ")\n        return false;"),
    ("retries_unbounded", "request/retry_allowance.cpp",
     "return static_cast<double>(m_retryTimes.size()) + 1 <= allowed;", "return true;"),
    ("cold_server_used_by_all_nodes_at_once", "request/cold_start_limit.cpp",
     "if (since < Duration(0) || since % round >= turn)\n        return false;", ""),
    ("group_opens_before_all_are_ready", "formation/formation_system.cpp",
     "allReady = allReady && backend->report.group.state == MemberState::Ready;", ""),
    ("members_reused_before_they_left", "formation/formation_system.cpp",
     "if (!allLeft)\n            continue;", ""),
    ("unwritten_plan_is_planned_in_each_pass", "formation/formation_system.cpp",
     "if (now - domain.writeAt >= domain.writeRetryDelay)", "if (true)"),
    ("one_lost_answer_ends_duties", "network/store_write_monitor.cpp",
     "++m_failures >= minFailures", "++m_failures >= 1"),
    ("duties_move_back_at_once", "network/store_write_monitor.cpp",
     "now - *m_acceptedSince >= returnTime", "true"),
    ("refused_node_keeps_duties", "request/membership_base.cpp",
     "(isCut ? cut : isRefused ? refused : records)", "(isCut ? cut : records)"),
    ("closed_group_is_used", "request/backend_base.cpp",
     "    if (m_closed.isClosed(backend.report))\n        return false;\n", ""),
    ("closed_group_is_opened_by_older_reports", "request/closed_group_table.cpp",
     " && now - entry.at >= reportDelay", ""),
    ("group_is_closed_for_good", "request/closed_group_table.cpp",
     "now - item.second.at >= closedTime", "false"),
    ("caller_closes_groups", "request/request_system.cpp",
     "request.arrival.expectsVersion || ", ""),
    ("refusal_uses_up_servers", "request/request_system.cpp",
     "AttemptFailure::Withdrawn && !isClosed", "AttemptFailure::Withdrawn"),
    ("conversion_without_grant", "formation/formation_system.cpp",
     "        write.expectedConversion = m_conversionRevision;\n", ""),
    ("conversion_with_unread_plans", "formation/formation_system.cpp",
     "m_storeHeld >= m_conversionRevision", "true"),
    ("conversion_with_outdated_copy", "formation/formation_system.cpp",
     "now - m_storeProvenAt <= m_options.maxConversionViewAge", "true"),
    ("model_gives_its_last_open_group", "formation/group_choice.cpp",
     "demand.groups = std::min(demand.groups - groups, demand.openGroups);",
     "demand.groups -= groups;"),
    ("stuck_vms_keep_their_weights", "formation/weight_staging.cpp",
     "isFree && areFreeVmsStuck(input)", "false"),
    ("loads_unbounded", "formation/formation_system.cpp",
     "if (!before && (inProgress >= maxConcurrent || domain.loadTokens < 1))\n                return;",
     ""),
    ("missing_entry_drops_the_group", "formation/formation_system.cpp",
     "else if (backend->listing == Listing::Missing && !isStillServing(group))",
     "else if (backend->listing == Listing::Missing)"),
    ("missing_member_is_not_asked", "formation/formation_system.cpp",
     "|| (now >= head->suspectUntil && backend->listing == Listing::Listed))",
     "|| now >= head->suspectUntil)"),
    ("accepted_leave_is_ignored", "formation/formation_system.cpp",
     "return sent != m_orders.end() && sent->second.accepted", "return false"),
    ("group_waits_for_a_load", "formation/group_choice.cpp",
     "if (countWithWeights(free, model(i)) < model(i).span || !isWanted)",
     "if (free.size() < model(i).span || !isWanted)"),
    ("first_split_only_fills_domains", "formation/initial_split.cpp",
     "return firstGroupValue * model.coverage() + std::min(supplied, vms)",
     "return supplied + 0 * std::min(supplied, vms)"),
    ("first_split_of_one_domain_at_a_time", "formation/initial_split.cpp",
     "i < maxPerturbations(); ++i)", "i < 0; ++i)"),
    ("unserved_model_waits_for_free_vms", "formation/group_choice.cpp",
     "Conversion best = conversionForUnservedModel();", "Conversion best;"),
    ("unserved_model_takes_any_group", "formation/group_choice.cpp",
     "return demand.groups >= 1 && utilization(demand) < saturatedUtilization;", "return true;"),
    ("unserved_model_gets_no_weights", "formation/weight_staging.cpp",
     "if (unserved && input.unserved.holders", "if (false && input.unserved.holders"),
    ("surplus_groups_stay_before_traffic", "formation/group_choice.cpp",
     "changed = dissolveSurplus(i) || changed;", ""),
    ("refused_requests_are_no_demand", "request/request_system.cpp",
     "sum[model] = refusedSlots(refused, now);", "sum[model] = 0 * refusedSlots(refused, now);"),
    ("late_request_taken_in_a_stop", "request/request_system.cpp",
     "boundByStop(request);\n    if (outlastsStop(request, now)) {", "if (false) {"),
    ("unserved_request_is_repeated_in_a_stop", "request/request_system.cpp",
     "    if (outlastsStop(request, now)) {\n        refuse(request, ErrorCode::NoCapacity, minRetryAfter, \"stopping\", now, actions);\n        return;\n    }\n    const TargetKey", "    const TargetKey"),
    ("waiting_request_outlives_a_stop", "request/request_system.cpp",
     "refuseOutlasting(now, actions);\n    checkLinks", "{ }\n    checkLinks"),
    ("feed_does_not_show_the_store", "network/store_mirror.cpp",
     "if (!m_reachable && provenAt > m_failedAt)", "if (false)"),
    ("abandoned_claim_stored_as_unknown", "ledger_func.cpp", "return 'a';", "return 'u';"),
    ("pulse_of_earlier_run_accepted", "request/membership_base.cpp",
     "if (isOfEarlierRun", "if (false"),
    ("small_nodes_carry_duties", "request/membership_base.cpp",
     "std::erase_if(records, [most](const auto *record) { return 2 * record->cores < most; });", ""),
    ("late_requests_take_any_room", "request/request_system.cpp",
     "input.maxUtilization = lateUtilization;", "input.maxUtilization = 1;"),
    ("queue_accepts_what_it_makes_late", "request/request_system.cpp",
     "if (now + queueWait <= request.latestStart + tolerance)",
     "if (now + queueWait <= request.latestStart + 4 * maxLateness)"),
    ("late_requests_wait_until_their_deadline", "request/request_system.cpp",
     "&& now > request.latestStart + maxLateness;", "&& now > request.latestStart + 9 * maxLateness;"),
    ("spares_get_no_weights_before_traffic", "formation/formation_system.cpp",
     "(!before || isSplitPlanned)", "!before"),
    ("unsmoothed_demand_moves_groups", "formation/formation_system.cpp",
     "smoothed += weight *", "smoothed +="),
    ("weights_fetched_before_joining", "formation/formation_system.cpp",
     "state == MemberState::None && !before", "state == MemberState::None"),
    ("gap_in_a_feed_is_accepted", "network/store_mirror.cpp",
     "if (!m_complete || feed.from > m_appliedRevision)", "if (!m_complete)"),
    ("outdated_feed_change_is_applied", "network/store_mirror.cpp",
     "if (change.revision <= m_appliedRevision)\n            continue;\n        apply(change);\n"
     "        appendToLog(change);\n        changed",
     "apply(change);\n        appendToLog(change);\n        changed"),
    ("outdated_feed_proves_currentness", "network/store_mirror.cpp",
     "recordProof(std::min(feed.echo - feed.proofAge, now));", "recordProof(now);"),
    ("key_goes_to_the_server", "platform/platform_dialect.cpp", '"authorization",', '"x-none",'),
    ("stream_cut_inside_an_event_is_complete", "network/relay.cpp",
     "    if (attempt.framing.isInsideEvent())\n        return AttemptFailure::Broken;\n", ""),
    ("stream_without_events_is_complete", "network/relay.cpp",
     "end == BodyEnd::ConnectionClose ? std::optional(AttemptFailure::Broken)",
     "false ? std::optional(AttemptFailure::Broken)"),
    ("empty_run_ends_a_resumed_stream", "network/relay.cpp",
     "if (attempt.isResumed)\n        return AttemptFailure::Unusable;", ""),
    ("head_alone_is_a_whole_response", "network/relay.cpp",
     "if (mayLackBody(*open.attempt, end))", "if (false)"),
    ("odd_route_leaves_its_path_to_others", "platform/platform_configuration.cpp",
     "        routes.push_back(std::move(route));\n        throw;", "        throw;"),
    ("unreadable_version_proves_keys", "request/configuration_proof.h",
     "return std::min(m_provenAt, m_unreadableSince.value_or(m_provenAt));", "return m_provenAt;"),
    ("once_request_taken_in_a_stop", "request/request_system.cpp",
     "const bool isTaken = now < m_closedAt && request.mayRepeatRun();", "const bool isTaken = now < m_closedAt;"),
    ("waiting_request_is_sent_late_in_a_stop", "request/request_system.cpp",
     "if (outlastsStop(request, now)) {\n            refuse(", "if (false) {\n            refuse("),
    ("late_connection_is_used_in_a_stop", "request/request_system.cpp",
     " || outlastsStop(found->second, now)\n", "\n"),
    ("attempt_is_written_after_its_deadline", "request/request_system.cpp",
     "        || found->second.deadline - now < m_options.minTimeLeft)\n        return false;",
     "        )\n        return false;"),
    ("attempt_is_written_to_a_zone_out", "request/request_system.cpp",
     " && !m_zonesOut.count(backend->report.zone)\n        && m_backends.newestStart", "\n        && m_backends.newestStart"),
    ("stream_begins_again_when_resumed", "network/event_sequence.cpp",
     "if (number && m_last && *number <= *m_last)", "if (false)"),
    ("event_is_missing_where_a_stream_is_resumed", "network/event_sequence.cpp",
     "(!m_isConsecutive || *number - *m_last == 1)", "true"),
    ("message_of_a_server_is_an_event", "network/relay.cpp",
     "if (mark.kind == EventKind::Other\n            || (", "if (("),
    ("event_without_end_is_kept", "network/relay.cpp",
     "if (unfinished > ResponseLimits::eventBytes)", "if (false)"),
    ("any_coding_ends_a_response", "network/http_client.cpp",
     'return sameHeader(coding, "chunked");', "return coding != nullptr;"),
    ("broken_completion_is_framed_as_complete", "network/daemon.cpp",
     "m_server.breakStream(exchange, CompletionWriter::errorEvent(refuse));",
     "m_server.sendChunk(exchange, CompletionWriter::errorEvent(refuse));\n"
     "        m_server.endStream(exchange);"),
    ("feed_part_ends_inside_a_revision", "network/store_mirror.cpp",
     "if (!feed.changes.empty() && change->revision != feed.changes.back().revision)",
     "if (!feed.changes.empty())"),
    ("settings_file_read_once", "platform/platform_settings.cpp",
     "if (!isRepeated || !isUnsettled())", "if (!isUnsettled())"),
    ("leaving_announcement_ignored", "request/request_system.cpp",
     "if (notice.leaving && m_backends", "if (false && m_backends"),
    ("outdated_entry_ends_leaving", "request/backend_base.cpp",
     "report.startedAt <= mark->second.startedAt",
     "report.startedAt == mark->second.startedAt"),
    ("leaving_run_taken_from_outdated_entry", "request/request_system.cpp",
     "request.current.serverStartedAt = m_backends.newestStart(backend.report.id);",
     "request.current.serverStartedAt = backend.report.startedAt;"),
    ("written_without_second_check", "request/request_system.cpp",
     "return backend && !m_quarantine", "return backend;\n    return backend && !m_quarantine"),
    ("pause_ignored", "request/target_choice.cpp",
     "if (now < backend.pausedUntil) {", "if (false) {"),
    ("pause_ends_at_full_rate", "request/target_choice.cpp",
     "if (sincePause >= rampUpTime)", "if (sincePause >= Duration(0))"),
    ("pause_counts_as_a_fault", "request/request_system.cpp",
     "failure != AttemptFailure::Withdrawn && failure != AttemptFailure::Paused;",
     "failure != AttemptFailure::Withdrawn;"),
    ("callers_of_paused_servers_wait", "request/request_system.cpp",
     "if (choice.outcome == TargetChoice::Outcome::Paused)\n            refuseWaiting",
     "if (false)\n            refuseWaiting"),
    ("connection_writes_unasked", "network/backend_connections.cpp",
     "if (!connection.hooks.mayWrite || connection.hooks.mayWrite())", "if (true)"),
    ("interim_responses_unbounded", "network/backend_connections.cpp",
     "if (++connection.otherResponses > ResponseLimits::otherResponses) {", "if (false) {"),
    ("replies_unbounded", "network/http_client.cpp",
     "evhttp_connection_set_max_headers_size(call.connection, ResponseLimits::callHeadBytes);\n"
     "    evhttp_connection_set_max_body_size(call.connection,",
     "static_cast<void>(call.connection,"),
    ("started_response_needs_permission", "request/request_system.cpp",
     "if (!request.responseStarted && !isStillPermitted(request, now))",
     "if (!isStillPermitted(request, now))"),
    ("repeat_refused_as_not_run", "request/request_system.cpp",
     "    if (request.grant.mayHaveRun())\n        code = code ==", "    if (false)\n        code = code =="),
    ("written_attempt_counts_as_unsent", "request/request_system.cpp",
     "    if (request->grant.isHeldBy(attempt)\n", "    if (false\n"),
    ("second_run_is_granted", "request/run_grant.h",
     "if (isHeldBy(attempt) || (!mayRepeat && mayHaveRun()))", "if (false)"),
    ("opened_connection_times_out", "network/backend_connections.cpp",
     "now - connection->openedAt > connectTimeout && connection->socket->isConnecting();",
     "now - connection->openedAt > connectTimeout && !connection->socket->isConnected();"),
    ("disabled_connection_is_written", "network/stream_socket.cpp",
     "    bufferevent_setcb(m_bufferEvent, nullptr, nullptr, nullptr, nullptr);\n"
     "    bufferevent_disable(m_bufferEvent, EV_READ | EV_WRITE);\n"
     "    m_hooks = SocketHooks();\n", "    setReading(false);\n"),
    ("stalled_attempt_is_not_kept", "request/request_system.cpp",
     "    request.stalled.push_back(request.current);\n", ""),
    ("failed_replacement_ends_the_request", "request/request_system.cpp",
     "    if (!request->stalled.empty()) {\n        returnToStalled(*request, cause, now, actions);",
     "    if (false) {\n        returnToStalled(*request, cause, now, actions);"),
    ("both_attempts_may_answer", "request/request_system.cpp",
     "    actions.emplace_back(AbandonAttempt {id, ended.number});\n", ""),
    ("slow_caller_counts_as_silence", "request/request_system.cpp",
     "    if (request.readingPaused)\n        return false;\n", ""),
    ("live_server_blames_a_part", "request/quarantine_base.cpp",
     "return alive && *alive > brokenAt + livenessMargin;", "return false && alive;"),
    ("live_server_is_checked_once", "request/quarantine_base.cpp",
     "crash = dropContradicted(crash);", "++crash;"),
    ("late_sign_of_life_is_ignored", "request/quarantine_base.cpp",
     "\n                || !isCounted(crash, part, evidence) || isLive(run, evidence.at))",
     "\n                || !isCounted(crash, part, evidence))"),
    ("servers_that_end_together_all_count", "request/quarantine_case.cpp",
     "if (inGroup < maxRunsOfGroup)", "if (true)"),
    ("answer_does_not_clear_a_part", "request/quarantine_base.cpp",
     "return !crash.explains(part, evidence.request) && !isProtected(part, evidence.at);",
     "return !crash.explains(part, evidence.request);"),
    ("cleared_part_is_not_protected", "request/quarantine_base.cpp",
     "&& at < found->second.at + protection(found->second.answers);", "&& false;"),
    ("repeats_of_one_request_blame_a_part", "request/quarantine_base.cpp",
     "constexpr std::size_t decidingRequests = 2;", "constexpr std::size_t decidingRequests = 1;"),
    ("explained_crash_blames_other_parts", "request/quarantine_base.cpp",
     "crash.explain(part, evidence->second.request);", "continue;"),
    ("explained_crashes_are_not_told", "request/quarantine_news.cpp",
     "(crash.isExplained() && !isRecent)", "crash.isExplained()"),
    ("quarantine_of_a_peer_is_ignored", "request/quarantine_base.cpp",
     "for (const auto &[part, quarantine] : news.quarantined)\n        restore(part, quarantine, now);",
     ""),
    ("evidence_unbounded", "request/quarantine_base.cpp",
     "while (m_crashes.size() > QuarantineLimits::evidence || evidence > QuarantineLimits::evidence)",
     "while (false)"),
    ("repeated_quarantine_lasts_no_longer", "request/quarantine_base.cpp",
     "duration *= 2;", "duration *= 1;"),
    ("nodes_keep_a_quarantine_alive", "request/quarantine_base.cpp",
     "if (times <= known->second.times && since <= known->second.until)", "if (false)"),
    ("common_crashes_are_ignored", "request/quarantine_base.cpp",
     "const bool isSumHigh = sum >= doubtfulCaseSum;", "return true; const bool isSumHigh = false;"),
    ("equal_parts_are_blamed_at_once", "request/quarantine_base.cpp",
     "|| (blamed.size() > 1 && item.matureSum < doubtfulCaseSum)", ""),
    ("part_in_fewer_crashes_is_blamed", "request/quarantine_base.cpp",
     "[&](const Case &other) { return compareExplained(other, item) > 0; }",
     "[&](const Case &) { return false; }"),
    ("whole_requests_are_not_recognised", "request/request_system.cpp",
     "request.parts.push_back(whole);", ""),
    ("part_that_rode_along_is_blamed", "request/quarantine_base.cpp",
     "constexpr std::size_t leadOfPart = 2;", "constexpr std::size_t leadOfPart = 1;"),
    ("late_breaks_are_no_evidence", "request/request_system.cpp",
     "return isLateBreak(part) != attempt.isKnownSound;",
     "return isLateBreak(part) || attempt.isKnownSound;"),
    ("late_breaks_among_many_crashes_blame", "request/quarantine_base.cpp",
     "return !isLateBreak(item.part) || isBeyondChance(item, item.sum, now);", "return true;"),
    ("whole_request_is_not_tried", "request/quarantine_base.cpp",
     "if (!isDoubtful(item)) {", "{"),
    ("whole_request_is_tried_everywhere", "request/quarantine_base.cpp",
     "else if (m_hooks.mayTry && !m_hooks.mayTry(part))", "else if (false)"),
    ("trials_overlap", "request/quarantine_base.cpp",
     "suspect->second = now + trialInterval;", ""),
    ("silent_end_is_no_evidence", "request/request_system.cpp",
     "recordGivenUp(request, now);\n        abandonAttempts(request, actions);\n        refuse(request, ErrorCode::DeadlineUnreachable",
     "abandonAttempts(request, actions);\n        refuse(request, ErrorCode::DeadlineUnreachable"),
    ("whole_request_hides_its_part", "request/quarantine_base.cpp",
     "|| isWholeRequest(part) || request != explainedRequest", "|| true"),
    ("request_beside_a_harmful_one_is_blamed", "request/quarantine_base.cpp",
     "&& !wasInRequest(item, other)", "&& false"),
    ("quiet_server_blames_its_last_answer", "request/quarantine_base.cpp",
     "end->end == ResponseEnd::ConnectionClose && alive", "alive"),
    ("crashes_too_young_to_decide_are_not_compared", "request/quarantine_base.cpp",
     "return item.isMature || !isComplete;", "return item.isMature;"),
    ("silence_after_a_doubtful_end_is_ignored", "request/quarantine_base.cpp",
     "|| (end->end == ResponseEnd::ConnectionClose && alive && isMature(end->at, now))", ""),
    ("quarantined_request_is_dispatched", "request/request_system.cpp",
     "    if (m_quarantine.quarantinedUntil(request.parts, now)) {\n        refuseQuarantined(request, now, actions);\n        return;\n    }\n    boundByStop",
     "    boundByStop"),
    ("quarantined_request_is_written", "request/request_system.cpp",
     "!m_quarantine.quarantinedUntil(found->second.parts, now, current.isTrial)", "true"),
    ("quarantined_request_is_repeated", "request/request_system.cpp",
     "        && !m_quarantine.quarantinedUntil(request.parts, now)\n", ""),
    ("waiting_request_outlives_quarantine", "request/request_system.cpp",
     "            affected.push_back(id);\n", "            continue;\n"),
    ("leaving_is_reported_for_five_seconds", "request/backend_base.cpp",
     "(backend && isMarkedLeaving(backend->report, now))", "false"),
    ("limit_ignored_in_choice", "request/target_choice.cpp",
     "if (input.permits && !input.permits->mayTake(run, now)) {", "if (false) {"),
    ("limit_ignored_at_the_write", "request/request_system.cpp", "&& isPermitted", ""),
    ("permit_not_taken_at_the_write", "request/request_system.cpp",
     "if (!current.permit && !m_limits.empty())", "if (false)"),
    ("permit_of_unwritten_attempt_is_lost", "request/request_system.cpp",
     "if (attempt.permit && !attempt.isWritten)", "if (false)"),
    ("callers_without_permit_wait", "request/request_system.cpp",
     "if (waiting.responseStarted || startAt <= latest)", "if (true)"),
    ("retry_after_of_a_permit_is_shortened", "request/request_system.cpp",
     "|| code == ErrorCode::ServersLimited", ""),
    ("each_node_uses_all_shares", "request/server_permit_base.h",
     "return m_nodes[share.owner] == m_own;", "return true;"),
    ("lent_share_is_used_at_once", "request/server_permit_base.cpp",
     "share->usedAt = now + permitTime;", ""),
    ("late_permit_is_used", "request/server_permit_base.h",
     "return now <= permit.validUntil;", "return true;"),
    ("own_permit_never_ends", "request/server_permit_base.h",
     "return now <= permit.validUntil;",
     "return permit.owner.value().empty() || now <= permit.validUntil;"),
    ("permit_that_arrives_twice_is_used_twice", "request/server_permit_base.cpp",
     "if (number <= lender.last)", "if (false)"),
    ("unused_permits_are_kept", "request/server_permit_base.cpp",
     "while (server.borrowed.size() > needed) {", "while (false) {"),
    ("shares_of_the_last_run_are_used", "request/server_permit_base.cpp",
     "std::max(from - since, m_startedAt)", "from - since"),
    ("taken_over_share_is_used_at_once", "request/server_permit_base.cpp",
     "share.usedAt = std::max(m_nodesChangedAt, m_startedAt);", "share.usedAt = timePoint(1);"),
    ("minority_takes_shares", "request/membership_base.cpp",
     "3 * live.size() >= 2 * all.size()", "true"),
    ("overtaken_answer_raises_a_limit", "request/server_limit_base.cpp",
     "&& sentAt < entry.shownAt", "&& false"),
    ("limit_outlives_the_run_of_its_server", "request/server_limit_base.cpp",
     "if (found == m_entries.end() || found->second.startedAt < startedAt)\n        return std::nullopt;",
     "if (found == m_entries.end())\n        return std::nullopt;"),
    ("limit_named_in_refusals_ends_at_once", "request/server_limit_base.cpp",
     "(entry.refusalsOnly && !statement.isRefusal)", "false"),
    ("limits_are_not_told", "request/server_limit_base.cpp",
     "if (!next->second.isOwn)", "if (true)"),
    ("one_silent_server_cuts_a_node_off", "request/server_links.cpp",
     "constexpr std::size_t failedServersOfCut = 3;", "constexpr std::size_t failedServersOfCut = 1;"),
    ("dead_rack_cuts_a_node_off", "request/server_links.cpp",
     "return backend && backend->peerProgress > since;", "return backend;"),
    ("old_connection_ends_a_cut", "request/server_links.cpp",
     "if (openedAt < m_failingSince)\n        return;", ""),
    ("cut_node_does_not_forward", "request/request_system.cpp",
     "return !request.arrival.attemptsLeft && (isCut()", "return !request.arrival.attemptsLeft && (false"),
    ("cut_node_takes_forwarded_requests", "request/request_system.cpp",
     "if (arrival.attemptsLeft && (isCut() || m_takenOver > maxTakenOver)) {",
     "if (arrival.attemptsLeft && m_takenOver > maxTakenOver) {"),
    ("forwarded_requests_unbounded", "request/request_system.cpp",
     "count >= maxForwardedPerNode", "false"),
    ("forwarded_request_is_forwarded_again", "request/request_system.cpp",
     "return !request.arrival.attemptsLeft", "return true"),
    ("forwarded_request_has_all_attempts", "request/request_system.cpp",
     "arrival.attemptsLeft.value_or(route.maxAttempts)", "route.maxAttempts"),
    ("forwarded_failure_is_repeated", "request/request_system.cpp",
     "&& !attemptOf(*request, attempt).isForwarded()", ""),
    ("silence_cuts_a_node_off", "request/server_links.cpp",
     "m_isCut = !m_failures.empty()", "m_isCut = m_isWaiting || !m_failures.empty()"),
    ("number_out_of_range_hides_a_document", "core/json_reader.cpp",
     "return json::parse(withNumbersInRange(text));", "throw;"),
    ("number_out_of_range_is_one_in_range", "core/json_reader.cpp",
     "json(std::numeric_limits<double>::max()).dump();", "\"1\";"),
    ("payment_ends_with_the_input_of_its_caller", "request/request_system.cpp",
     "if (request.kind != RequestKind::AtMostOnce || !request.running", "if (true"),
    ("reads_outlive_the_input_of_their_caller", "request/request_system.cpp",
     "if (request.kind != RequestKind::AtMostOnce || !request.running", "if (!request.running"),
    ("payment_is_written_long_after_the_input_ended", "request/request_system.cpp",
     "if (inputEndedAt && now - *inputEndedAt > maxWriteDelay)", "if (false)"),
    ("payment_is_repeated_after_the_input_ended", "request/request_system.cpp",
     "&& !request.inputEndedAt", ""),
    ("rest_of_an_answer_is_lost_when_the_input_ends", "network/caller_connections.cpp",
     "if (isAnswered ? connection.socket->unsentBytes() == 0", "if (isAnswered ? true"),
    ("odd_key_of_a_node_is_written", "network/membership_record.cpp",
     'reader.name("forward_key")', 'reader.value("forward_key").get<std::string>()'),
    ("limits_of_many_servers_in_one_message", "request/server_limit_base.cpp",
     "if (news.size() == LimitBounds::reportedByNode)", "if (false)"),
    ("server_takes_all_room", "network/memory_account.cpp",
     "return responseBytes() <= m_responseLimit && heldBy(server) <= serverLimit();",
     "return responseBytes() <= m_responseLimit;"),
    ("servers_together_without_limit", "network/memory_account.cpp",
     "return responseBytes() <= m_responseLimit && heldBy(server) <= serverLimit();",
     "return heldBy(server) <= serverLimit();"),
    ("bodies_kept_without_room", "network/relay.cpp",
     "makeRoomForBody(id, attempt);\n}", ";\n}"),
    ("events_read_without_room", "network/relay.cpp",
     "m_awaitingRoom.emplace(id, attempt);\n        updateReading(*open.exchange, *open.attempt);",
     "m_awaitingRoom.emplace(id, attempt);"),
    ("slow_callers_not_counted", "network/caller_connections.cpp",
     "connection->unsent.resize(unsent);", "(void)unsent;"),
    ("faulty_server_read_for_slow_caller", "network/relay.cpp",
     "exchange.paused = true;\n    updateReading", "exchange.paused = true;\n    if (false) updateReading"),
    ("event_buffer_kept", "network/event_framing.cpp", "m_buffer.shrink_to_fit();", ";"),
]
RAPIDCHECK_PARAMETERS = "seed=20261203 max_success=25 max_size=14 noshrink=1"


def whitespace_tolerant_pattern(text):
    """Returns a pattern that matches the text regardless of white space and line breaks."""
    return r"\s*".join(re.escape(part) for part in re.findall(r"\w+|[^\w\s]", text))


def build(tree):
    environment = dict(os.environ, CCACHE_BASEDIR=tree, CCACHE_NOHASHDIR="1")
    return subprocess.run(["ninja", "-C", f"{tree}/build", *TESTS, *PROGRAMS], env=environment,
                          capture_output=True, text=True, check=False)


def copy_tree(tree):
    files = subprocess.run(["git", "ls-files", "-co", "--exclude-standard"], capture_output=True,
                           text=True, check=True).stdout.splitlines()
    for name in files:
        target = os.path.join(tree, name)
        os.makedirs(os.path.dirname(target), exist_ok=True)
        shutil.copy(name, target)
    subprocess.run(["cmake", "-S", tree, "-B", f"{tree}/build", "-G", "Ninja"],
                   capture_output=True, check=True)


def first_failure(tree):
    """Returns the first failing test and the guarantees that its output names as violated."""
    for test in TESTS:
        run = subprocess.run([f"{tree}/build/src/tests/{test}", "--gtest_fail_fast"],
                             cwd=f"{tree}/src/tests",
                             env=dict(os.environ, RC_PARAMS=RAPIDCHECK_PARAMETERS),
                             capture_output=True, text=True, check=False, timeout=900)
        if run.returncode == 0:
            continue
        output = run.stdout + run.stderr
        guarantees = sorted(set(re.findall(
            r"^(payment once|whole group|one group a VM|cold server|configuration|not run|zone out"
            r"|leaving server|planned stop|whole answer):", output, re.MULTILINE)))
        failed = re.findall(r"\[  FAILED  \] (\w+\.\w+)", output) or [f"{test} crashed"]
        return failed[0], guarantees
    with process_test_lock:
        for name, *cases in PROCESS_TESTS:
            run = subprocess.run([sys.executable, f"{tree}/src/tests/{name}", f"{tree}/build", *cases],
                                 capture_output=True, text=True, check=False, timeout=900)
            failed = re.findall(r"^(?:FAIL|ERROR): (\w+)", run.stderr, re.MULTILINE)
            if run.returncode != 0:
                return f"{name} {failed[0] if failed else 'crashed'}", []
    return None, []


def try_mutant(tree, name, file, original, replacement):
    """Applies a mutant, runs the tests and reverts it. Returns its line of the report."""
    path = os.path.join(tree, "src" if "/" in file else DEFAULT_DIRECTORY, file)
    with open(path, encoding="utf-8") as source:
        text = source.read()
    mutated, count = re.subn(whitespace_tolerant_pattern(original), lambda _: replacement, text)
    if count != 1:
        return f"{name}: ALIVE, the text to replace occurs {count} times"
    with open(path, "w", encoding="utf-8") as source:
        source.write(mutated)
    built = build(tree)
    if built.returncode != 0:
        line = f"{name}: ALIVE, the mutant does not build\n{built.stdout[-800:]}"
    else:
        failed, guarantees = first_failure(tree)
        guarantee_list = f" ({', '.join(guarantees)})" if guarantees else ""
        verdict = f"caught by {failed}{guarantee_list}" if failed else "ALIVE"
        line = f"{name}: {verdict}"
    with open(path, "w", encoding="utf-8") as source:
        source.write(text)
    return line


def run_worker(mutants, report):
    """Worker thread: runs mutants from the shared list in a source tree of its own."""
    with tempfile.TemporaryDirectory() as tree:
        copy_tree(tree)
        while mutants:
            line = try_mutant(tree, *mutants.pop(0))
            print(line, flush=True)
            report.append(line)


def main():
    selected = set(sys.argv[1:])
    mutants = [mutant for mutant in MUTANTS if not selected or mutant[0] in selected]
    report = []
    workers = [threading.Thread(target=run_worker, args=(mutants, report)) for _ in range(WORKERS)]
    for worker in workers:
        worker.start()
    for worker in workers:
        worker.join()
    undetected = [line.split(":")[0] for line in report if "ALIVE" in line]
    print(f"{len(report) - len(undetected)} of {len(report)} mutants caught")
    return 1 if undetected else 0


if __name__ == "__main__":
    sys.exit(main())
