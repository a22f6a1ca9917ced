#include "load/generator.h"

#include "core/error_type.h"

#include <nlohmann/json.hpp>

namespace bramleypitch::load {

namespace {

using nlohmann::json;

constexpr Duration requestTimeout {30'000};
constexpr Duration entriesTimeout {1'000};
constexpr Duration entriesRetryDelay {100};
constexpr int statusOk = 200;
constexpr double millisecondsPerSecond = 1'000;
constexpr std::string_view dataPrefix = "data: ";

} // namespace

Generator::Generator(EventLoop &loop, Mix mix, GeneratorOptions options)
    : m_loop(loop)
    , m_http(loop)
    , m_mix(std::move(mix))
    , m_options(std::move(options))
    , m_random(m_options.seed)
    , m_arrivalTimer(loop, [this] { onArrival(); })
    , m_refreshTimer(loop, [this] { refreshEntries(); })
{
}

Result Generator::run(const std::function<void(const std::string &)> &progress)
{
    m_entries = {m_options.entry};
    refreshEntries();
    m_start = m_loop.now();
    m_nextArrivalAt = m_start;
    m_result.seconds.resize(static_cast<std::size_t>(m_options.duration.count()) / 1'000 + 1);
    Timer progressTimer(m_loop, [&] {
        const std::int64_t elapsed = (m_loop.now() - m_start).count();
        const std::size_t second =
            std::min(static_cast<std::size_t>(elapsed) / 1'000, m_result.seconds.size()) - 1;
        const SecondResult &last = m_result.seconds[second];
        progress(std::to_string(elapsed / 1'000) + " s: offered " + std::to_string(last.offered)
                 + ", in time so far " + std::to_string(last.inTime) + ", open "
                 + std::to_string(m_openRequests.size()));
    });
    progressTimer.startRepeating(Duration(1'000));
    scheduleNext();
    m_loop.run();
    m_result.durationMillis = (m_loop.now() - m_start).count();
    return std::move(m_result);
}

void Generator::refreshEntries()
{
    HttpCall call;
    call.address = nextEntry();
    call.path = "/v1/entries";
    call.timeLimit = entriesTimeout;
    HttpHooks hooks;
    hooks.onResponse = [this](const HttpResponse &response) {
        const json body = json::parse(response.body, nullptr, false);
        if (response.status != statusOk || !body.is_object() || body["entries"].empty()) {
            m_refreshTimer.startOnce(entriesRetryDelay);
            return;
        }
        m_entries.clear();
        for (const json &entry : body["entries"])
            m_entries.push_back(entry["address"].get<Address>());
        m_refreshTimer.startOnce(Duration(body["keep_ms"].get<std::int64_t>()));
    };
    hooks.onFailure = [this](const HttpFailure &) { m_refreshTimer.startOnce(entriesRetryDelay); };
    m_http.send(call, std::move(hooks));
}

Address Generator::nextEntry()
{
    return m_entries[m_nextEntryIndex++ % m_entries.size()];
}

double Generator::currentWeight(const MixOrganisation &organisation) const
{
    const std::int64_t elapsed = (m_nextArrivalAt - m_start).count();
    double weight = organisation.share;
    for (const MixSurge &surge : m_mix.surges) {
        if (surge.organisation == organisation.name && elapsed >= surge.fromMillis
            && elapsed < surge.toMillis)
            weight *= surge.factor;
    }
    return weight;
}

double Generator::currentRate() const
{
    double baseShare = 0;
    double currentShare = 0;
    for (const MixOrganisation &organisation : m_mix.organisations) {
        baseShare += organisation.share;
        currentShare += currentWeight(organisation);
    }
    return m_options.ratePerSecond * currentShare / baseShare;
}

void Generator::scheduleNext()
{
    std::exponential_distribution<double> interarrivalTime(currentRate() / millisecondsPerSecond);
    // Arrivals are scheduled at integral milliseconds; the remainder is added to the next interval.
    m_nextArrivalRemainder += interarrivalTime(m_random);
    const auto wholeMillis = static_cast<std::int64_t>(m_nextArrivalRemainder);
    m_nextArrivalRemainder -= static_cast<double>(wholeMillis);
    m_nextArrivalAt += Duration(wholeMillis);
    if (m_nextArrivalAt - m_start >= m_options.duration) {
        m_arrivalsOver = true;
        finishIfDone();
        return;
    }
    m_arrivalTimer.startOnce(std::max(Duration(0), m_nextArrivalAt - m_loop.now()));
}

void Generator::onArrival()
{
    std::vector<double> organisationWeights;
    for (const MixOrganisation &organisation : m_mix.organisations)
        organisationWeights.push_back(currentWeight(organisation));
    std::vector<double> requestWeights;
    for (const MixRequest &request : m_mix.requests)
        requestWeights.push_back(request.share);
    std::discrete_distribution<std::size_t> organisation(organisationWeights.begin(),
                                                         organisationWeights.end());
    std::discrete_distribution<std::size_t> request(requestWeights.begin(), requestWeights.end());
    const std::size_t chosen = organisation(m_random);
    send(m_mix.organisations[chosen], m_mix.requests[request(m_random)], m_nextArrivalAt);
    scheduleNext();
}

HttpCall Generator::makeCompletionCall(const MixOrganisation &organisation,
                                       const MixRequest &request)
{
    std::string prompt = organisation.name + " " + request.name + " "
        + std::to_string(m_random() % request.prefixes) + " ";
    prompt.resize(std::max<std::size_t>(prompt.size(), request.prefixBytes), '.');
    prompt += std::to_string(m_lastId);
    const json body {{"model", request.target},
                     {"stream", true},
                     {"max_tokens", request.maxTokens},
                     {"priority", request.priority},
                     {"first_token_deadline_ms", request.latencyLimitMillis},
                     {"messages", {{{"role", "user"}, {"content", prompt}}}}};
    HttpCall call;
    call.method = "POST";
    call.path = "/v1/chat/completions";
    call.body = body.dump();
    return call;
}

HttpCall Generator::makeServiceCall(const MixOrganisation &, const MixRequest &request)
{
    HttpCall call;
    call.path = "/services/" + request.target + request.path;
    if (request.kind == RequestKind::Repeatable)
        return call;
    call.method = "POST";
    call.body = "{\"amount\":100}";
    call.headers = {{"Idempotency-Key",
                     "load-" + std::to_string(m_options.seed) + "-" + std::to_string(m_random())},
                    {"Idempotency-Attempt", "1"}};
    return call;
}

void Generator::send(const MixOrganisation &organisation, const MixRequest &request, TimePoint due)
{
    const std::uint64_t id = ++m_lastId;
    Request &open = m_openRequests[id];
    open.organisation = organisation.name;
    open.className = request.name;
    open.latencyLimitMillis = request.latencyLimitMillis;
    open.due = due;
    open.second = static_cast<std::size_t>((due - m_start).count()) / 1'000;
    ++m_result.seconds[open.second].offered;
    ++tallyOf(open).offered;
    const bool isCompletion = request.kind == RequestKind::Completion;
    HttpCall call = isCompletion ? makeCompletionCall(organisation, request)
                                 : makeServiceCall(organisation, request);
    call.address = nextEntry();
    call.timeLimit = requestTimeout;
    call.headers.emplace_back("Authorization", "Bearer " + organisation.key);
    HttpHooks hooks;
    if (isCompletion)
        hooks.onChunk = [this, id](std::string_view chunk) { onChunk(id, chunk); };
    hooks.onResponse = [this, id](const HttpResponse &response) { onResponse(id, response); };
    hooks.onFailure = [this, id](const HttpFailure &) { onFailure(id); };
    m_http.send(call, std::move(hooks));
}

Tally &Generator::tallyOf(const Request &request)
{
    return m_result.tallies[{request.organisation, request.className}];
}

void Generator::onChunk(std::uint64_t id, std::string_view chunk)
{
    Request &request = m_openRequests.at(id);
    request.partialLine += chunk;
    std::size_t start = 0;
    for (std::size_t end = request.partialLine.find('\n'); end != std::string::npos;
         end = request.partialLine.find('\n', start)) {
        onLine(request, std::string_view(request.partialLine).substr(start, end - start));
        start = end + 1;
    }
    request.partialLine.erase(0, start);
}

void Generator::onLine(Request &request, std::string_view line)
{
    if (line.substr(0, dataPrefix.size()) != dataPrefix)
        return;
    const std::string_view data = line.substr(dataPrefix.size());
    if (data == "[DONE]") {
        request.endReceived = true;
        return;
    }
    if (data.rfind("{\"error\"", 0) == 0) {
        request.error = json::parse(data)["error"]["type"].get<std::string>();
        return;
    }
    if (data.find("\"content\"") == std::string_view::npos)
        return;
    const TimePoint now = m_loop.now();
    ++m_result.tokens;
    if (request.firstTokenAt == TimePoint())
        request.firstTokenAt = now;
    else
        tallyOf(request).betweenTokens.add(
            static_cast<double>((now - request.lastTokenAt).count()));
    request.lastTokenAt = now;
}

void Generator::onResponse(std::uint64_t id, const HttpResponse &response)
{
    Request &request = m_openRequests.at(id);
    if (response.status != statusOk) {
        const json body = json::parse(response.body, nullptr, false);
        const std::string type = body.is_object() && body.contains("error")
            ? body["error"].value("type", std::string("unreadable"))
            : std::string("status_") + std::to_string(response.status);
        ++tallyOf(request).refused[type];
        finish(id);
        return;
    }
    const bool isStream = response.contentType.rfind("text/event-stream", 0) == 0;
    if (isStream && !request.endReceived) {
        onFailure(id);
        return;
    }
    if (request.firstTokenAt == TimePoint())
        request.firstTokenAt = m_loop.now();
    const std::int64_t latencyMillis = (request.firstTokenAt - request.due).count();
    Tally &tally = tallyOf(request);
    ++tally.complete;
    tally.firstToken.add(static_cast<double>(latencyMillis));
    if (latencyMillis <= request.latencyLimitMillis) {
        ++tally.inTime;
        ++m_result.seconds[request.second].inTime;
    }
    finish(id);
}

void Generator::onFailure(std::uint64_t id)
{
    const Request &request = m_openRequests.at(id);
    ++tallyOf(request).broken;
    ++m_result.seconds[request.second].broken;
    finish(id);
}

void Generator::finish(std::uint64_t id)
{
    m_openRequests.erase(id);
    finishIfDone();
}

void Generator::finishIfDone()
{
    if (m_arrivalsOver && m_openRequests.empty())
        m_loop.stop();
}

} // namespace bramleypitch::load
