#pragma once

#include <cstdint>

namespace bramleypitch {

/// All settings of the program. table/settings_table.h has one row for each, in the same order.
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
    RatePerSecond, ///< The flag is named "rate".
    DurationS,
    Output,
    Count, ///< Number of settings; not a setting itself.
};

/// Type of a setting, which decides how its text is parsed and validated.
enum class SettingKind : std::uint8_t {
    Text,
    Address, ///< IP:PORT
    Url, ///< http://IP:PORT
    Integer, ///< With inclusive bounds.
    Choice, ///< One of the words in `choices`, which are separated by '|'.
};

/// One row of the settings table.
struct SettingInfo
{
    /// Flag name. The environment variable is BRAMLEYPITCH_ followed by the name in upper case.
    const char *name;
    SettingKind kind;
    const char *defaultValue; ///< Default as text; null if the setting is required.
    std::int64_t minimum;
    std::int64_t maximum;
    const char *unit;
    const char *choices;
    const char *help;
};

} // namespace bramleypitch
