#pragma once

#include <cstdint>
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

/// Sets up logging to standard output. Lines below `least` are left out. Lines wait in a bounded
/// buffer until flushLog(); where it is full they are dropped and counted, so logging never blocks.
void startLog(LogFormat format, LogLevel least, const std::string &node);

/// Writes one line for a change of state: "event" names it, fields describe it.
void logLine(LogLevel level, const std::string &event, const LogFields &fields);

/// Writes what standard output takes without blocking. The event loop calls it often.
void flushLog();

/// Lines dropped since the start as the reader of standard output was too slow.
std::uint64_t droppedLogLines();

} // namespace bramleypitch
