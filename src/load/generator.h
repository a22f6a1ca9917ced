#pragma once

#include "load/mix.h"
#include "load/result.h"
#include "network/event_loop.h"
#include "network/http_client.h"

#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

namespace bramleypitch::load {

/// Options of a load run.
struct GeneratorOptions
{
    Address entry; ///< Queried first for the list of entries.
    double ratePerSecond = 50;
    Duration duration {10'000};
    std::uint64_t seed = 1;
};

/// Open-loop load generator. Arrivals follow a Poisson process with the given rate, independent of
/// responses, and latencies are measured from the scheduled arrival. A slow system therefore does
/// not reduce the offered load. Like any caller, the generator fetches the list of entries, caches
/// it for the time that the response states, and connects to these entries directly.
class Generator
{
public:
    Generator(EventLoop &loop, Mix mix, GeneratorOptions options);

    /// Runs until all arrivals are over and all requests have ended. Calls `progress` with a line
    /// of text every second.
    Result run(const std::function<void(const std::string &)> &progress);

private:
    struct Request
    {
        std::string organisation;
        std::string className;
        std::int64_t latencyLimitMillis = 0; ///< Latency limit, see MixRequest.
        TimePoint due; ///< Scheduled arrival.
        std::size_t second = 0; ///< Second of the run in which the request arrived.
        std::string partialLine; ///< Incomplete last line of the stream.
        bool endReceived = false; ///< The explicit end of the stream was received.
        std::string error; ///< Type of the last error event in the stream.
        TimePoint firstTokenAt; ///< Time of the first token or of a response without stream.
        TimePoint lastTokenAt; ///< Time of the latest token.
    };

    void refreshEntries();
    void onArrival();
    void scheduleNext();
    double currentWeight(const MixOrganisation &organisation) const;
    double currentRate() const;
    Address nextEntry();
    void send(const MixOrganisation &organisation, const MixRequest &request, TimePoint due);
    HttpCall makeCompletionCall(const MixOrganisation &organisation, const MixRequest &request);
    HttpCall makeServiceCall(const MixOrganisation &organisation, const MixRequest &request);
    void onChunk(std::uint64_t id, std::string_view chunk);
    void onLine(Request &request, std::string_view line);
    void onResponse(std::uint64_t id, const HttpResponse &response);
    void onFailure(std::uint64_t id);
    void finish(std::uint64_t id);
    Tally &tallyOf(const Request &request);
    void finishIfDone();

    EventLoop &m_loop;
    HttpClient m_http;
    Mix m_mix;
    GeneratorOptions m_options;
    std::mt19937_64 m_random;
    Timer m_arrivalTimer;
    Timer m_refreshTimer;
    std::vector<Address> m_entries;
    std::size_t m_nextEntryIndex = 0;
    TimePoint m_start;
    TimePoint m_nextArrivalAt; ///< Scheduled time of the next arrival.
    double m_nextArrivalRemainder =
        0; ///< Fraction of a millisecond by which m_nextArrivalAt is rounded down.
    bool m_arrivalsOver = false;
    std::map<std::uint64_t, Request> m_openRequests;
    std::uint64_t m_lastId = 0;
    Result m_result;
};

} // namespace bramleypitch::load
