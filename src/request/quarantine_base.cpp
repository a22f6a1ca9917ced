#include "request/quarantine_base.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace bramleypitch {

namespace {

/// A run that sends something this long after a break did not end with it.
constexpr Duration livenessMargin {300};
/// How long a break waits for a sign of life of its run, and for the reports of other nodes on the
/// same run, before it counts.
constexpr Duration confirmationTime {2'000};
constexpr Duration fullCheckInterval {5'000};
constexpr Duration evidenceAge {600'000};
constexpr Duration doubtfulEndTime {5'000};
constexpr Duration relatedBreakTime {1'000};
/// Crashes of this time before the first one with a part also tell how common they are.
constexpr Duration comparedTime {30'000};
constexpr std::size_t maxDoubtfulEnds = 1'024;

/// Of a message between nodes.
constexpr Duration messageDelay {400};
/// All attempts at a server break within this time after its end.
constexpr Duration breakSpread {100};
/// Reports on one crash come within this time.
constexpr Duration crashReportTime = messageDelay + livenessMargin;
constexpr std::size_t decidingSum = 4;
constexpr std::size_t decidingRuns = 4;
constexpr std::size_t decidingRequests = 2;
/// Of a whole request, in any number of attempts.
constexpr std::size_t decidingRunsOfRequest = 3;
/// With so many, a whole request is not tried any more.
constexpr std::size_t certainRunsOfRequest = 5;
/// Longer than it takes to know how a trial ended.
constexpr Duration trialInterval {3'000};
/// Decides against all parts that occur in the same requests only, and beside many other crashes.
constexpr std::size_t doubtfulCaseSum = 6;
/// A part is blamed if the others crashed at most one in this many of its crashes...
constexpr std::size_t crashesPerOtherCrash = 2;
/// While its sum is below doubtfulCaseSum.
constexpr std::size_t crashesPerOtherCrashAtFirst = 4;
/// ... or if attempts break so rarely that chance explains its crashes with at most this
/// probability.
constexpr double chanceLimit = 1e-5;
constexpr Duration answerCountInterval {1'000};
constexpr std::size_t maxAnswerCounts = evidenceAge / answerCountInterval;
/// A node that starts learns first what the others know.
constexpr Duration settlingTime {3'000};

/// How long an answer protects its parts. Each further second with answers adds as much.
constexpr Duration protectionTime {60'000};
constexpr std::uint32_t maxCountedAnswers = 30;
constexpr Duration countedAnswerInterval {1'000};
constexpr std::size_t maxAccused = 256;

constexpr Duration firstQuarantine {600'000};
constexpr Duration longestQuarantine {7'200'000};

Duration quarantineDuration(std::uint32_t times)
{
    Duration duration = firstQuarantine;
    for (std::uint32_t i = 1; i < times && duration < longestQuarantine; ++i)
        duration *= 2;
    return std::min(duration, longestQuarantine);
}

} // namespace

QuarantineTable::QuarantineTable(QuarantineHooks hooks)
    : m_hooks(std::move(hooks))
{
}

void QuarantineTable::onBroken(const PromptParts &parts, const ServerRun &run,
                               std::uint64_t request, TimePoint now)
{
    recordBreak(parts, run, request, now, now);
}

void QuarantineTable::onDoubtfulEnd(const PromptParts &parts, const ServerRun &run,
                                    std::uint64_t request, TimePoint now, ResponseEnd end,
                                    std::optional<TimePoint> aliveAt)
{
    if (m_doubtfulEnds.size() >= maxDoubtfulEnds)
        m_doubtfulEnds.pop_front();
    m_doubtfulEnds.push_back(
        {parts, run, request, aliveAt.value_or(now), now + doubtfulEndTime, end});
}

void QuarantineTable::onSound(const PromptParts &parts, TimePoint now)
{
    if (m_answers.empty() || now - m_answers.back().first >= answerCountInterval)
        m_answers.emplace_back(now, 0);
    ++m_answers.back().second;
    if (m_answers.size() > maxAnswerCounts)
        m_answers.pop_front();
    for (const PromptPart part : parts)
        clear(part, now, 1, true);
}

bool QuarantineTable::onDispatched(const PromptParts &parts, TimePoint now)
{
    bool isTrial = false;
    for (const PromptPart part : parts) {
        const auto suspect = m_suspects.find(part);
        if (suspect == m_suspects.end())
            continue;
        suspect->second = now + trialInterval;
        isTrial = true;
    }
    return isTrial;
}

std::optional<TimePoint> QuarantineTable::quarantinedUntil(const PromptParts &parts, TimePoint now,
                                                           bool isTrial) const
{
    std::optional<TimePoint> until;
    if (m_quarantines.empty() && m_suspects.empty())
        return until;
    for (const PromptPart part : parts) {
        if (const auto found = m_quarantines.find(part);
            found != m_quarantines.end() && found->second.until > now)
            until = std::max(until.value_or(now), found->second.until);
        const auto suspect = m_suspects.find(part);
        if (isTrial || suspect == m_suspects.end())
            continue;
        if (now < suspect->second)
            until = std::max(until.value_or(now), suspect->second);
        else if (m_hooks.mayTry && !m_hooks.mayTry(part))
            until = std::max(until.value_or(now), now + trialInterval);
    }
    return until;
}

Duration QuarantineTable::protection(std::uint32_t answers)
{
    return protectionTime * std::clamp<std::uint32_t>(answers, 1, maxCountedAnswers);
}

void QuarantineTable::merge(const QuarantineNews &news, TimePoint now)
{
    for (const auto &[part, age] : news.cleared) {
        // A peer reports an answer only as long as it protects the part.
        const auto answers = 1 + std::max<std::int64_t>(0, age / protectionTime);
        clear(part, now - std::max(age, Duration(0)),
              static_cast<std::uint32_t>(std::min<std::int64_t>(answers, maxCountedAnswers)),
              false);
    }
    for (const auto &[part, quarantine] : news.quarantined)
        adopt(part, quarantine, now);
    for (const CrashEvidence &crash : news.crashes) {
        const TimePoint at = now - std::max(crash.age, Duration(0));
        if (now - at >= evidenceAge)
            continue;
        if (isProtected(crash.part, at))
            accuse(crash.part, now);
        recordCrash(crash.run, at);
        if (crash.part == noPart)
            continue;
        addEvidence(crash.part, crash.run, {at, crash.request, false}, now);
    }
}

void QuarantineTable::restore(PromptPart part, const QuarantinedPart &quarantine, TimePoint now)
{
    adopt(part, quarantine, now);
}

std::vector<QuarantineDecision> QuarantineTable::tick(TimePoint now)
{
    // Most signs of life come soon; a server that was unreachable may send one later.
    const bool isCheckingAll = now - m_checkedAllAt >= fullCheckInterval;
    if (isCheckingAll)
        m_checkedAllAt = now;
    eraseContradicted(now - (isCheckingAll ? evidenceAge : confirmationTime));
    resolveDoubtfulEnds(now);
    forgetOld(now);
    if (!m_startedAt)
        m_startedAt = now;
    if (now - *m_startedAt >= settlingTime)
        decide(now);
    return std::exchange(m_decisions, {});
}

bool QuarantineTable::isLive(const ServerRun &run, TimePoint brokenAt) const
{
    const std::optional<TimePoint> alive = m_hooks.lastAlive(run);
    return alive && *alive > brokenAt + livenessMargin;
}

bool QuarantineTable::isProtected(PromptPart part, TimePoint at) const
{
    const auto found = m_clearings.find(part);
    return found != m_clearings.end() && at < found->second.at + protection(found->second.answers);
}

bool QuarantineTable::isQuarantined(PromptPart part, TimePoint now) const
{
    const auto found = m_quarantines.find(part);
    return found != m_quarantines.end() && found->second.until > now;
}

const QuarantineTable::Quarantine *QuarantineTable::findQuarantine(PromptPart part) const
{
    const auto live = m_quarantines.find(part);
    if (live != m_quarantines.end())
        return &live->second;
    const auto ended = m_endedQuarantines.find(part);
    return ended != m_endedQuarantines.end() ? &ended->second : nullptr;
}

void QuarantineTable::recordBreak(const PromptParts &parts, const ServerRun &run,
                                  std::uint64_t request, TimePoint at, TimePoint now)
{
    if (isLive(run, at))
        return;
    recordCrash(run, at);
    if (const auto found = m_crashes.find(run); found != m_crashes.end()) {
        Crash &crash = found->second;
        ++crash.attempts;
        crash.lastAt = std::max(crash.lastAt, at);
    }
    const auto quarantined = std::find_if(
        parts.begin(), parts.end(), [&](PromptPart part) { return isQuarantined(part, now); });
    if (quarantined != parts.end()) {
        explain(run, *quarantined, request);
        return;
    }
    for (const PromptPart part : parts) {
        if (part != noPart)
            addEvidence(part, run, {at, request, true}, now);
    }
}

void QuarantineTable::recordCrash(const ServerRun &run, TimePoint at)
{
    const auto known = m_crashes.find(run);
    if (known != m_crashes.end() && at >= known->second.at
        && (at <= known->second.at + livenessMargin || !isLive(run, known->second.at)))
        return;
    if (isLive(run, at))
        return;
    const auto [found, isNew] = m_crashes.try_emplace(run, Crash {at, at});
    if (!isNew) {
        Crash &crash = found->second;
        if (at >= crash.at) {
            m_crashOrder.erase({crash.at, run});
            crash = {at, at};
        } else {
            // Of several reports on one crash, the earliest is the most exact.
            m_crashOrder.erase({crash.at, run});
            crash.at = at;
            if (crash.attempts == 0)
                crash.lastAt = at;
        }
    }
    m_crashOrder.emplace(std::pair(at, run), &found->second);
    if (m_crashes.size() > QuarantineLimits::evidence)
        eraseCrash(ServerRun(m_crashOrder.begin()->first.second));
}

void QuarantineTable::eraseCrash(const ServerRun &run)
{
    const auto found = m_crashes.find(run);
    if (found == m_crashes.end())
        return;
    m_crashOrder.erase({found->second.at, run});
    m_crashes.erase(found);
}

void QuarantineTable::addEvidence(PromptPart part, const ServerRun &run, const Evidence &evidence,
                                  TimePoint now)
{
    if (isProtected(part, evidence.at) || isLive(run, evidence.at))
        return;
    if (isQuarantined(part, now)) {
        explain(run, part, evidence.request);
        return;
    }
    const auto crash = m_crashes.find(run);
    if (crash != m_crashes.end() && crash->second.explains(part, evidence.request))
        return;
    const Quarantine *ended = findQuarantine(part);
    if (ended && evidence.at >= ended->until) {
        const std::uint32_t times = ended->times + 1;
        startQuarantine(part, quarantineDuration(times), times, 1, 1, now);
        explain(run, part, evidence.request);
        return;
    }
    RunEvidence &runs = m_evidence[part];
    const auto found = runs.find(run);
    if (found != runs.end()) {
        // Of several reports on one break, the earliest is the most exact.
        if (evidence.at >= found->second.at
            && (evidence.at <= found->second.at + livenessMargin || !isLive(run, found->second.at)))
            return;
        m_evidenceOrder.erase({found->second.at, part, run});
    }
    Evidence &kept = runs[run];
    kept = evidence;
    m_evidenceOrder.emplace(std::tuple(evidence.at, part, run), &kept);
    if (m_evidenceOrder.size() > QuarantineLimits::evidence) {
        const auto [at, oldPart, oldRun] = m_evidenceOrder.begin()->first;
        eraseEvidence(oldPart, oldRun);
    }
}

void QuarantineTable::eraseEvidence(PromptPart part, const ServerRun &run)
{
    const auto found = m_evidence.find(part);
    if (found == m_evidence.end())
        return;
    const auto item = found->second.find(run);
    if (item == found->second.end())
        return;
    m_evidenceOrder.erase({item->second.at, part, run});
    found->second.erase(item);
    if (found->second.empty())
        m_evidence.erase(found);
}

void QuarantineTable::eraseEvidenceUntil(PromptPart part, TimePoint until)
{
    const auto found = m_evidence.find(part);
    if (found == m_evidence.end())
        return;
    std::vector<ServerRun> runs;
    for (const auto &[run, evidence] : found->second) {
        if (evidence.at <= until)
            runs.push_back(run);
    }
    for (const ServerRun &run : runs)
        eraseEvidence(part, run);
}

bool QuarantineTable::Crash::explains(PromptPart part, std::uint64_t request) const
{
    return isExplained
        && (!isWholeRequest(explainedBy) || isWholeRequest(part) || request != explainedRequest);
}

void QuarantineTable::explain(const ServerRun &run, PromptPart by, std::uint64_t request)
{
    const Crash explained {{}, {}, true, by, request};
    const auto crash = m_crashes.find(run);
    if (crash != m_crashes.end()) {
        if (crash->second.explains(by, request))
            return;
        crash->second.isExplained = true;
        crash->second.explainedBy = by;
        crash->second.explainedRequest = request;
    }
    std::vector<PromptPart> parts;
    for (const auto &[part, runs] : m_evidence) {
        const auto evidence = runs.find(run);
        if (evidence != runs.end() && explained.explains(part, evidence->second.request))
            parts.push_back(part);
    }
    for (const PromptPart part : parts)
        eraseEvidence(part, run);
}

void QuarantineTable::clear(PromptPart part, TimePoint at, std::uint32_t answers, bool isOwn)
{
    const auto [found, isNew] = m_clearings.try_emplace(part);
    Clearing &clearing = found->second;
    if (isNew) {
        clearing.at = at;
        clearing.position = m_clearingOrder.insert(m_clearingOrder.end(), part);
    } else {
        m_clearingOrder.splice(m_clearingOrder.end(), m_clearingOrder, clearing.position);
    }
    if (!isOwn) {
        clearing.answers = std::max(clearing.answers, answers);
    } else if (clearing.answers == 0 || at - clearing.countedAt >= countedAnswerInterval) {
        clearing.answers = std::min(clearing.answers + 1, maxCountedAnswers);
        clearing.countedAt = at;
    }
    if (isOwn)
        clearing.ownAt = at;
    clearing.at = std::max(clearing.at, at);

    if (!m_evidence.empty())
        eraseEvidenceUntil(part, at);
    const auto quarantine = m_quarantines.find(part);
    if (quarantine != m_quarantines.end() && isProtected(part, quarantine->second.since))
        m_quarantines.erase(quarantine);
    if (!m_endedQuarantines.empty())
        m_endedQuarantines.erase(part);
    if (m_clearings.size() > QuarantineLimits::clearedParts) {
        m_clearings.erase(m_clearingOrder.front());
        m_clearingOrder.pop_front();
    }
}

void QuarantineTable::accuse(PromptPart part, TimePoint now)
{
    m_accused[part] = now;
    if (m_accused.size() > maxAccused) {
        m_accused.erase(std::min_element(
            m_accused.begin(), m_accused.end(),
            [](const auto &left, const auto &right) { return left.second < right.second; }));
    }
}

void QuarantineTable::startQuarantine(PromptPart part, Duration timeLeft, std::uint32_t times,
                                      std::size_t runs, std::size_t requests, TimePoint now)
{
    const auto earliest = [](auto &quarantines) {
        return std::min_element(quarantines.begin(), quarantines.end(),
                                [](const auto &left, const auto &right) {
                                    return left.second.until < right.second.until;
                                });
    };
    if (!m_quarantines.count(part) && m_quarantines.size() >= QuarantineLimits::quarantinedParts)
        m_quarantines.erase(earliest(m_quarantines));
    m_endedQuarantines.erase(part);
    const TimePoint until = now + timeLeft;
    m_quarantines[part] = {until - quarantineDuration(times), until, times};
    m_decisions.push_back({part, {timeLeft, times}, runs, requests});
    // Bounded also if nobody calls tick().
    if (m_decisions.size() > QuarantineLimits::quarantinedParts)
        m_decisions.erase(m_decisions.begin());

    const auto found = m_evidence.find(part);
    if (found == m_evidence.end())
        return;
    const RunEvidence explained = found->second;
    for (const auto &[run, evidence] : explained)
        explain(run, part, evidence.request);
}

bool QuarantineTable::adopt(PromptPart part, const QuarantinedPart &quarantine, TimePoint now)
{
    std::uint32_t times = std::max<std::uint32_t>(quarantine.times, 1);
    const Duration timeLeft = std::min(quarantine.timeLeft, quarantineDuration(times));
    if (timeLeft <= Duration(0))
        return false;
    const TimePoint since = now + timeLeft - quarantineDuration(times);
    if (isProtected(part, since)) {
        accuse(part, now);
        return false;
    }
    const Quarantine *known = findQuarantine(part);
    if (known) {
        // Of the same quarantine, the end that was learned first holds.
        if (times <= known->times && since <= known->until)
            return false;
        times = std::max(times, known->times);
    }
    startQuarantine(part, timeLeft, times, 0, 0, now);
    return true;
}

void QuarantineTable::resolveDoubtfulEnds(TimePoint now)
{
    for (auto end = m_doubtfulEnds.begin(); end != m_doubtfulEnds.end();) {
        const auto crash = m_crashes.find(end->run);
        const std::optional<TimePoint> alive = m_hooks.lastAlive(end->run);
        const bool hasAnswer = end->end != ResponseEnd::None;
        if (alive && *alive > end->at + livenessMargin) {
            if (hasAnswer)
                onSound(end->parts, now);
        } else if (m_hooks.hasEnded(end->run)
                   || (end->end == ResponseEnd::ConnectionClose && alive && isMature(end->at, now))
                   || (crash != m_crashes.end()
                       && std::chrono::abs(crash->second.at - end->at) <= relatedBreakTime)) {
            recordBreak(end->parts, end->run, end->request, end->at, now);
        } else if (now < end->forgottenAt) {
            ++end;
            continue;
        } else if (end->end == ResponseEnd::Framed) {
            onSound(end->parts, now);
        }
        end = m_doubtfulEnds.erase(end);
    }
}

void QuarantineTable::forgetOld(TimePoint now)
{
    while (!m_evidenceOrder.empty()
           && now - std::get<TimePoint>(m_evidenceOrder.begin()->first) >= evidenceAge) {
        const auto [at, part, run] = m_evidenceOrder.begin()->first;
        eraseEvidence(part, run);
    }
    while (!m_crashOrder.empty() && now - m_crashOrder.begin()->first.first >= evidenceAge)
        eraseCrash(ServerRun(m_crashOrder.begin()->first.second));
    std::erase_if(m_accused, [&](const auto &item) { return now - item.second >= reportTime; });
    for (auto it = m_quarantines.begin(); it != m_quarantines.end();) {
        if (it->second.until > now) {
            ++it;
            continue;
        }
        m_endedQuarantines.insert_or_assign(it->first, it->second);
        it = m_quarantines.erase(it);
    }
    while (m_endedQuarantines.size() > QuarantineLimits::quarantinedParts) {
        m_endedQuarantines.erase(std::min_element(m_endedQuarantines.begin(),
                                                  m_endedQuarantines.end(),
                                                  [](const auto &left, const auto &right) {
                                                      return left.second.until < right.second.until;
                                                  }));
    }
}

void QuarantineTable::eraseContradicted(TimePoint since)
{
    std::vector<std::pair<PromptPart, ServerRun>> contradicted;
    std::map<ServerRun, std::optional<TimePoint>, RunOrder> alive;
    for (auto it = m_evidenceOrder.lower_bound({since, PromptPart(), ServerRun()});
         it != m_evidenceOrder.end(); ++it) {
        const auto &[at, part, run] = it->first;
        const auto [found, isNew] = alive.try_emplace(run);
        if (isNew)
            found->second = m_hooks.lastAlive(run);
        if (found->second && *found->second > at + livenessMargin)
            contradicted.emplace_back(part, run);
    }
    for (const auto &[part, run] : contradicted)
        eraseEvidence(part, run);
    std::vector<ServerRun> liveRuns;
    for (auto it = m_crashOrder.lower_bound({since, ServerRun()}); it != m_crashOrder.end(); ++it) {
        const auto &[at, run] = it->first;
        if (isLive(run, at))
            liveRuns.push_back(run);
    }
    for (const ServerRun &run : liveRuns) {
        const Crash crash = m_crashes.at(run);
        eraseCrash(run);
        // An earlier break does not hide the crash.
        if (crash.attempts > 0 && crash.lastAt > crash.at && !isLive(run, crash.lastAt)) {
            recordCrash(run, crash.lastAt);
            m_crashes.at(run).attempts = crash.attempts;
            m_crashes.at(run).isExplained = crash.isExplained;
            m_crashes.at(run).explainedBy = crash.explainedBy;
            m_crashes.at(run).explainedRequest = crash.explainedRequest;
        }
    }
}

bool QuarantineTable::isMature(TimePoint brokenAt, TimePoint now)
{
    return now - brokenAt >= confirmationTime;
}

CrashTime QuarantineTable::crashTime(const ServerRun &run, const Evidence &evidence) const
{
    // All parts in one crash get its time as it is known best, so that they can be compared.
    const auto crash = m_crashes.find(run);
    if (crash == m_crashes.end() || evidence.at > crash->second.at + crashReportTime)
        return {evidence.isOwn ? evidence.at : evidence.at - messageDelay, evidence.at};
    return crashTime(crash->second);
}

CrashTime QuarantineTable::crashTime(const Crash &crash)
{
    if (crash.attempts == 0)
        return {crash.at - messageDelay, crash.at};
    // A crash breaks all attempts; earlier ones broke for other reasons.
    const TimePoint last = std::min(crash.lastAt, crash.at + crashReportTime);
    return {std::max(crash.at, last - breakSpread), last};
}

bool QuarantineTable::isBeyondChance(const Case &suspected, std::size_t sum, TimePoint now) const
{
    TimePoint firstCrash = now;
    for (const auto &[run, time] : suspected.runs)
        firstCrash = std::min(firstCrash, time.latest);
    std::vector<CrashTime> others;
    const auto begin = m_crashOrder.lower_bound({firstCrash - comparedTime, ServerRun()});
    for (auto it = begin; it != m_crashOrder.end() && isMature(it->first.first, now); ++it) {
        const auto &[at, run] = it->first;
        const Crash &crash = *it->second;
        if (!crash.isExplained && !suspected.runs.count(run))
            others.push_back(crashTime(crash));
    }
    const bool isSumHigh = sum >= doubtfulCaseSum;
    if ((isSumHigh ? crashesPerOtherCrash : crashesPerOtherCrashAtFirst)
            * groupedCount(std::move(others))
        <= sum)
        return true;
    if (!isSumHigh)
        return false;

    // Breaks may have become common shortly before, so several periods are compared.
    for (const Duration before : {Duration(0), comparedTime / 3, comparedTime}) {
        const TimePoint since = firstCrash - before;
        std::uint64_t broken = 1;
        for (auto it = m_crashOrder.lower_bound({since, ServerRun()}); it != m_crashOrder.end();
             ++it) {
            const Crash &crash = *it->second;
            if (crash.isExplained || crash.attempts == 0)
                continue;
            // If the part is sound, the others on its runs broke by chance, too.
            broken += crash.attempts - (suspected.runs.count(it->first.second) ? 1 : 0);
        }
        // Few breaks tell little: two standard deviations more may be usual.
        const double usual =
            static_cast<double>(broken) + 2 * std::sqrt(static_cast<double>(broken));
        std::uint64_t answered = 0;
        for (auto it = m_answers.rbegin(); it != m_answers.rend() && it->first >= since; ++it)
            answered += it->second;
        const double breakProbability = usual / (usual + static_cast<double>(answered));
        if (std::pow(breakProbability, static_cast<double>(sum)) > chanceLimit)
            return false;
    }
    return true;
}

std::vector<QuarantineTable::Case> QuarantineTable::cases(TimePoint now) const
{
    std::vector<Case> cases;
    for (const auto &[part, runs] : m_evidence) {
        const bool isWhole = isWholeRequest(part);
        if (runs.size() < (isWhole ? decidingRunsOfRequest : decidingRuns)
            || isProtected(part, now))
            continue;
        Case found;
        found.part = part;
        std::vector<CrashTime> times;
        std::vector<CrashTime> matureTimes;
        std::set<std::uint64_t> requests;
        std::set<std::uint64_t> matureRequests;
        for (const auto &[run, evidence] : runs) {
            const CrashTime time = crashTime(run, evidence);
            found.runs.emplace(run, time);
            times.push_back(time);
            requests.insert(evidence.request);
            if (!isMature(time.latest, now))
                continue;
            matureTimes.push_back(time);
            matureRequests.insert(evidence.request);
        }
        if (!isWhole && requests.size() < decidingRequests)
            continue;
        found.matureRuns = matureTimes.size();
        found.matureRequests = matureRequests.size();
        found.sum = groupedCount(std::move(times));
        found.matureSum = groupedCount(std::move(matureTimes));
        if (isWhole) {
            found.isMature = found.matureRuns >= decidingRunsOfRequest;
            cases.push_back(std::move(found));
            continue;
        }
        const bool isComplete = found.matureRuns == runs.size();
        if ((isComplete && found.sum < decidingSum) || !isBeyondChance(found, found.sum, now))
            continue;
        found.isMature = found.matureSum >= decidingSum && found.matureRuns >= decidingRuns
            && found.matureRequests >= decidingRequests
            && (found.matureSum == found.sum || isBeyondChance(found, found.matureSum, now));
        if (found.isMature || !isComplete)
            cases.push_back(std::move(found));
    }
    std::sort(cases.begin(), cases.end(), [](const Case &left, const Case &right) {
        return std::tuple(right.sum, right.runs.size(), left.part)
            < std::tuple(left.sum, left.runs.size(), right.part);
    });
    return cases;
}

bool QuarantineTable::isDoubtful(const Case &item) const
{
    if (item.matureRuns >= certainRunsOfRequest)
        return false;
    return item.matureSum < decidingRunsOfRequest
        || std::any_of(m_evidence.begin(), m_evidence.end(), [&](const auto &other) {
               return isWholeRequest(other.first) && other.first != item.part
                   && std::all_of(item.runs.begin(), item.runs.end(), [&](const auto &run) {
                          return other.second.count(run.first) > 0;
                      });
           });
}

bool QuarantineTable::wasInRequest(PromptPart part, PromptPart wholeRequest) const
{
    const RunEvidence &runs = m_evidence.at(part);
    const RunEvidence &runsOfRequest = m_evidence.at(wholeRequest);
    return std::any_of(runs.begin(), runs.end(), [&](const auto &evidence) {
        const auto other = runsOfRequest.find(evidence.first);
        return other != runsOfRequest.end() && other->second.request == evidence.second.request;
    });
}

bool QuarantineTable::decideWholeRequests(const std::vector<Case> &requests,
                                          const std::vector<Case> &parts, TimePoint now)
{
    std::set<PromptPart> suspects;
    for (const Case &item : requests) {
        // A harmful part ends servers with different requests.
        const bool isForItsPart = std::any_of(parts.begin(), parts.end(), [&](const Case &part) {
            return compareExplained(part, item) > 0 && wasInRequest(part.part, item.part);
        });
        if (!item.isMature || isForItsPart)
            continue;
        if (!isDoubtful(item)) {
            startQuarantine(item.part, quarantineDuration(1), 1, item.matureRuns,
                            item.matureRequests, now);
            return true;
        }
        suspects.insert(item.part);
    }
    std::erase_if(m_suspects, [&](const auto &suspect) { return !suspects.count(suspect.first); });
    for (const PromptPart part : suspects) {
        if (m_suspects.try_emplace(part, now).second
            && m_newSuspects.size() < QuarantineLimits::quarantinedParts)
            m_newSuspects.push_back(part);
    }
    return false;
}

void QuarantineTable::decide(TimePoint now)
{
    // Each quarantine explains runs, so that less remains for the other parts.
    for (bool hasDecided = true; hasDecided;) {
        hasDecided = false;
        std::vector<Case> requests = cases(now);
        const auto firstPart =
            std::stable_partition(requests.begin(), requests.end(),
                                  [](const Case &item) { return isWholeRequest(item.part); });
        std::vector<Case> found(std::make_move_iterator(firstPart),
                                std::make_move_iterator(requests.end()));
        requests.erase(firstPart, requests.end());
        if (decideWholeRequests(requests, found, now)) {
            hasDecided = true;
            continue;
        }
        std::erase_if(found, [&](const Case &item) {
            return std::any_of(requests.begin(), requests.end(), [&](const Case &other) {
                return shareRuns(other, item) && compareExplained(other, item) >= 0
                    && !wasInRequest(item.part, other.part);
            });
        });
        const auto blame = [&](const Case &item) {
            startQuarantine(item.part, quarantineDuration(1), 1, item.matureRuns,
                            item.matureRequests, now);
            hasDecided = true;
        };
        const auto isBeaten = [&](const Case &item) {
            return std::any_of(found.begin(), found.end(), [&](const Case &other) {
                return compareExplained(other, item) > 0;
            });
        };
        const auto isContradicted = [&](const Case *item) {
            const RunEvidence &runs = m_evidence.at(item->part);
            return std::any_of(runs.begin(), runs.end(), [&](const auto &evidence) {
                return isLive(evidence.first, evidence.second.at);
            });
        };
        bool areAllBeaten = !found.empty();
        for (auto it = found.begin(); it != found.end() && !hasDecided; ++it) {
            if (isBeaten(*it))
                continue;
            areAllBeaten = false;
            if (!it->isMature)
                continue;
            std::vector<const Case *> blamed {&*it};
            for (const Case &other : found) {
                if (&other != &*it && shareRuns(other, *it) && compareExplained(other, *it) == 0)
                    blamed.push_back(&other);
            }
            if (blamed.size() > 1 && it->matureSum < doubtfulCaseSum)
                continue;
            if (std::any_of(blamed.begin(), blamed.end(), isContradicted)) {
                eraseContradicted(now - evidenceAge);
                return;
            }
            for (const Case *item : blamed)
                blame(*item);
        }
        // Each may explain more than the next one, in a circle.
        if (areAllBeaten && found.front().isMature && !isContradicted(&found.front()))
            blame(found.front());
    }
}

} // namespace bramleypitch
