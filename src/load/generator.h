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

/// What a run is started with.
struct GeneratorOptions
{
    Address entry; ///< Asked first for the list of entries.
    double ratePerSecond = 50;
    Duration duration {10'000};
    std::uint64_t seed = 1;
};

/// An open-loop generator: arrivals follow a Poisson process of the given rate, whatever the
/// answers, and every time counts from the due arrival, so that a slow system is not asked less.
/// Callers ask for the list of entries, keep it as long as it says and connect there themselves.
class Generator
{
public:
    Generator(EventLoop &loop, Mix mix, GeneratorOptions options);

    /// Runs to the end; `progress` gets a line a second.
    Result run(const std::function<void(const std::string &)> &progress);

private:
    struct Request
    {
        std::string organisation;
        std::string className;
        std::int64_t inTimeMillis = 0;
        TimePoint due;
        std::size_t second = 0;
        std::string partial; ///< Of the stream, after its last line break.
        bool done = false; ///< The stream's explicit end has come.
        std::string error; ///< Type of an error in the stream.
        TimePoint firstAt;
        TimePoint lastAt;
    };

    void refreshEntries();
    void arrive();
    void scheduleNext();
    double weightOf(const MixOrganisation &organisation) const;
    double currentRate() const;
    Address nextEntry();
    void send(const MixOrganisation &organisation, const MixRequest &request, TimePoint due);
    HttpCall completionCall(const MixOrganisation &organisation, const MixRequest &request);
    HttpCall serviceCall(const MixOrganisation &organisation, const MixRequest &request);
    void streamCame(std::uint64_t id, std::string_view piece);
    void lineCame(Request &request, std::string_view line);
    void answered(std::uint64_t id, const HttpAnswer &answer);
    void broken(std::uint64_t id);
    void finish(std::uint64_t id);
    Tally &tallyOf(const Request &request);
    void finishIfDone();

    EventLoop &m_loop;
    HttpClient m_http;
    Mix m_mix;
    GeneratorOptions m_options;
    std::mt19937_64 m_random;
    Timer m_next;
    Timer m_refresh;
    std::vector<Address> m_entries;
    std::size_t m_entryTurn = 0;
    TimePoint m_start;
    TimePoint m_due; ///< Of the next arrival.
    double m_dueRemainder = 0; ///< Milliseconds that did not fit into m_due.
    bool m_arrivalsOver = false;
    std::map<std::uint64_t, Request> m_open;
    std::uint64_t m_lastId = 0;
    Result m_result;
};

} // namespace bramleypitch::load
