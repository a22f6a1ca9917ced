#pragma once

#include "network/serving_daemon.h"

#include <map>
#include <string>

namespace bramleypitch::platform {

/// Name of the environment variable that holds the path of the settings file.
extern const char *const settingsVariable;

/// The platform's settings file, as lines "a.b=value".
class SettingsFile
{
public:
    /// Throws Failure(InvalidSetting) if the file cannot be read.
    static SettingsFile read(const std::string &path);
    static SettingsFile parse(const std::string &text);

    bool operator==(const SettingsFile &) const = default;
    bool has(const std::string &name) const { return m_values.count(name) > 0; }
    /// Throws Failure(MissingSetting) if it is not there.
    const std::string &text(const std::string &name) const;
    std::string text(const std::string &name, const std::string &fallback) const;
    /// Throws Failure(InvalidSetting) if it is not a number.
    double number(const std::string &name, double fallback) const;
    bool boolean(const std::string &name, bool fallback) const;

private:
    std::map<std::string, std::string> m_values;
};

/// What the node needs of the settings file. `metricsPort` is 0 where none is served.
/// Throws Failure naming the setting that is missing or wrong.
ServingOptions servingOptions(const SettingsFile &file, std::uint16_t metricsPort);

/// Address of the platform's store.
Address storeAddress(const SettingsFile &file);

} // namespace bramleypitch::platform
