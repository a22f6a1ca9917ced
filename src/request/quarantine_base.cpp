#include "request/quarantine_base.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <numeric>
#include <set>
#include <tuple>

namespace bramleypitch {

namespace {

/// A run that sends something this long after a break did not end with it.
constexpr Duration livenessMargin {300};
/// How long a break waits for a sign of life of its run, and for the reports of other nodes on the
/// same run, before it counts.
constexpr Duration confirmationTime {2'000};
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
/// A part that rode along with a whole request is blamed if it explains so many crashes more.
/// Reports on one of the crashes may still be under way.
constexpr std::size_t leadOfPart = 2;
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
constexpr Duration decisionInterval {100};
constexpr Duration crashCheckInterval {1'000};
/// A node that starts learns first what the others know. From 3 s after its start on it must keep
/// quarantined requests back itself.
constexpr Duration settlingTime {2'500};

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

/// Fewer runs are no case.
std::size_t minRuns(PromptPart part)
{
    return isWholeRequest(part) ? decidingRunsOfRequest : decidingRuns;
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

void QuarantineTable::onSound(const PromptParts &parts, TimePoint now, bool isCounted)
{
    if (m_answers.empty() || now - m_answers.back().first >= answerCountInterval)
        m_answers.emplace_back(now, 0);
    m_answers.back().second += isCounted ? 1 : 0;
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
        restore(part, quarantine, now);
    for (const CrashEvidence &crash : news.crashes) {
        const TimePoint at = now - std::max(crash.age, Duration(0));
        if (now - at >= evidenceAge)
            continue;
        if (isProtected(crash.part, at))
            accuse(crash.part, now);
        Crash *found = recordCrash(crash.run, at);
        if (found && crash.part != noPart)
            addEvidence(*found, crash.part, {at, crash.request, false}, now);
    }
    limitCrashes();
}

std::vector<QuarantineDecision> QuarantineTable::tick(TimePoint now)
{
    m_tickedAt = now;
    if (!m_startedAt)
        m_startedAt = now;
    resolveDoubtfulEnds(now);
    forget(now);
    if (now - m_decidedAt >= decisionInterval) {
        m_decidedAt = now;
        if (now - *m_startedAt >= settlingTime)
            decide(now);
    }
    return std::exchange(m_decisions, {});
}

std::size_t QuarantineTable::evidenceCount() const
{
    return std::accumulate(
        m_crashes.begin(), m_crashes.end(), std::size_t {0},
        [](std::size_t sum, const auto &item) { return sum + item.second.parts.size(); });
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

std::size_t QuarantineTable::quarantinedCount() const
{
    return static_cast<std::size_t>(
        std::count_if(m_quarantines.begin(), m_quarantines.end(),
                      [this](const auto &item) { return item.second.until > m_tickedAt; }));
}

bool QuarantineTable::isCounted(const Crash &crash, PromptPart part, const Evidence &evidence) const
{
    return !crash.explains(part, evidence.request) && !isProtected(part, evidence.at);
}

std::unordered_map<PromptPart, std::size_t> QuarantineTable::runCounts() const
{
    std::vector<PromptPart> parts;
    for (const auto &[run, crash] : m_crashes) {
        for (const auto &[part, evidence] : crash.parts)
            parts.push_back(part);
    }
    std::sort(parts.begin(), parts.end());
    std::unordered_map<PromptPart, std::size_t> counts;
    for (auto first = parts.begin(); first != parts.end();) {
        const auto last = std::find_if(first, parts.end(),
                                       [part = *first](PromptPart other) { return other != part; });
        if (last - first > 1)
            counts.emplace(*first, last - first);
        first = last;
    }
    return counts;
}

void QuarantineTable::recordBreak(const PromptParts &parts, const ServerRun &run,
                                  std::uint64_t request, TimePoint at, TimePoint now)
{
    Crash *crash = recordCrash(run, at);
    if (!crash)
        return;
    ++crash->attempts;
    crash->lastAt = std::max(crash->lastAt, at);
    const auto quarantined = std::find_if(
        parts.begin(), parts.end(), [&](PromptPart part) { return isQuarantined(part, now); });
    if (quarantined != parts.end()) {
        crash->explain(*quarantined, request);
    } else {
        for (const PromptPart part : parts) {
            if (part != noPart)
                addEvidence(*crash, part, {at, request, true}, now);
        }
    }
    limitCrashes();
}

QuarantineTable::Crash *QuarantineTable::recordCrash(const ServerRun &run, TimePoint at)
{
    if (isLive(run, at))
        return nullptr;
    if (const auto known = m_crashes.find(run); known != m_crashes.end())
        dropContradicted(known);
    Crash &crash = m_crashes.try_emplace(run, Crash {at, at}).first->second;
    if (at < crash.at) {
        // Of several reports on one crash, the earliest is the most exact.
        crash.at = at;
        if (crash.attempts == 0)
            crash.lastAt = at;
    }
    return &crash;
}

QuarantineTable::Crashes::iterator QuarantineTable::dropContradicted(Crashes::iterator found)
{
    auto &[run, crash] = *found;
    const std::optional<TimePoint> alive = m_hooks.lastAlive(run);
    if (!alive || *alive <= crash.at + livenessMargin)
        return std::next(found);
    const TimePoint since = *alive - livenessMargin; // Later breaks stand.
    std::erase_if(crash.parts, [&](const auto &item) { return item.second.at < since; });
    if (crash.lastAt < since)
        crash.attempts = 0;
    TimePoint at = crash.attempts > 0 ? crash.lastAt : TimePoint::max();
    for (const auto &[part, evidence] : crash.parts)
        at = std::min(at, evidence.at);
    if (at == TimePoint::max())
        return m_crashes.erase(found);
    crash.at = at;
    if (crash.attempts == 0)
        crash.lastAt = at;
    return std::next(found);
}

void QuarantineTable::addEvidence(Crash &crash, PromptPart part, const Evidence &evidence,
                                  TimePoint now)
{
    if (isProtected(part, evidence.at))
        return;
    if (isQuarantined(part, now)) {
        crash.explain(part, evidence.request);
        return;
    }
    if (crash.explains(part, evidence.request))
        return;
    const auto ended = m_quarantines.find(part);
    if (ended != m_quarantines.end() && evidence.at >= ended->second.until) {
        const std::uint32_t times = ended->second.times + 1;
        startQuarantine(part, quarantineDuration(times), times, 1, 1, now);
        crash.explain(part, evidence.request);
        return;
    }
    const auto known = crash.parts.find(part);
    if (known != crash.parts.end()) {
        // Of several reports on one break, the earliest is the most exact.
        if (evidence.at < known->second.at)
            known->second = evidence;
    } else if (crash.parts.size() < QuarantineLimits::partsOfCrash) {
        crash.parts.emplace(part, evidence);
        m_hasNewEvidence = m_hasNewEvidence || evidence.isOwn;
    }
}

void QuarantineTable::limitCrashes()
{
    std::size_t evidence = evidenceCount();
    while (m_crashes.size() > QuarantineLimits::evidence || evidence > QuarantineLimits::evidence) {
        const auto oldest = std::min_element(
            m_crashes.begin(), m_crashes.end(),
            [](const auto &left, const auto &right) { return left.second.at < right.second.at; });
        evidence -= oldest->second.parts.size();
        m_crashes.erase(oldest);
    }
}

bool QuarantineTable::Crash::explains(PromptPart part, std::uint64_t request) const
{
    return isExplained()
        && (!isWholeRequest(explainedBy) || isWholeRequest(part) || request != explainedRequest);
}

void QuarantineTable::Crash::explain(PromptPart by, std::uint64_t request)
{
    if (explains(by, request))
        return;
    explainedBy = by;
    explainedRequest = request;
}

CrashTime QuarantineTable::Crash::time() const
{
    if (attempts == 0)
        return {at - messageDelay, at};
    const TimePoint last = std::min(lastAt, at + crashReportTime);
    return {std::max(at, last - breakSpread), last};
}

CrashTime QuarantineTable::Crash::time(const Evidence &evidence) const
{
    // All parts in one crash get its time as it is known best, so that they can be compared.
    if (evidence.at <= at + crashReportTime)
        return time();
    return {evidence.isOwn ? evidence.at : evidence.at - messageDelay, evidence.at};
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

    m_suspects.erase(part);
    const auto quarantine = m_quarantines.find(part);
    if (quarantine != m_quarantines.end() && isProtected(part, quarantine->second.since))
        m_quarantines.erase(quarantine);
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
    if (!m_quarantines.count(part) && m_quarantines.size() >= QuarantineLimits::quarantinedParts) {
        m_quarantines.erase(std::min_element(m_quarantines.begin(), m_quarantines.end(),
                                             [](const auto &left, const auto &right) {
                                                 return left.second.until < right.second.until;
                                             }));
    }
    const TimePoint until = now + timeLeft;
    m_quarantines[part] = {until - quarantineDuration(times), until, times};
    m_decisions.push_back({part, {timeLeft, times}, runs, requests});
    // Bounded also if nobody calls tick().
    if (m_decisions.size() > QuarantineLimits::quarantinedParts)
        m_decisions.erase(m_decisions.begin());

    for (auto &[run, crash] : m_crashes) {
        const auto evidence = crash.parts.find(part);
        if (evidence != crash.parts.end() && isCounted(crash, part, evidence->second))
            crash.explain(part, evidence->second.request);
    }
}

void QuarantineTable::startQuarantine(const Case &item, TimePoint now)
{
    startQuarantine(item.part, quarantineDuration(1), 1, item.matureRuns, item.matureRequests, now);
}

void QuarantineTable::restore(PromptPart part, const QuarantinedPart &quarantine, TimePoint now)
{
    std::uint32_t times = std::max<std::uint32_t>(quarantine.times, 1);
    const Duration timeLeft = std::min(quarantine.timeLeft, quarantineDuration(times));
    if (timeLeft <= Duration(0))
        return;
    const TimePoint since = now + timeLeft - quarantineDuration(times);
    if (isProtected(part, since)) {
        accuse(part, now);
        return;
    }
    const auto known = m_quarantines.find(part);
    if (known != m_quarantines.end()) {
        // Of the same quarantine, the end that was learned first holds.
        if (times <= known->second.times && since <= known->second.until)
            return;
        times = std::max(times, known->second.times);
    }
    startQuarantine(part, timeLeft, times, 0, 0, now);
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

void QuarantineTable::forget(TimePoint now)
{
    if (now - m_checkedCrashesAt >= crashCheckInterval) {
        m_checkedCrashesAt = now;
        std::erase_if(m_crashes,
                      [&](const auto &item) { return now - item.second.at >= evidenceAge; });
        for (auto crash = m_crashes.begin(); crash != m_crashes.end();)
            crash = dropContradicted(crash);
    }
    std::erase_if(m_accused, [&](const auto &item) { return now - item.second >= reportTime; });
}

bool QuarantineTable::isMature(TimePoint brokenAt, TimePoint now)
{
    return now - brokenAt >= confirmationTime;
}

bool QuarantineTable::isBeyondChance(const Case &suspected, std::size_t sum, TimePoint now) const
{
    TimePoint firstCrash = now;
    for (const auto &[run, item] : suspected.runs)
        firstCrash = std::min(firstCrash, item.time.latest);
    std::vector<CrashTime> others;
    for (const auto &[run, crash] : m_crashes) {
        if (crash.at >= firstCrash - comparedTime && isMature(crash.at, now) && !crash.isExplained()
            && !suspected.runs.count(run))
            others.push_back(crash.time());
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
        for (const auto &[run, crash] : m_crashes) {
            if (crash.at < since || crash.isExplained() || crash.attempts == 0)
                continue;
            // If the part is sound, the others on its runs broke by chance, too.
            broken += crash.attempts - (suspected.runs.count(run) ? 1 : 0);
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
    const auto counts = runCounts();
    std::map<PromptPart, Case> byPart;
    for (const auto &[run, crash] : m_crashes) {
        for (const auto &[part, evidence] : crash.parts) {
            const auto count = counts.find(part);
            if (count == counts.end() || count->second < minRuns(part)
                || !isCounted(crash, part, evidence) || isLive(run, evidence.at))
                continue;
            Case &item = byPart[part];
            item.part = part;
            item.runs.emplace(run, Case::Run {crash.time(evidence), evidence.request});
        }
    }
    std::vector<Case> cases;
    for (auto &[part, item] : byPart) {
        if (item.runs.size() >= minRuns(part) && evaluate(item, now))
            cases.push_back(std::move(item));
    }
    std::sort(cases.begin(), cases.end(), [](const Case &left, const Case &right) {
        return std::tuple(right.sum, right.runs.size(), left.part)
            < std::tuple(left.sum, left.runs.size(), right.part);
    });
    return cases;
}

bool QuarantineTable::evaluate(Case &item, TimePoint now) const
{
    std::vector<CrashTime> times;
    std::vector<CrashTime> matureTimes;
    std::set<std::uint64_t> requests;
    std::set<std::uint64_t> matureRequests;
    for (const auto &[run, evidence] : item.runs) {
        times.push_back(evidence.time);
        requests.insert(evidence.request);
        if (!isMature(evidence.time.latest, now))
            continue;
        matureTimes.push_back(evidence.time);
        matureRequests.insert(evidence.request);
    }
    item.matureRuns = matureTimes.size();
    item.matureRequests = matureRequests.size();
    item.sum = groupedCount(std::move(times));
    item.matureSum = groupedCount(std::move(matureTimes));
    if (isWholeRequest(item.part)) {
        item.isMature = item.matureRuns >= decidingRunsOfRequest;
        return !isLateBreak(item.part) || isBeyondChance(item, item.sum, now);
    }
    const bool isComplete = item.matureRuns == item.runs.size();
    if (requests.size() < decidingRequests || (isComplete && item.sum < decidingSum)
        || !isBeyondChance(item, item.sum, now))
        return false;
    item.isMature = item.matureSum >= decidingSum && item.matureRuns >= decidingRuns
        && item.matureRequests >= decidingRequests
        && (item.matureSum == item.sum || isBeyondChance(item, item.matureSum, now));
    return item.isMature || !isComplete;
}

bool QuarantineTable::decideWholeRequests(const std::vector<Case> &requests,
                                          const std::vector<Case> &parts, TimePoint now)
{
    // Its servers ended together, or another request was on all of them.
    const auto isDoubtful = [&](const Case &item) {
        return item.matureRuns < certainRunsOfRequest
            && (item.matureSum < decidingRunsOfRequest
                || std::any_of(requests.begin(), requests.end(), [&](const Case &other) {
                       return other.part != item.part && wasOnAllRuns(other, item);
                   }));
    };
    std::set<PromptPart> suspects;
    for (const Case &item : requests) {
        // A harmful part ends servers with different requests.
        const bool isForItsPart = std::any_of(parts.begin(), parts.end(), [&](const Case &part) {
            return compareExplained(part, item) > 0 && wasInRequest(part, item);
        });
        if (!item.isMature || isForItsPart)
            continue;
        if (!isDoubtful(item)) {
            startQuarantine(item, now);
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

bool QuarantineTable::decideParts(const std::vector<Case> &parts, TimePoint now)
{
    bool areAllBeaten = !parts.empty();
    for (const Case &item : parts) {
        if (std::any_of(parts.begin(), parts.end(),
                        [&](const Case &other) { return compareExplained(other, item) > 0; }))
            continue;
        areAllBeaten = false;
        std::vector<const Case *> blamed;
        for (const Case &other : parts) {
            if (shareRuns(other, item) && compareExplained(other, item) == 0)
                blamed.push_back(&other);
        }
        if (!item.isMature || (blamed.size() > 1 && item.matureSum < doubtfulCaseSum))
            continue;
        for (const Case *other : blamed)
            startQuarantine(*other, now);
        return true;
    }
    // Each may explain more than the next one, in a circle.
    if (!areAllBeaten || !parts.front().isMature)
        return false;
    startQuarantine(parts.front(), now);
    return true;
}

void QuarantineTable::decide(TimePoint now)
{
    // Each quarantine explains runs, so that less remains for the other parts.
    for (bool hasDecided = true; hasDecided;) {
        std::vector<Case> requests = cases(now);
        const auto firstPart =
            std::stable_partition(requests.begin(), requests.end(),
                                  [](const Case &item) { return isWholeRequest(item.part); });
        std::vector<Case> parts(std::make_move_iterator(firstPart),
                                std::make_move_iterator(requests.end()));
        requests.erase(firstPart, requests.end());
        hasDecided = decideWholeRequests(requests, parts, now);
        if (hasDecided)
            continue;
        std::erase_if(parts, [&](const Case &item) {
            return std::any_of(requests.begin(), requests.end(), [&](const Case &other) {
                return shareRuns(other, item) && !wasInRequest(item, other)
                    && groupedCount(runsWithout(item, other))
                    < groupedCount(runsWithout(other, item)) + leadOfPart;
            });
        });
        hasDecided = decideParts(parts, now);
    }
}

} // namespace bramleypitch
