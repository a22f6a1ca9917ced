// What a node tells the others of its quarantine table.

#include "request/quarantine_base.h"

#include <algorithm>
#include <set>

namespace bramleypitch {

namespace {

/// Older evidence is not passed on, so that nodes do not hand it back and forth.
constexpr Duration maxReportedAge {540'000};
constexpr std::size_t reportedRuns = 12; ///< Reports of crashes alone in one message.

/// A start in a list that differs from message to message, so that all entries are sent in time.
std::size_t rotatedStart(TimePoint now, std::size_t size)
{
    constexpr std::uint64_t factor = 0x9E3779B97F4A7C15U;
    return size == 0 ? 0 : ((static_cast<std::uint64_t>(milliseconds(now)) * factor) >> 32U) % size;
}

} // namespace

QuarantineNews QuarantineTable::news(TimePoint now) const
{
    struct Item
    {
        PromptPart part;
        const ServerRun *run;
        const Evidence *evidence;
        std::size_t runs;
    };
    QuarantineNews news;
    std::vector<Item> recent;
    std::vector<std::pair<PromptPart, const ServerRun *>> older;
    for (const auto &[key, evidence] : m_evidenceOrder) {
        const auto &[at, part, run] = key;
        if (evidence->isOwn && now - at < reportTime)
            recent.push_back({part, &run, evidence, m_evidence.at(part).size()});
        else if (now - at < maxReportedAge)
            older.emplace_back(part, &run);
    }
    const auto report = [&](PromptPart part, const ServerRun &run, const Evidence &evidence) {
        news.crashes.push_back({part, run, evidence.request, now - evidence.at});
    };
    std::stable_sort(recent.begin(), recent.end(), [](const Item &left, const Item &right) {
        return std::pair(std::min(left.runs, QuarantineLimits::rankedRuns), left.evidence->at)
            > std::pair(std::min(right.runs, QuarantineLimits::rankedRuns), right.evidence->at);
    });
    for (std::size_t i = 0; i < recent.size() && i < QuarantineLimits::reportedCrashes; ++i)
        report(recent[i].part, *recent[i].run, *recent[i].evidence);
    const std::size_t room = QuarantineLimits::reportedCrashes - news.crashes.size();
    const std::size_t start = rotatedStart(now, older.size());
    for (std::size_t i = 0; i < older.size() && i < room; ++i) {
        const auto &[part, run] = older[(start + i) % older.size()];
        report(part, *run, m_evidence.at(part).at(*run));
    }

    std::set<ServerRun, RunOrder> reported;
    for (const CrashEvidence &crash : news.crashes)
        reported.insert(crash.run);
    using CrashReport = decltype(m_crashOrder)::const_pointer;
    std::vector<CrashReport> others;
    std::vector<CrashReport> olderOthers;
    for (auto it = m_crashOrder.rbegin();
         it != m_crashOrder.rend() && now - it->first.first < maxReportedAge; ++it) {
        const auto &[key, crash] = *it;
        const bool isRecent = now - key.first < reportTime;
        // Nodes that blame other parts for the crash learn which one explains it.
        if (crash->isExplained && !isRecent)
            continue;
        if (!isRecent || crash->attempts == 0 || others.size() >= reportedRuns / 2)
            olderOthers.push_back(&*it);
        else if (!reported.count(key.second))
            others.push_back(&*it);
    }
    const std::size_t firstOther = rotatedStart(now, olderOthers.size());
    for (std::size_t i = 0; i < olderOthers.size() && others.size() < reportedRuns; ++i) {
        const CrashReport other = olderOthers[(firstOther + i) % olderOthers.size()];
        if (!reported.count(other->first.second))
            others.push_back(other);
    }
    news.crashes.resize(
        std::min(news.crashes.size(), QuarantineLimits::reportedCrashes - others.size()));
    for (const CrashReport report : others) {
        const auto &[key, crash] = *report;
        news.crashes.push_back(
            {crash->explainedBy, key.second, crash->explainedRequest, now - key.first});
    }

    for (const auto &[part, at] : m_accused) {
        const auto found = m_clearings.find(part);
        if (news.cleared.size() < QuarantineLimits::reportedParts && now - at < reportTime
            && found != m_clearings.end() && found->second.ownAt
            && now < *found->second.ownAt + protection(found->second.answers))
            news.cleared[part] = now - *found->second.ownAt;
    }

    std::vector<PromptPart> quarantined;
    for (const auto &[part, quarantine] : m_quarantines) {
        if (quarantine.until <= now)
            continue;
        quarantined.push_back(part);
        if (now - quarantine.since < reportTime
            && news.quarantined.size() < QuarantineLimits::reportedParts / 2)
            news.quarantined[part] = {quarantine.until - now, quarantine.times};
    }
    std::sort(quarantined.begin(), quarantined.end());
    const std::size_t first = rotatedStart(now, quarantined.size());
    for (std::size_t i = 0;
         i < quarantined.size() && news.quarantined.size() < QuarantineLimits::reportedParts; ++i) {
        const PromptPart part = quarantined[(first + i) % quarantined.size()];
        const Quarantine &quarantine = m_quarantines.at(part);
        news.quarantined[part] = {quarantine.until - now, quarantine.times};
    }
    return news;
}

} // namespace bramleypitch
