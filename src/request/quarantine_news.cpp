// What a node tells the others of its quarantine table.

#include "request/quarantine_base.h"

#include <algorithm>
#include <set>

namespace bramleypitch {

namespace {

/// Older evidence is not passed on, so that nodes do not hand it back and forth.
constexpr Duration maxReportedAge {540'000};
constexpr std::size_t reportedRuns = 12; ///< Reports of crashes alone in one message.
/// After so many reports of recent evidence comes one of other nodes, or of an older crash.
constexpr std::size_t recentReportsInTurn = 2;

/// Lets a list begin elsewhere in each message, so that all entries are sent in time.
template<typename Entry>
void rotate(std::vector<Entry> &list, TimePoint now)
{
    constexpr std::uint64_t factor = 0x9E3779B97F4A7C15U;
    const std::uint64_t start = (static_cast<std::uint64_t>(milliseconds(now)) * factor) >> 32U;
    if (!list.empty())
        std::rotate(list.begin(), list.begin() + static_cast<std::ptrdiff_t>(start % list.size()),
                    list.end());
}

} // namespace

QuarantineNews QuarantineTable::news(TimePoint now) const
{
    QuarantineNews news;
    const auto counts = runCounts();
    std::vector<std::pair<std::pair<std::size_t, TimePoint>, CrashEvidence>> recent;
    std::vector<CrashEvidence> repeated; // Against parts that were in several crashes.
    std::vector<CrashEvidence> older;
    std::vector<const Crashes::value_type *> newestFirst;
    for (const auto &item : m_crashes) {
        const auto &[run, crash] = item;
        newestFirst.push_back(&item);
        for (const auto &[part, evidence] : crash.parts) {
            if (!isCounted(crash, part, evidence))
                continue;
            const CrashEvidence report {part, run, evidence.request, now - evidence.at};
            const auto count = counts.find(part);
            const std::size_t rank =
                count == counts.end() ? 1 : std::min(count->second, QuarantineLimits::rankedRuns);
            if (evidence.isOwn && report.age < reportTime)
                recent.push_back({{rank, evidence.at}, report});
            else if (report.age < maxReportedAge)
                (rank > 1 ? repeated : older).push_back(report);
        }
    }
    std::stable_sort(recent.begin(), recent.end(),
                     [](const auto &left, const auto &right) { return left.first > right.first; });
    rotate(repeated, now);
    rotate(older, now);
    const auto report = [&](const CrashEvidence &evidence) {
        if (news.crashes.size() < QuarantineLimits::reportedCrashes)
            news.crashes.push_back(evidence);
    };
    // A node that starts again has forgotten also what it told the others.
    auto next = repeated.begin();
    for (std::size_t i = 1; i <= recent.size(); ++i) {
        report(recent[i - 1].second);
        if (i % recentReportsInTurn == 0 && next != repeated.end())
            report(*next++);
    }
    std::for_each(next, repeated.end(), report);
    std::for_each(older.begin(), older.end(), report);

    std::set<ServerRun, RunOrder> reported;
    for (const CrashEvidence &crash : news.crashes)
        reported.insert(crash.run);
    std::stable_sort(
        newestFirst.begin(), newestFirst.end(),
        [](const auto *left, const auto *right) { return left->second.at > right->second.at; });
    std::vector<CrashEvidence> others;
    std::vector<CrashEvidence> olderOthers;
    for (const auto *item : newestFirst) {
        const auto &[run, crash] = *item;
        const bool isRecent = now - crash.at < reportTime;
        // Nodes that blame other parts for the crash learn which one explains it.
        if (reported.count(run) || now - crash.at >= maxReportedAge
            || (crash.isExplained() && !isRecent))
            continue;
        const bool isUrgent = isRecent && crash.attempts > 0 && others.size() < reportedRuns / 2;
        (isUrgent ? others : olderOthers)
            .push_back({crash.explainedBy, run, crash.explainedRequest, now - crash.at});
    }
    rotate(olderOthers, now);
    olderOthers.resize(std::min(olderOthers.size(), reportedRuns - others.size()));
    others.insert(others.end(), olderOthers.begin(), olderOthers.end());
    news.crashes.resize(
        std::min(news.crashes.size(), QuarantineLimits::reportedCrashes - others.size()));
    news.crashes.insert(news.crashes.end(), others.begin(), others.end());

    for (const auto &[part, at] : m_accused) {
        const auto found = m_clearings.find(part);
        if (news.cleared.size() < QuarantineLimits::reportedParts && now - at < reportTime
            && found != m_clearings.end() && found->second.ownAt
            && now < *found->second.ownAt + protection(found->second.answers))
            news.cleared[part] = now - *found->second.ownAt;
    }

    std::vector<PromptPart> started;
    std::vector<PromptPart> quarantined;
    for (const auto &[part, quarantine] : m_quarantines) {
        if (quarantine.until <= now)
            continue;
        const bool isUrgent = now - quarantine.since < reportTime
            && started.size() < QuarantineLimits::reportedParts / 2;
        (isUrgent ? started : quarantined).push_back(part);
    }
    std::sort(quarantined.begin(), quarantined.end());
    rotate(quarantined, now);
    quarantined.resize(
        std::min(quarantined.size(), QuarantineLimits::reportedParts - started.size()));
    started.insert(started.end(), quarantined.begin(), quarantined.end());
    for (const PromptPart part : started) {
        const Quarantine &quarantine = m_quarantines.at(part);
        news.quarantined[part] = {quarantine.until - now, quarantine.times};
    }
    return news;
}

} // namespace bramleypitch
