#include "settings/settings.h"

#include "network/address_func.h"
#include "table/settings_table.h"

#include <gflags/gflags.h>

#include <algorithm>
#include <array>
#include <charconv>
#include <cstdlib>
#include <memory>
#include <set>
#include <sstream>

namespace bramleypitch {

namespace {

constexpr const char *environmentVariablePrefix = "BRAMLEYPITCH_";

const SettingInfo &settingInfo(Setting setting)
{
    return settingsTable[static_cast<std::size_t>(setting)];
}

/// Registers every row of the settings table as a gflags flag. All flags are strings: types and
/// bounds are checked against the table, so that error messages name the setting.
class FlagRegistry
{
public:
    FlagRegistry()
    {
        for (std::size_t i = 0; i < settingsTable.size(); ++i) {
            const SettingInfo &info = settingsTable[i];
            m_defaults[i] = info.defaultValue ? info.defaultValue : "";
            m_values[i] = m_defaults[i];
            m_registered[i] = std::make_unique<google::FlagRegisterer>(
                info.name, info.help, "settings_table.h", &m_values[i], &m_defaults[i]);
        }
    }
    std::string &value(Setting setting) { return m_values[static_cast<std::size_t>(setting)]; }

private:
    static constexpr std::size_t count = static_cast<std::size_t>(Setting::Count);
    std::array<std::string, count> m_values;
    std::array<std::string, count> m_defaults;
    std::array<std::unique_ptr<google::FlagRegisterer>, count> m_registered;
};

FlagRegistry &flags()
{
    static FlagRegistry registry;
    return registry;
}

bool isKnownFlag(const std::string &name)
{
    return std::any_of(settingsTable.begin(), settingsTable.end(),
                       [&](const SettingInfo &info) { return name == info.name; });
}

std::string environmentVariable(const SettingInfo &info)
{
    std::string name = environmentVariablePrefix;
    for (const char *character = info.name; *character; ++character)
        name += static_cast<char>(std::toupper(static_cast<unsigned char>(*character)));
    return name;
}

std::int64_t readInteger(const SettingInfo &info, const std::string &text)
{
    std::int64_t value = 0;
    const char *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value);
    if (parsed.ec != std::errc() || parsed.ptr != end)
        throw Failure(ErrorCode::InvalidSetting,
                      std::string(info.name) + ": \"" + text + "\" is not a whole number");
    if (value < info.minimum || value > info.maximum)
        throw Failure(ErrorCode::SettingOutOfBounds,
                      std::string(info.name) + ": must be from " + std::to_string(info.minimum)
                          + " to " + std::to_string(info.maximum) + " " + info.unit);
    return value;
}

bool isChoice(const SettingInfo &info, const std::string &text)
{
    std::istringstream choices(info.choices);
    for (std::string choice; std::getline(choices, choice, '|');) {
        if (choice == text)
            return true;
    }
    return false;
}

[[noreturn]] void throwInvalidValue(const std::string &name, const std::string &value)
{
    throw Failure(ErrorCode::InvalidSetting, name + ": \"" + value + "\" is not a valid value");
}

/// Validates a value. Throws Failure with a message that names the setting.
void checkValue(const SettingInfo &info, const std::string &text)
{
    try {
        if (info.kind == SettingKind::Address)
            parseAddress(Address(text));
        if (info.kind == SettingKind::Url)
            parseUrl(text);
    } catch (const Failure &failure) {
        throw Failure(failure.code(), std::string(info.name) + ": " + failure.what());
    }
    if (info.kind == SettingKind::Integer)
        readInteger(info, text);
    if (info.kind == SettingKind::Choice && !isChoice(info, text))
        throw Failure(ErrorCode::InvalidSetting,
                      std::string(info.name) + ": must be one of " + info.choices);
}

} // namespace

Settings::Settings(const std::vector<std::string> &arguments,
                   std::initializer_list<Setting> required)
{
    flags(); // Registers the flags before any of them is set.
    readEnvironmentVariables();
    readArguments(arguments);
    check(required);
}

void Settings::readEnvironmentVariables()
{
    for (std::size_t i = 0; i < settingsTable.size(); ++i) {
        if (const char *value = std::getenv(environmentVariable(settingsTable[i]).c_str()))
            flags().value(static_cast<Setting>(i)) = value;
    }
}

void Settings::readArguments(const std::vector<std::string> &arguments)
{
    for (std::size_t i = 0; i < arguments.size(); ++i) {
        const std::string &argument = arguments[i];
        if (argument.rfind("--", 0) != 0) {
            m_operands.push_back(argument);
            continue;
        }
        const std::size_t equals = argument.find('=');
        const std::string name = argument.substr(2, equals - 2);
        if (!isKnownFlag(name))
            throw Failure(ErrorCode::UnknownFlag, "--" + name + " is not a known flag");
        std::string value;
        if (equals != std::string::npos)
            value = argument.substr(equals + 1);
        else if (i + 1 < arguments.size())
            value = arguments[++i];
        else
            throw Failure(ErrorCode::InvalidSetting, name + ": a value is missing");
        if (google::SetCommandLineOption(name.c_str(), value.c_str()).empty())
            throwInvalidValue(name, value);
    }
}

void Settings::check(std::initializer_list<Setting> required) const
{
    for (const Setting setting : required) {
        if (text(setting).empty() && !settingInfo(setting).defaultValue)
            throw Failure(ErrorCode::MissingSetting,
                          std::string(settingInfo(setting).name) + ": must be given, by --"
                              + settingInfo(setting).name + " or "
                              + environmentVariable(settingInfo(setting)));
    }
    for (std::size_t i = 0; i < settingsTable.size(); ++i) {
        const std::string value = text(static_cast<Setting>(i));
        if (!value.empty())
            checkValue(settingsTable[i], value);
    }
}

std::string Settings::text(Setting setting) const
{
    return flags().value(setting);
}

std::int64_t Settings::integer(Setting setting) const
{
    return readInteger(settingInfo(setting), text(setting));
}

Duration Settings::milliseconds(Setting setting) const
{
    return Duration(integer(setting));
}

Address Settings::address(Setting setting) const
{
    return Address(text(setting));
}

Address Settings::url(Setting setting) const
{
    return parseUrl(text(setting));
}

std::string settingsHelp()
{
    std::ostringstream help;
    for (const SettingInfo &info : settingsTable) {
        help << "  --" << info.name << "  " << info.help;
        if (*info.choices)
            help << " One of " << info.choices << ".";
        if (info.kind == SettingKind::Integer && info.maximum != INT64_MAX)
            help << " From " << info.minimum << " to " << info.maximum << " " << info.unit << ".";
        if (info.defaultValue && *info.defaultValue)
            help << " Default " << info.defaultValue << ".";
        help << "\n      or " << environmentVariable(info) << "\n";
    }
    return help.str();
}

} // namespace bramleypitch
