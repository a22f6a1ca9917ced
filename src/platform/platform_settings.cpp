#include "platform/platform_settings.h"

#include "core/error_type.h"
#include "network/address_func.h"

#include <algorithm>
#include <cctype>
#include <charconv>
#include <cmath>
#include <fstream>
#include <sstream>

namespace bramleypitch::platform {

namespace {

/// Maximum age of the proof of a configuration, as a share of the time limit for key revocation.
/// The remainder covers the time that a request takes to reach a server.
constexpr double keyProofAgeShare = 0.75;
constexpr double millisecondsPerSecond = 1'000;
constexpr double maxSettingMs = 24 * 3'600'000;
constexpr double maxCount = 1'000'000;
/// Memory for the bodies of requests, as a share of the memory limit of the process. A body is held
/// up to four times: while it is joined with its head, and by the connection to the server.
constexpr double bodyMemoryShare = 0.125;
/// Memory for responses that are kept or wait for slow callers, as a share of the same limit.
constexpr double responseMemoryShare = 0.125;
/// Bodies that wait to be written to one server may use this part of that for bodies.
constexpr std::size_t bodySharesOfServers = 4;
constexpr double bytesPerMegabyte = 1'048'576;
constexpr double defaultMemoryMb = 256;

Duration milliseconds(double value)
{
    return Duration(static_cast<Duration::rep>(std::clamp(value, 0.0, maxSettingMs)));
}

/// Whether the setting `contracts`, a list with commas, has an entry.
bool listsContract(const SettingsFile &file, const std::string &name)
{
    std::istringstream list(file.text("contracts", ""));
    for (std::string entry; std::getline(list, entry, ',');) {
        const auto isSpace = [](unsigned char c) { return std::isspace(c) != 0; };
        std::erase_if(entry, isSpace);
        if (entry == name)
            return true;
    }
    return false;
}

} // namespace

const char *const settingsPathVariable = "BRAMLEYPITCH_BOOT";
const char *const lateRequestsVariable = "BRAMLEYPITCH_LATE_REQUESTS";

const char *const demandSplitVariable = "BRAMLEYPITCH_DEMAND_SPLIT";
const char *const startPhaseVariable = "BRAMLEYPITCH_START_PHASE";

bool parseSwitch(const char *name, const char *value)
{
    const std::string text = value ? value : "";
    if (!text.empty() && text != "on" && text != "off")
        throw Failure(ErrorCode::InvalidSetting, std::string(name) + ": must be on or off");
    return text == "on";
}

LateRequests parseLateRequests(const char *value)
{
    const std::string text = value ? value : "";
    if (text.empty())
        return RequestOptions().lateRequests;
    if (text != "serve" && text != "refuse")
        throw Failure(ErrorCode::InvalidSetting,
                      std::string(lateRequestsVariable) + ": must be serve or refuse");
    return text == "serve" ? LateRequests::Serve : LateRequests::Refuse;
}

SettingsFile SettingsFile::read(const std::string &path)
{
    std::ifstream file(path);
    if (!file)
        throw Failure(ErrorCode::InvalidSetting, "the settings file " + path + " cannot be read");
    std::ostringstream text;
    text << file.rdbuf();
    return parse(text.str());
}

SettingsFile SettingsFile::parse(const std::string &text)
{
    SettingsFile file;
    std::istringstream lines(text);
    std::string line;
    while (std::getline(lines, line)) {
        const std::size_t equals = line.find('=');
        if (equals != std::string::npos)
            file.m_values[line.substr(0, equals)] = line.substr(equals + 1);
    }
    return file;
}

const std::string &SettingsFile::text(const std::string &name) const
{
    const auto found = m_values.find(name);
    if (found == m_values.end())
        throw Failure(ErrorCode::MissingSetting, name + ": must be given");
    return found->second;
}

std::string SettingsFile::text(const std::string &name, const std::string &fallback) const
{
    const auto found = m_values.find(name);
    return found == m_values.end() ? fallback : found->second;
}

double SettingsFile::number(const std::string &name, double fallback) const
{
    const auto found = m_values.find(name);
    if (found == m_values.end() || found->second.empty())
        return fallback;
    double value = 0;
    const std::string &text = found->second;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (error != std::errc() || end != text.data() + text.size() || !std::isfinite(value))
        throw Failure(ErrorCode::InvalidSetting, name + ": \"" + text + "\" is not a number");
    return value;
}

bool SettingsFile::boolean(const std::string &name, bool fallback) const
{
    const auto found = m_values.find(name);
    if (found == m_values.end() || found->second.empty())
        return fallback;
    if (found->second != "true" && found->second != "false")
        throw Failure(ErrorCode::InvalidSetting, name + ": must be true or false");
    return found->second == "true";
}

bool SettingsWatch::take(SettingsFile file)
{
    const bool isRepeated = file == m_lastRead;
    m_lastRead = std::move(file);
    if (!isRepeated || !isUnsettled())
        return false;
    m_current = m_lastRead;
    return true;
}

ServingOptions servingOptions(const SettingsFile &file, std::uint16_t metricsPort)
{
    ServingOptions options;
    const std::string &ip = file.text("ip");
    const std::string &ports = file.text("internal_ports");
    options.node = NodeId(file.text("node_name"));
    options.zone = ZoneId(file.text("zone"));
    options.front = Address(file.text("listen.front"));
    options.ready = Address(file.text("listen.ready"));
    options.directory = Address(file.text("listen.directory"));
    options.pulse = Address(ip + ":" + ports.substr(0, ports.find(',')));
    if (metricsPort != 0)
        options.metrics = Address(ip + ":" + std::to_string(metricsPort));
    options.cores = std::clamp(file.number("limits.cpu_share", 0) * file.number("limits.cores", 1),
                               0.0, maxCount);
    const double memory = file.number("limits.memory_mb", defaultMemoryMb);
    options.maxBodyMemory = static_cast<std::size_t>(bodyMemoryShare * bytesPerMegabyte
                                                     * std::clamp(memory, 1.0, maxCount));
    options.maxResponseMemory = static_cast<std::size_t>(responseMemoryShare * bytesPerMegabyte
                                                         * std::clamp(memory, 1.0, maxCount));
    options.boundsSlowReaders = listsContract(file, "pressure");
    options.firstStart = file.boolean("first_start", false);
    options.changeTime = milliseconds(std::min(file.number("bounds.config_apply_ms", 2'000),
                                               file.number("bounds.drain_ms", 2'000)));
    options.stopTime = milliseconds(file.number("bounds.grace_s", 8) * millisecondsPerSecond);

    RequestOptions &requests = options.requests;
    requests.node = options.node;
    requests.zone = options.zone;
    requests.retries.ratio =
        std::clamp(file.number("bounds.retry_ratio", requests.retries.ratio), 0.0, maxCount);
    requests.retries.slack =
        std::clamp(file.number("bounds.retry_slack", requests.retries.slack), 0.0, maxCount);
    requests.retries.window =
        milliseconds(file.number("bounds.retry_window_s", 10) * millisecondsPerSecond);
    requests.boundsServerMemory = options.boundsSlowReaders;
    requests.maxUnsentPerServer = options.maxBodyMemory / bodySharesOfServers;
    requests.failClosed = file.boolean("bounds.fail_closed", true);
    requests.maxKeyProofAge =
        milliseconds(file.number("bounds.revoke_ms", 5'000) * keyProofAgeShare);

    options.formation.node = options.node;
    return options;
}

Address storeAddress(const SettingsFile &file)
{
    Address address(file.text("platform.address"));
    parseSocketAddress(address); // A file that is being written may end within it.
    return address;
}

} // namespace bramleypitch::platform
