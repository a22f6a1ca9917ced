#pragma once

#include "coordination/event_type.h"
#include "network/http_client.h"

#include <functional>
#include <map>
#include <string>

namespace bramleypitch {

/// Sends completion and service attempts, probes and orders to backend servers and reports the
/// results as events. Frames that name a different request or attempt are not attributed to the
/// attempt whose connection they arrived on.
class EngineClient
{
public:
    using EventHook = std::function<void(const Event &)>;

    EngineClient(EventLoop &loop, HttpClient &http, std::string nodeName, EventHook hook);

    void dispatch(const DispatchCompletion &dispatch);
    void dispatch(const DispatchServiceCall &dispatch);
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
        std::string wireRequestId; ///< The request id sent to the engine.
        std::string partialLine; ///< The received part of an incomplete line.
        bool ended = false; ///< The frame that ends the stream has been received.
    };

    /// Records the HTTP call of an attempt so that it can be cancelled, unless it has ended
    /// already.
    void trackCall(const AttemptKey &key, HttpCallId id);
    void onChunk(const AttemptKey &key, std::string_view piece);
    /// Handles one line of a stream. Returns false if it is not a valid frame; the attempt then
    /// counts as broken.
    bool onLine(const AttemptKey &key, Stream &stream, std::string_view line);
    void onStreamEnd(const AttemptKey &key, bool sent, bool refused);

    EventLoop &m_loop;
    HttpClient &m_http;
    std::string m_nodeName;
    EventHook m_hook;
    std::map<AttemptKey, HttpCallId> m_calls;
    std::map<AttemptKey, Stream> m_streams;
};

} // namespace bramleypitch
