#pragma once

#include <string>
#include <utility>
#include <vector>

namespace bramleypitch {

/// Levels of a log line.
enum class LogLevel { Debug, Info, Warning, Error };

/// How log lines are written.
enum class LogFormat { KeyValue, Json };

/// Fields of a line beside its event.
using LogFields = std::vector<std::pair<std::string, std::string>>;

/// Sets up logging to standard error. Lines below `least` are left out.
void startLog(LogFormat format, LogLevel least, const std::string &node);

/// Writes one line for a change of state: "event" names it, fields describe it.
void logLine(LogLevel level, const std::string &event, const LogFields &fields);

} // namespace bramleypitch
