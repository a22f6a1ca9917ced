#pragma once

#include "core/error_type.h"
#include "core/strong_type.h"
#include "core/time_type.h"
#include "settings/settings_type.h"

#include <initializer_list>
#include <string>
#include <vector>

namespace bramleypitch {

/// Settings of the program, read from command line flags and environment variables.
///
/// Every row of the settings table is a gflags flag. A flag takes precedence over its environment
/// variable, which takes precedence over the default.
class Settings
{
public:
    /// Parses `arguments`, which exclude the program and command names, and validates all
    /// values. `required` lists the settings that must be given if they have no default. Arguments
    /// that are not flags are returned by operands(). Throws Failure with a message that names
    /// the setting.
    Settings(const std::vector<std::string> &arguments, std::initializer_list<Setting> required);

    std::string text(Setting setting) const;
    std::int64_t integer(Setting setting) const;
    Duration milliseconds(Setting setting) const;
    Address address(Setting setting) const;
    /// Returns the address in a setting of the form http://IP:PORT.
    Address url(Setting setting) const;
    bool isGiven(Setting setting) const { return !text(setting).empty(); }
    const std::vector<std::string> &operands() const { return m_operands; }

private:
    void readArguments(const std::vector<std::string> &arguments);
    void readEnvironmentVariables();
    void check(std::initializer_list<Setting> required) const;

    std::vector<std::string> m_operands;
};

/// Formats the settings table as help text for the command line.
std::string settingsHelp();

} // namespace bramleypitch
