#include "request/server_limit_base.h"

#include <algorithm>
#include <cmath>

namespace bramleypitch {

namespace {

/// How long a limit that is named in refusals only holds after the last of them.
constexpr Duration refusalHold {10'000};
/// After that it grows by this factor in each growth period, so that the server gets little more
/// than it takes before it refuses again.
constexpr double growthFactor = 1.25;
constexpr Duration growthPeriod {4'000};
constexpr double maxGrowth = 8; ///< A limit that has grown by this factor has ended.
/// How long the end of a limit is remembered and reported, so that older reports of other nodes do
/// not bring it back.
constexpr Duration withdrawalMemory {10'000};
/// A limit is raised or withdrawn by another node's report only if that is newer by this margin.
/// The age of a report does not include the time that it took to arrive.
constexpr Duration reportMargin {500};
/// How long a limit is kept whose server is not known.
constexpr Duration unknownServerMemory {60'000};

bool isLower(const std::optional<double> &limit, const std::optional<double> &than)
{
    return limit && (!than || *limit < *than);
}

} // namespace

std::optional<double> LimitTable::limitOf(const Entry &entry, TimePoint now)
{
    if (!entry.perSecond || !entry.refusalsOnly)
        return entry.perSecond;
    const Duration since = now - entry.namedAt - refusalHold;
    if (since <= Duration(0))
        return entry.perSecond;
    const double periods =
        static_cast<double>(since.count()) / static_cast<double>(growthPeriod.count());
    const double growth = std::pow(growthFactor, periods);
    return growth < maxGrowth ? std::optional(*entry.perSecond * growth) : std::nullopt;
}

std::optional<double> LimitTable::limit(const VmId &server, std::int64_t startedAt,
                                        TimePoint now) const
{
    const auto found = m_entries.find(server);
    if (found == m_entries.end() || found->second.startedAt < startedAt)
        return std::nullopt;
    return limitOf(found->second, now);
}

std::optional<LimitChange> LimitTable::onAnswer(const ServerRun &run,
                                                const LimitStatement &statement, TimePoint sentAt,
                                                TimePoint now)
{
    const auto found = m_entries.find(run.server);
    const bool isKnown = found != m_entries.end() && found->second.startedAt == run.startedAt;
    if (found != m_entries.end() && found->second.startedAt > run.startedAt)
        return std::nullopt;
    if (!isKnown && !statement.perSecond)
        return std::nullopt;
    if (found == m_entries.end() && m_entries.size() >= LimitBounds::servers)
        return std::nullopt;
    Entry &entry = m_entries[run.server];
    if (!isKnown) {
        entry = Entry();
        entry.startedAt = run.startedAt;
        entry.refusalsOnly = true;
        entry.learnedAt = now;
    }
    const std::optional<double> before = limitOf(entry, now);
    if (statement.perSecond) {
        entry.namedAt = now;
        entry.refusalsOnly = (entry.refusalsOnly || !entry.perSecond) && statement.isRefusal;
    } else if (!entry.perSecond || (entry.refusalsOnly && !statement.isRefusal)) {
        return std::nullopt;
    }
    // A limit that was withdrawn counts as higher than any other.
    const bool isSame = entry.perSecond == statement.perSecond;
    if (!isSame && !isLower(statement.perSecond, entry.perSecond) && sentAt < entry.shownAt)
        return std::nullopt;
    entry.perSecond = statement.perSecond;
    entry.shownAt = now;
    entry.isOwn = true;
    if (before == entry.perSecond)
        return std::nullopt;
    return LimitChange {run, before, entry.perSecond};
}

std::vector<LimitChange> LimitTable::merge(const LimitNews &news,
                                           const std::function<bool(const VmId &)> &isKnown,
                                           TimePoint now)
{
    std::vector<LimitChange> changes;
    for (const auto &[server, report] : news) {
        const TimePoint shownAt = now - report.age;
        const auto found = m_entries.find(server);
        const bool isNewRun =
            found == m_entries.end() || found->second.startedAt < report.startedAt;
        if (isNewRun && (!report.perSecond || !isKnown(server)))
            continue;
        if (found == m_entries.end() && m_entries.size() >= LimitBounds::servers)
            continue;
        if (!isNewRun && found->second.startedAt > report.startedAt)
            continue;
        Entry &entry = m_entries[server];
        const std::optional<double> before = isNewRun ? std::nullopt : limitOf(entry, now);
        if (!isNewRun) {
            const bool isSame = entry.perSecond == report.perSecond;
            const Duration margin =
                isSame || isLower(report.perSecond, entry.perSecond) ? Duration(0) : reportMargin;
            if (shownAt <= entry.shownAt + margin)
                continue;
            if (isSame) {
                entry.shownAt = shownAt;
                entry.namedAt = std::max(entry.namedAt, shownAt);
                entry.refusalsOnly = entry.refusalsOnly && report.refusalsOnly;
                continue;
            }
        }
        entry.startedAt = report.startedAt;
        entry.perSecond = report.perSecond;
        entry.refusalsOnly = report.refusalsOnly;
        entry.shownAt = shownAt;
        entry.namedAt = shownAt;
        entry.learnedAt = isNewRun ? now : entry.learnedAt;
        entry.isOwn = false;
        if (before != entry.perSecond)
            changes.push_back({{server, report.startedAt}, before, entry.perSecond});
    }
    return changes;
}

ReportedLimit LimitTable::reportOf(const Entry &entry, TimePoint now)
{
    return {entry.startedAt, entry.perSecond, entry.refusalsOnly, now - entry.shownAt};
}

std::optional<ReportedLimit> LimitTable::report(const VmId &server, TimePoint now) const
{
    const auto found = m_entries.find(server);
    if (found == m_entries.end())
        return std::nullopt;
    return reportOf(found->second, now);
}

LimitNews LimitTable::news(TimePoint now)
{
    LimitNews news;
    auto next = m_entries.upper_bound(m_lastReported);
    for (std::size_t i = 0; i < m_entries.size(); ++i, ++next) {
        if (next == m_entries.end())
            next = m_entries.begin();
        if (!next->second.isOwn)
            continue;
        if (news.size() == LimitBounds::reportedByNode)
            break;
        news[next->first] = reportOf(next->second, now);
        m_lastReported = next->first;
    }
    return news;
}

std::size_t LimitTable::limitedCount(TimePoint now) const
{
    return static_cast<std::size_t>(
        std::count_if(m_entries.begin(), m_entries.end(),
                      [&](const auto &entry) { return limitOf(entry.second, now).has_value(); }));
}

void LimitTable::prune(const std::function<bool(const VmId &)> &isKnown, TimePoint now)
{
    std::erase_if(m_entries, [&](const auto &item) {
        const Entry &entry = item.second;
        const Duration age = now - entry.shownAt;
        if (!limitOf(entry, now))
            return age >= withdrawalMemory;
        return age >= unknownServerMemory && !isKnown(item.first);
    });
}

} // namespace bramleypitch
