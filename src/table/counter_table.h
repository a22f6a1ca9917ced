#pragma once

#include "core/counter_type.h"

#include <array>

namespace bramleypitch {

/// Metric name and help text of a counter on /metrics. The exporter adds prefix and suffix to the
/// name.
struct CounterInfo
{
    const char *name;
    const char *help;
};

/// One row per counter, in the order of the enumeration.
constexpr std::array<CounterInfo, static_cast<std::size_t>(Counter::Count)> counterTable {{
    {"completions_asked", "Completions that callers asked for."},
    {"completions_whole", "Completions answered to their explicit end."},
    {"completions_resumed", "Completions that went on on another group."},
    {"completions_refused", "Completions refused before their first token."},
    {"completions_broken", "Completions given up after their first token."},
    {"callers_gone", "Callers that went away before the end of their answer."},
    {"attempts_sent", "Attempts sent to backend servers."},
    {"attempts_broken", "Attempts that ended without a whole answer."},
    {"frames_dropped", "Frames of ended attempts or out of order, dropped."},
    {"tokens_delivered", "Tokens passed to callers."},
    {"retries_denied", "Retries that the retry budget did not allow."},
    {"service_calls_asked", "Calls to plain services."},
    {"service_calls_answered", "Calls to plain services answered in whole."},
    {"service_calls_refused", "Calls to plain services refused or broken."},
    {"service_calls_retried", "Further attempts of calls to plain services."},
    {"ledger_repeats", "Calls answered from a recorded outcome."},
    {"ledger_unavailable", "Ledger requests without certain answer."},
    {"ledger_writes", "Compare-and-swaps of ledger segments."},
    {"platform_reads", "Reads asked of the platform."},
    {"platform_writes", "Writes asked of the platform."},
    {"swap_conflicts", "Compare-and-swaps lost to another writer."},
    {"swap_unknown", "Compare-and-swaps without certain outcome."},
    {"probes_sent", "Probes of backend servers."},
    {"probes_failed", "Probes without answer."},
    {"orders_sent", "Orders sent to engines."},
    {"groups_formed", "Groups this node wrote into a placement."},
    {"groups_dissolved", "Groups this node took out of a placement."},
    {"heartbeats_sent", "Heartbeats sent to other nodes."},
    {"heartbeats_received", "Heartbeats and replies received."},
    {"shared_pulls", "Pulls of shared values from other nodes."},
    {"cold_refusals", "Requests refused as only cold groups of other homes were open."},
}};

} // namespace bramleypitch
