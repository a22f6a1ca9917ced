#pragma once

#include "network/serving_daemon.h"

#include <map>
#include <string>

namespace bramleypitch::platform {

/// Name of the environment variable that contains the path of the settings file.
extern const char *const settingsPathVariable;
/// Environment variable with what to do with late requests: "serve" or "refuse". If it is not set,
/// the priorities of the routes decide.
extern const char *const lateRequestsVariable;
/// The environment variables that switch on a wanted split of groups that follows lasting demand,
/// and what a node assumes of the others when all of them start.
extern const char *const demandSplitVariable;
extern const char *const startPhaseVariable;
/// Whether such a variable is "on". `value` is null if it is not set, which means "off".
bool parseSwitch(const char *name, const char *value);
/// Reads the value of lateRequestsVariable; null if it is not set.
LateRequests parseLateRequests(const char *value);

/// The platform's settings file. Each line has the form "a.b=value"; other lines are ignored.
class SettingsFile
{
public:
    /// Throws Failure(InvalidSetting) if the file cannot be read.
    static SettingsFile read(const std::string &path);
    static SettingsFile parse(const std::string &text);

    bool operator==(const SettingsFile &) const = default;
    bool has(const std::string &name) const { return m_values.count(name) > 0; }
    /// Throws Failure(MissingSetting) if the setting is absent.
    const std::string &text(const std::string &name) const;
    std::string text(const std::string &name, const std::string &fallback) const;
    /// Returns `fallback` if the setting is absent or empty. Throws Failure(InvalidSetting) if the
    /// value is not a number.
    double number(const std::string &name, double fallback) const;
    /// Returns `fallback` if the setting is absent or empty. Throws Failure(InvalidSetting) if the
    /// value is neither "true" nor "false".
    bool boolean(const std::string &name, bool fallback) const;

private:
    std::map<std::string, std::string> m_values;
};

/// Detects changes of the settings file. Nothing in the file marks its end, and it may be read
/// while it is being written, so that a change counts once two reads in a row have found the same.
class SettingsWatch
{
public:
    SettingsWatch() = default;
    explicit SettingsWatch(SettingsFile file)
        : m_current(file)
        , m_lastRead(std::move(file))
    {
    }

    /// Takes the file as it was just read. Returns whether it has become the current one.
    bool take(SettingsFile file);
    /// Whether the last read differs from the current file, so that another one is due.
    bool isUnsettled() const { return m_lastRead != m_current; }
    const SettingsFile &current() const { return m_current; }

private:
    SettingsFile m_current;
    SettingsFile m_lastRead;
};

/// Converts the settings file to the options of a node. A `metricsPort` of 0 disables the metrics
/// page. Throws Failure with a message that names the missing or invalid setting.
ServingOptions servingOptions(const SettingsFile &file, std::uint16_t metricsPort);

/// Returns the address of the platform's key-value store.
Address storeAddress(const SettingsFile &file);

} // namespace bramleypitch::platform
