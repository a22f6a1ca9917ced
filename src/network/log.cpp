#include "network/log.h"

#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <nlohmann/json.hpp>

#include <chrono>
#include <iostream>

namespace bramleypitch {

namespace {

namespace logging = boost::log;

/// What startLog() was told; log lines are the one thing that belongs to the process as a whole.
struct LogState
{
    LogFormat format = LogFormat::KeyValue;
    std::string node;
    logging::sources::severity_logger<LogLevel> logger;
};

LogState &logState()
{
    static LogState state;
    return state;
}

const char *levelName(LogLevel level)
{
    switch (level) {
    case LogLevel::Debug:
        return "debug";
    case LogLevel::Info:
        return "info";
    case LogLevel::Warning:
        return "warning";
    case LogLevel::Error:
        return "error";
    }
    return "info";
}

std::int64_t unixMilliseconds()
{
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
}

/// A value stands bare unless a reader could take it for more than one.
std::string fieldText(const std::string &value)
{
    const bool plain = !value.empty() && value.find_first_of(" \"=\n\t") == std::string::npos;
    using nlohmann::json;
    return plain ? value : json(value).dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string keyValueLine(LogLevel level, const std::string &event, const LogFields &fields)
{
    std::string line = "time_ms=" + std::to_string(unixMilliseconds());
    line += " level=" + std::string(levelName(level));
    line += " node=" + fieldText(logState().node);
    line += " event=" + fieldText(event);
    for (const auto &[name, value] : fields)
        line += " " + name + "=" + fieldText(value);
    return line;
}

std::string jsonLine(LogLevel level, const std::string &event, const LogFields &fields)
{
    nlohmann::ordered_json line;
    line["time_ms"] = unixMilliseconds();
    line["level"] = levelName(level);
    line["node"] = logState().node;
    line["event"] = event;
    for (const auto &[name, value] : fields)
        line[name] = value;
    return line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

} // namespace

void startLog(LogFormat format, LogLevel least, const std::string &node)
{
    logState().format = format;
    logState().node = node;
    logging::add_console_log(std::cerr, logging::keywords::format = "%Message%",
                             logging::keywords::auto_flush = true);
    logging::core::get()->set_filter(logging::expressions::attr<LogLevel>("Severity") >= least);
}

void logLine(LogLevel level, const std::string &event, const LogFields &fields)
{
    const std::string line = logState().format == LogFormat::Json
        ? jsonLine(level, event, fields)
        : keyValueLine(level, event, fields);
    BOOST_LOG_SEV(logState().logger, level) << line;
}

} // namespace bramleypitch
