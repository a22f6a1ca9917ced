#pragma once

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace bramleypitch {

/// Severity of a log line.
enum class LogLevel { Debug, Info, Warning, Error };

/// Output format of log lines: `name=value` pairs or one JSON object per line.
enum class LogFormat { KeyValue, Json };

/// Name and value of each field of a log line, apart from its event.
using LogFields = std::vector<std::pair<std::string, std::string>>;

/// Sets up logging to standard output for the named node. Lines below the level `minLevel` are
/// suppressed. Lines are kept in a bounded buffer until flushLog() writes them. When the buffer is
/// full, further lines are dropped and counted, so that logging never blocks.
void startLog(LogFormat format, LogLevel minLevel, const std::string &node);

/// Changes the name of the node in lines logged from now on.
void setLogNode(const std::string &node);

/// Logs one event, described by its fields.
void logLine(LogLevel level, const std::string &event, const LogFields &fields);

/// Writes as much of the buffer as standard output accepts without blocking. Has to be called
/// regularly by the event loop.
void flushLog();

/// Number of lines dropped since the process started because standard output was read too slowly.
std::uint64_t droppedLogLines();

} // namespace bramleypitch
