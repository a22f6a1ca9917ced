#pragma once

#include "core/strong_type.h"
#include "network/http_message.h"
#include "network/stream_socket.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace bramleypitch {

using AttemptHandle = StrongType<struct AttemptHandleTag, std::uint64_t>;

/// A request as it goes to a backend server.
struct BackendRequest
{
    Address address;
    VmId server; ///< Connections are kept by server: addresses are used again by others.
    std::string head; ///< Request line, headers and blank line.
    std::string body;
    std::string traceId; ///< Answers to other requests are passed over.
    bool headMethod = false; ///< The answer has no body.
    bool freshConnection = false;
};

/// What becomes of an attempt: `headCame` and `bodyCame` as they come, then one of `ended` and
/// `broken`, unless it is abandoned.
struct BackendHooks
{
    std::function<void(const MessageHead &)> headCame;
    std::function<void(std::string)> bodyCame;
    std::function<void()> ended;
    /// `sent`: a byte of the request may have reached the server.
    std::function<void(bool sent)> broken;
};

/// Connections to backend servers. Each carries one request at a time; one that brings more than
/// the answer, or an answer before the whole request has left, is not used again.
class BackendConnections
{
public:
    /// The name of the header that repeats the request's id in the answer.
    BackendConnections(EventLoop &loop, std::string traceHeader);
    ~BackendConnections();
    BackendConnections(const BackendConnections &) = delete;
    BackendConnections &operator=(const BackendConnections &) = delete;

    AttemptHandle send(BackendRequest request, BackendHooks hooks);
    /// Closes the attempt's connection; no hook is called any more.
    void abandon(AttemptHandle handle);
    /// Stops or resumes reading the attempt's answer.
    void setReading(AttemptHandle handle, bool reading);
    /// Closes connections that are idle for long and gives up connecting where it takes too long.
    void sweep(TimePoint now);
    std::uint64_t opened() const { return m_opened; }

private:
    struct Link;

    Link *takeIdle(const VmId &server);
    void begin(Link &link);
    void connected(Link &link);
    void readable(Link &link);
    void bytesCame(Link &link);
    void closed(Link &link, bool clean);
    void finish(Link &link);
    void fail(Link &link);
    void discard(Link &link);

    EventLoop &m_loop;
    std::string m_traceHeader;
    std::map<std::uint64_t, std::unique_ptr<Link>> m_links;
    std::map<VmId, std::vector<Link *>> m_idle;
    std::map<AttemptHandle, Link *> m_attempts;
    std::vector<std::unique_ptr<Link>> m_discarded;
    Timer m_discard;
    std::uint64_t m_lastId = 0;
    std::uint64_t m_opened = 0;
};

} // namespace bramleypitch
