#include "network/log.h"

#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/unlocked_frontend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/make_shared.hpp>
#include <boost/smart_ptr/make_shared_object.hpp>
#include <nlohmann/json.hpp>
#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <chrono>
#include <climits>

namespace bramleypitch {

namespace {

namespace logging = boost::log;

/// Limit on the bytes of log lines that are buffered while standard output is not read.
constexpr std::size_t maxBufferedBytes = 512 * 1024;
/// A pipe that polls as writable accepts this many bytes without blocking (POSIX, PIPE_BUF).
constexpr std::size_t maxWriteSize = PIPE_BUF;

constexpr unsigned char deleteCharacter = 0x7f;

/// Bounded buffer of log lines that have not been written to standard output yet.
class LineBuffer
{
public:
    void add(const std::string &line)
    {
        if (m_bytes.size() + line.size() + 1 > maxBufferedBytes) {
            ++m_dropped;
            return;
        }
        m_bytes += line;
        m_bytes += '\n';
    }

    void flush()
    {
        std::size_t written = 0;
        pollfd output {STDOUT_FILENO, POLLOUT, 0};
        while (written < m_bytes.size() && poll(&output, 1, 0) == 1
               && (output.revents & POLLOUT) != 0) {
            const std::size_t size = std::min(maxWriteSize, m_bytes.size() - written);
            const ssize_t count = write(STDOUT_FILENO, m_bytes.data() + written, size);
            if (count <= 0)
                break;
            written += static_cast<std::size_t>(count);
        }
        m_bytes.erase(0, written);
    }

    std::uint64_t dropped() const { return m_dropped; }

private:
    std::string m_bytes;
    std::uint64_t m_dropped = 0;
};

LineBuffer &lineBuffer()
{
    static LineBuffer buffer;
    return buffer;
}

/// Boost.Log sink backend that appends formatted lines to the line buffer.
class BufferBackend
    : public logging::sinks::basic_formatted_sink_backend<char, logging::sinks::concurrent_feeding>
{
public:
    void consume(const logging::record_view &, const string_type &line) { lineBuffer().add(line); }
};

/// Process-wide logging state, set by startLog().
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

/// Quotes and escapes a value if it is empty or contains a character that would make the
/// `name=value` line ambiguous.
std::string formatValue(const std::string &value)
{
    const auto isAmbiguous = [](unsigned char byte) {
        return byte <= ' ' || byte == '"' || byte == '=' || byte == deleteCharacter;
    };
    const bool plain = !value.empty() && std::none_of(value.begin(), value.end(), isAmbiguous);
    using nlohmann::json;
    return plain ? value : json(value).dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string keyValueLine(LogLevel level, const std::string &event, const LogFields &fields)
{
    std::string line = "time_ms=" + std::to_string(unixMilliseconds());
    line += " level=" + std::string(levelName(level));
    line += " node=" + formatValue(logState().node);
    line += " event=" + formatValue(event);
    for (const auto &[name, value] : fields)
        line += " " + name + "=" + formatValue(value);
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

void startLog(LogFormat format, LogLevel minLevel, const std::string &node)
{
    logState().format = format;
    logState().node = node;
    using Sink = logging::sinks::unlocked_sink<BufferBackend>;
    const auto sink = boost::make_shared<Sink>(boost::make_shared<BufferBackend>());
    sink->set_formatter(logging::expressions::stream << logging::expressions::smessage);
    logging::core::get()->add_sink(sink);
    logging::core::get()->set_filter(logging::expressions::attr<LogLevel>("Severity") >= minLevel);
}

void setLogNode(const std::string &node)
{
    logState().node = node;
}

void logLine(LogLevel level, const std::string &event, const LogFields &fields)
{
    const std::string line = logState().format == LogFormat::Json
        ? jsonLine(level, event, fields)
        : keyValueLine(level, event, fields);
    BOOST_LOG_SEV(logState().logger, level) << line;
}

void flushLog()
{
    lineBuffer().flush();
}

std::uint64_t droppedLogLines()
{
    return lineBuffer().dropped();
}

} // namespace bramleypitch
