#pragma once

#include "coordination/event_type.h"
#include "network/http_client.h"

#include <functional>
#include <map>
#include <string>

namespace bramleypitch {

/// Talks to backend servers: attempts of completions and calls, probes and orders. What comes
/// back is handed on as events; frames that name another request or attempt are not taken for
/// this one's.
class EngineClient
{
public:
    using EventHook = std::function<void(const Event &)>;

    EngineClient(EventLoop &loop, HttpClient &http, std::string nodeName, EventHook hook);

    void dispatch(const DispatchEngine &dispatch);
    void dispatch(const DispatchService &dispatch);
    void cancel(const CancelAttempt &cancel);
    void probe(const SendProbe &probe, Duration timeLimit);
    void order(const SendOrder &order, Duration timeLimit);

private:
    struct AttemptKey
    {
        RequestId request;
        AttemptNumber attempt;
        auto operator<=>(const AttemptKey &) const = default;
    };
    struct Stream
    {
        std::string wireName; ///< The request as the engine knows it.
        std::string partial; ///< A line not yet complete.
        bool ended = false; ///< The explicit end has come.
    };

    void remember(const AttemptKey &key, HttpCallId id);
    void pieceCame(const AttemptKey &key, std::string_view piece);
    /// False if the line makes no sense; the attempt is broken then.
    bool lineCame(const AttemptKey &key, Stream &stream, std::string_view line);
    void streamEnded(const AttemptKey &key, bool sent, bool refused);

    EventLoop &m_loop;
    HttpClient &m_http;
    std::string m_nodeName;
    EventHook m_hook;
    std::map<AttemptKey, HttpCallId> m_calls;
    std::map<AttemptKey, Stream> m_streams;
};

} // namespace bramleypitch
