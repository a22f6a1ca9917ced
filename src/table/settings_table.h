#pragma once

#include "settings/settings_type.h"

#include <array>

namespace bramleypitch {

/// One row per setting, in the order of the enumeration. An empty default means that the setting is
/// optional and not set by default.
constexpr std::array<SettingInfo, static_cast<std::size_t>(Setting::Count)> settingsTable {{
    {"listen", SettingKind::Address, nullptr, 0, 0, "IP:PORT", "",
     "Address on which callers connect."},
    {"peer_listen", SettingKind::Address, nullptr, 0, 0, "IP:PORT", "",
     "Address on which other nodes connect."},
    {"platform", SettingKind::Url, nullptr, 0, 0, "URL", "",
     "URL of the platform's key-value service."},
    {"vm_list", SettingKind::Url, "", 0, 0, "URL", "",
     "URL of the platform's VM list; defaults to that of the key-value service."},
    {"environment", SettingKind::Text, nullptr, 0, 0, "name", "", "Name of the environment."},
    {"stage", SettingKind::Choice, "production", 0, 0, "", "trial|production",
     "Stage whose environment document is served."},
    {"availability_zone", SettingKind::Text, nullptr, 0, 0, "name", "",
     "Availability zone of this VM."},
    {"node", SettingKind::Text, nullptr, 0, 0, "name", "", "Unique name of this node."},
    {"operator", SettingKind::Text, "unknown", 0, 0, "name", "",
     "Name of the operator who makes the change, for the audit trail."},
    {"log_format", SettingKind::Choice, "key_value", 0, 0, "", "key_value|json",
     "Format of log lines."},
    {"log_level", SettingKind::Choice, "info", 0, 0, "", "debug|info|warning|error",
     "Minimum level of log lines; lines below it are not logged."},
    {"seed", SettingKind::Integer, "0", 0, INT64_MAX, "", "",
     "Seed of the random number generator; 0 takes a seed from the operating system."},
    {"lease_ms", SettingKind::Integer, "10000", 3'000, 120'000, "ms", "",
     "Time to live of the node's lease."},
    {"probe_interval_ms", SettingKind::Integer, "500", 50, 10'000, "ms", "",
     "Interval between probes of a backend server."},
    {"member_freshness_ms", SettingKind::Integer, "1500", 200, 60'000, "ms", "",
     "Time for which a member's confirmation keeps its group's gate open."},
    {"configuration_freshness_ms", SettingKind::Integer, "3000", 500, 60'000, "ms", "",
     "Maximum age of the proof that the configuration is current."},
    {"entry_keep_ms", SettingKind::Integer, "3000", 100, 60'000, "ms", "",
     "Time for which callers may cache the list of entries."},
    {"order_lifetime_ms", SettingKind::Integer, "10000", 0, 600'000, "ms", "",
     "Time after sending during which an order may still arrive."},
    {"watchers_per_zone", SettingKind::Integer, "2", 1, 1'000, "nodes", "",
     "Nodes per zone that read the shared values from the platform."},
    {"domain_subset", SettingKind::Integer, "16", 1, 10'000, "domains", "",
     "Number of fabric domains that one node routes to."},
    {"loads_at_once", SettingKind::Integer, "4", 1, 10'000, "groups", "",
     "Maximum number of groups of one domain that load weights concurrently."},
    {"baseline_policy", SettingKind::Choice, "off", 0, 0, "", "off|on",
     "Use round robin without queues or cold-start limits; for measurements only."},
    {"entries", SettingKind::Address, "", 0, 0, "IP:PORT", "",
     "Entry that is queried for the list of entries."},
    {"mix", SettingKind::Text, "", 0, 0, "file", "", "JSON file that describes the request mix."},
    {"rate", SettingKind::Integer, "50", 1, 100'000, "requests/s", "",
     "Requests sent per second, independent of response times."},
    {"duration_s", SettingKind::Integer, "10", 1, 3'600, "s", "",
     "Time during which requests are sent."},
    {"output", SettingKind::Text, "", 0, 0, "file", "",
     "File to which the result is written as JSON."},
}};

} // namespace bramleypitch
