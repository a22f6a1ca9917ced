#include "request/server_links.h"

#include <algorithm>
#include <tuple>

namespace bramleypitch {

namespace {

/// Failures at fewer servers may be the fault of these.
constexpr std::size_t failedServersOfCut = 3;
constexpr std::size_t failedServersOfDoubt = 2;
constexpr Duration quietTime {400};
constexpr Duration failureMemory {5'000};
/// A server that other nodes heard from within this time lives.
constexpr Duration recentlyHeard {1'000};
constexpr Duration probeInterval {200};
constexpr std::size_t probesInDoubt = 3;

} // namespace

ServerLinks::ServerLinks(const BackendTable &backends)
    : m_backends(backends)
{
}

void ServerLinks::onFailed(const VmId &server, TimePoint now)
{
    if (m_failures.empty())
        m_failingSince = now;
    m_failures.try_emplace(server, Failures {now, now}).first->second.lastAt = now;
}

void ServerLinks::onAnswered(TimePoint openedAt)
{
    if (openedAt < m_failingSince)
        return;
    m_failures.clear();
    m_isQuiet = false;
    m_isWaiting = false;
}

bool ServerLinks::isHeardElsewhere(const VmId &server, TimePoint since) const
{
    const Backend *backend = m_backends.find(server);
    return backend && backend->peerProgress > since;
}

bool ServerLinks::haveSeveralFailed() const
{
    return !m_failures.empty()
        && m_failures.size() >= std::min(failedServersOfDoubt, m_backends.size());
}

bool ServerLinks::check(bool isWaiting, TimePoint now)
{
    m_isQuiet = now - m_backends.lastHeard() > quietTime;
    m_isWaiting = m_isQuiet && isWaiting;
    std::erase_if(m_failures, [&](const auto &item) {
        return now - item.second.lastAt >= failureMemory || !m_backends.find(item.first);
    });
    const auto heardElsewhere = static_cast<std::size_t>(
        std::count_if(m_failures.begin(), m_failures.end(), [this](const auto &item) {
            return isHeardElsewhere(item.first, item.second.firstAt);
        }));
    const bool wasCut = m_isCut;
    m_isCut = !m_failures.empty()
        && (wasCut || heardElsewhere >= std::min(failedServersOfCut, m_backends.size()));
    return m_isCut != wasCut;
}

std::vector<VmId> ServerLinks::takeProbes(TimePoint now)
{
    const bool isNeeded = m_isCut || m_isWaiting || haveSeveralFailed();
    if (!isNeeded || now - m_probedAt < (m_isCut ? probeInterval : 2 * probeInterval))
        return {};
    m_probedAt = now;
    // Those that other nodes hear from, and that failed here least recently, tell most.
    struct Candidate
    {
        bool isQuiet = false;
        TimePoint failedAt;
        const VmId *server;
    };
    std::vector<Candidate> candidates;
    m_backends.forEach([&](BackendIndex, const Backend &backend) {
        const VmId &server = backend.report.id;
        const auto failed = m_failures.find(server);
        if (backend.listing == Listing::Listed)
            candidates.push_back({!isHeardElsewhere(server, now - recentlyHeard),
                                  failed == m_failures.end() ? TimePoint() : failed->second.lastAt,
                                  &server});
    });
    const std::size_t count =
        std::min(m_isCut ? std::size_t {1} : probesInDoubt, candidates.size());
    std::partial_sort(candidates.begin(), candidates.begin() + static_cast<std::ptrdiff_t>(count),
                      candidates.end(), [](const Candidate &left, const Candidate &right) {
                          return std::tie(left.isQuiet, left.failedAt, *left.server)
                              < std::tie(right.isQuiet, right.failedAt, *right.server);
                      });
    std::vector<VmId> probes;
    for (std::size_t i = 0; i < count; ++i)
        probes.push_back(*candidates[i].server);
    return probes;
}

} // namespace bramleypitch
