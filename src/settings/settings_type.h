#pragma once

#include <cstdint>

namespace bramleypitch {

/// Every setting of the program; the table in table/settings_table.h has one row for each.
enum class Setting : std::uint8_t {
    Listen,
    PeerListen,
    Platform,
    VmList,
    Environment,
    Stage,
    AvailabilityZone,
    Node,
    Operator,
    LogFormat,
    LogLevel,
    Seed,
    LeaseMs,
    ProbeIntervalMs,
    MemberFreshnessMs,
    ConfigurationFreshnessMs,
    EntryKeepMs,
    OrderLifetimeMs,
    WatchersPerZone,
    DomainSubset,
    LoadsAtOnce,
    BaselinePolicy,
    Entries,
    Mix,
    RatePerSecond, ///< Flag "rate".
    DurationS,
    Output,
    Count, ///< Not a setting: how many there are.
};

/// How a setting's text is read and checked.
enum class SettingKind : std::uint8_t {
    Text,
    Address, ///< IP:PORT
    Url, ///< http://IP:PORT
    Integer, ///< With bounds, both included.
    Choice, ///< One of a few words, given in the row's `choices`, separated by '|'.
};

/// One row of the settings table.
struct SettingInfo
{
    const char *name; ///< Flag; the variable is BRAMLEYPITCH_ and the name in capitals.
    SettingKind kind;
    const char *fallback; ///< Default as text; null if the setting must be given.
    std::int64_t least;
    std::int64_t most;
    const char *unit;
    const char *choices;
    const char *help;
};

} // namespace bramleypitch
