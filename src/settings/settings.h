#pragma once

#include "core/error_type.h"
#include "core/strong_type.h"
#include "core/time_type.h"
#include "settings/settings_type.h"

#include <initializer_list>
#include <string>
#include <vector>

namespace bramleypitch {

/// The settings of one run, read from flags and the environment and checked as a whole.
///
/// Every row of the settings table is a gflags flag. A flag beats its variable, a variable beats
/// the default.
class Settings
{
public:
    /// Reads `arguments` (without program and command). `needed` are the settings that the
    /// command uses and cannot do without where they have no default. What is not a flag goes to
    /// operands(). Throws Failure that names the setting.
    Settings(const std::vector<std::string> &arguments, std::initializer_list<Setting> needed);

    std::string text(Setting setting) const;
    std::int64_t integer(Setting setting) const;
    Duration milliseconds(Setting setting) const;
    Address address(Setting setting) const;
    /// The address of an http://IP:PORT setting.
    Address url(Setting setting) const;
    bool isGiven(Setting setting) const { return !text(setting).empty(); }
    const std::vector<std::string> &operands() const { return m_operands; }

private:
    void readArguments(const std::vector<std::string> &arguments);
    void readVariables();
    void check(std::initializer_list<Setting> needed) const;

    std::vector<std::string> m_operands;
};

/// The table as help text, one line a setting.
std::string settingsHelp();

} // namespace bramleypitch
