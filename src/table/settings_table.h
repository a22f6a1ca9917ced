#pragma once

#include "settings/settings_type.h"

#include <array>

namespace bramleypitch {

/// One row a setting, in the order of the enumeration. An empty default means "not given".
constexpr std::array<SettingInfo, static_cast<std::size_t>(Setting::Count)> settingsTable {{
    {"listen", SettingKind::Address, nullptr, 0, 0, "IP:PORT", "", "Where callers connect."},
    {"peer_listen", SettingKind::Address, nullptr, 0, 0, "IP:PORT", "",
     "Where other nodes connect."},
    {"platform", SettingKind::Url, nullptr, 0, 0, "URL", "", "The platform's key-value service."},
    {"vm_list", SettingKind::Url, "", 0, 0, "URL", "",
     "The platform's VM list; by default where the key-value service is."},
    {"environment", SettingKind::Text, nullptr, 0, 0, "name", "", "The environment."},
    {"stage", SettingKind::Choice, "production", 0, 0, "", "trial|production",
     "Which of the environment's documents is served."},
    {"availability_zone", SettingKind::Text, nullptr, 0, 0, "name", "",
     "The availability zone of this VM."},
    {"node", SettingKind::Text, nullptr, 0, 0, "name", "", "This node's name, unique."},
    {"operator", SettingKind::Text, "unknown", 0, 0, "name", "",
     "Who makes the change, for the audit trail."},
    {"log_format", SettingKind::Choice, "key_value", 0, 0, "", "key_value|json",
     "How log lines are written."},
    {"log_level", SettingKind::Choice, "info", 0, 0, "", "debug|info|warning|error",
     "Lines below this level are left out."},
    {"seed", SettingKind::Integer, "0", 0, INT64_MAX, "", "",
     "Seed of random choices; 0 takes one from the system."},
    {"lease_ms", SettingKind::Integer, "10000", 3'000, 120'000, "ms", "",
     "Time to live of the node's lease."},
    {"probe_interval_ms", SettingKind::Integer, "500", 50, 10'000, "ms", "",
     "Between probes of a backend server."},
    {"member_freshness_ms", SettingKind::Integer, "1500", 200, 60'000, "ms", "",
     "How long a member's confirmation holds a group's gate open."},
    {"configuration_freshness_ms", SettingKind::Integer, "3000", 500, 60'000, "ms", "",
     "How old the proof of the present configuration may be."},
    {"entry_keep_ms", SettingKind::Integer, "3000", 100, 60'000, "ms", "",
     "How long callers may keep the list of entries."},
    {"order_lifetime_ms", SettingKind::Integer, "10000", 0, 600'000, "ms", "",
     "How long after it was sent an order may still arrive."},
    {"watchers_per_zone", SettingKind::Integer, "2", 1, 1'000, "nodes", "",
     "Nodes of a zone that read the shared values from the platform."},
    {"domain_subset", SettingKind::Integer, "16", 1, 10'000, "domains", "",
     "Fabric domains that one node routes to."},
    {"loads_at_once", SettingKind::Integer, "4", 1, 10'000, "groups", "",
     "Groups of one domain that load weights at the same time."},
    {"baseline_policy", SettingKind::Choice, "off", 0, 0, "", "off|on",
     "Round robin without queues or cold starts, for measurements only."},
    {"entries", SettingKind::Address, "", 0, 0, "IP:PORT", "",
     "An entry to ask for the list of entries."},
    {"mix", SettingKind::Text, "", 0, 0, "file", "", "The mix of requests, a JSON file."},
    {"rate", SettingKind::Integer, "50", 1, 100'000, "requests/s", "",
     "Arrivals a second, whatever the answers."},
    {"duration_s", SettingKind::Integer, "10", 1, 3'600, "s", "", "How long requests arrive."},
    {"output", SettingKind::Text, "", 0, 0, "file", "", "Where the result is written as JSON."},
}};

} // namespace bramleypitch
