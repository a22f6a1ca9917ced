#pragma once

#include "request/quarantine_case.h"

#include <deque>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <unordered_map>
#include <utility>
#include <vector>

namespace bramleypitch {

/// A part that has just been quarantined, with the evidence, for the log and the other nodes.
struct QuarantineDecision
{
    PromptPart part;
    QuarantinedPart quarantine;
    std::size_t runs = 0; ///< Runs of servers that ended. 0 if another node decided.
    std::size_t requests = 0; ///< Requests that these runs began to answer.
};

/// What is known of runs of servers from elsewhere.
struct QuarantineHooks
{
    /// When the run last sent something to any node; nothing if it is not known any more.
    std::function<std::optional<TimePoint>(const ServerRun &)> lastAlive;
    /// Whether the run is known to have ended: its server started again, left, or refuses
    /// connections.
    std::function<bool(const ServerRun &)> hasEnded;
    /// Whether this node, of all nodes, may send requests with the part while it is not certain
    /// that it is harmful. Always if not set.
    std::function<bool(PromptPart)> mayTry;
};

/// Finds the requests, and parts of prompts, that crash each server that begins to answer them
/// ("query of death", Beyer et al., "Site Reliability Engineering", 2016, chapter 22), and keeps
/// requests with them from further servers.
///
/// A whole request is quarantined if it ended three runs of servers and no other request was on all
/// of them. If that is not certain, as these ended together or with another request, one node tries
/// it once in a while: an answer clears it, a further crash is evidence against it alone. A server
/// that has been writing for a while may end for any cause: such crashes count only if they are too
/// many for chance, as those with a part of a prompt.
///
/// A quarantine ends after its time also while requests with the part keep coming, as nothing else
/// would show that the part is sound by now. Each node may then send requests with it until it
/// learns of the first server that crashes, so that a harmful part crashes a few servers once in
/// 10 minutes, later once in 2 hours.
class QuarantineTable
{
public:
    explicit QuarantineTable(QuarantineHooks hooks);

    /// An attempt that was sent broke off before its answer had been written for long. Counts only
    /// while the run of the server is not seen alive later.
    void onBroken(const PromptParts &parts, const ServerRun &run, std::uint64_t request,
                  TimePoint now);
    /// An answer ended so that the server may have crashed with it, or an attempt without an answer
    /// was given up, whose server was last known to live at `aliveAt`.
    void onDoubtfulEnd(const PromptParts &parts, const ServerRun &run, std::uint64_t request,
                       TimePoint now, ResponseEnd end = ResponseEnd::ConnectionClose,
                       std::optional<TimePoint> aliveAt = std::nullopt);
    /// A server completed an answer, or has been writing it for a while: the parts do not crash it.
    /// `isCounted` is false if the same answer was reported before.
    void onSound(const PromptParts &parts, TimePoint now, bool isCounted = true);

    /// A request is sent to a server. Returns whether it is one by which its suspected parts are
    /// tried. The next such request waits until it is known how this one ended.
    bool onDispatched(const PromptParts &parts, TimePoint now);

    /// Until when requests with any of the parts are not sent; nothing if they may be sent now. A
    /// request by which parts are tried is not held back by suspicions.
    std::optional<TimePoint> quarantinedUntil(const PromptParts &parts, TimePoint now,
                                              bool isTrial = false) const;
    bool isEmpty() const { return quarantinedCount() == 0; }

    /// What to tell the other nodes.
    QuarantineNews news(TimePoint now) const;
    void merge(const QuarantineNews &news, TimePoint now);
    /// Adopts a quarantine of another node, or one that is kept in the store.
    void restore(PromptPart part, const QuarantinedPart &quarantine, TimePoint now);
    /// Resolves doubtful ends, forgets what is old, and decides. Returns the parts that were
    /// quarantined since the last call.
    std::vector<QuarantineDecision> tick(TimePoint now);

    /// Whether there is evidence of this node's own since the last call.
    bool takeNewEvidence() { return std::exchange(m_hasNewEvidence, false); }
    /// Whole requests that are suspected since the last call.
    std::vector<PromptPart> takeSuspected() { return std::exchange(m_newSuspects, {}); }

    std::size_t suspectedCount() const { return m_suspects.size(); }
    std::size_t evidenceCount() const;
    std::size_t clearedCount() const { return m_clearings.size(); }
    std::size_t quarantinedCount() const;

private:
    /// Evidence of this age is reported first. Covers the loss of several messages.
    static constexpr Duration reportTime {10'000};

    /// How long answers protect their parts.
    static Duration protection(std::uint32_t answers);

    struct Evidence
    {
        TimePoint at; ///< When the attempt broke.
        std::uint64_t request = 0;
        bool isOwn = false; ///< The attempt was this node's.
    };

    /// The end of a run of a server, with what was in the requests that it had begun to answer.
    struct Crash
    {
        TimePoint at; ///< First break.
        TimePoint lastAt; ///< Last one, of this node if any was.
        std::uint32_t attempts = 0; ///< Of this node, that broke.
        PromptPart explainedBy = noPart; ///< A quarantined part that was in a request to the run.
        std::uint64_t explainedRequest = 0; ///< The request that had it.
        std::map<PromptPart, Evidence> parts;

        bool isExplained() const { return explainedBy != noPart; }
        /// Whether the crash is no evidence against a part that was in the given request. What a
        /// whole request explains may be the fault of one of its parts.
        bool explains(PromptPart part, std::uint64_t request) const;
        /// Other parts are not blamed for the crash.
        void explain(PromptPart by, std::uint64_t request);
        /// A crash breaks all attempts; earlier ones broke for other reasons.
        CrashTime time() const;
        CrashTime time(const Evidence &evidence) const;
    };
    using Crashes = std::map<ServerRun, Crash, RunOrder>;

    struct Clearing
    {
        TimePoint at; ///< When an answer last showed that the part is sound.
        TimePoint countedAt; ///< When `answers` last grew.
        std::uint32_t answers = 0; ///< Seconds with such answers, up to maxCountedAnswers.
        std::optional<TimePoint> ownAt; ///< The last one of them that was to this node.
        std::list<PromptPart>::iterator position; ///< In m_clearingOrder.
    };

    struct Quarantine
    {
        TimePoint since;
        TimePoint until; ///< An entry that has ended is kept to tell a repetition.
        std::uint32_t times = 0;
    };

    struct DoubtfulEnd
    {
        PromptParts parts;
        ServerRun run;
        std::uint64_t request = 0;
        TimePoint at; ///< A server that lives later did not end with it.
        TimePoint forgottenAt;
        ResponseEnd end = ResponseEnd::ConnectionClose;
    };

    using Case = QuarantineCase;

    bool isLive(const ServerRun &run, TimePoint brokenAt) const;
    bool isProtected(PromptPart part, TimePoint at) const;
    bool isQuarantined(PromptPart part, TimePoint now) const;
    /// Whether the evidence counts: no answer and no other part speaks against it.
    bool isCounted(const Crash &crash, PromptPart part, const Evidence &evidence) const;
    /// On how many of the runs that ended each part was, without those that were on one alone.
    std::unordered_map<PromptPart, std::size_t> runCounts() const;
    void recordBreak(const PromptParts &parts, const ServerRun &run, std::uint64_t request,
                     TimePoint at, TimePoint now);
    /// Returns null if the run showed a sign of life later.
    Crash *recordCrash(const ServerRun &run, TimePoint at);
    /// Drops what a later sign of life of the run contradicts. Returns the next crash.
    Crashes::iterator dropContradicted(Crashes::iterator crash);
    void addEvidence(Crash &crash, PromptPart part, const Evidence &evidence, TimePoint now);
    /// Forgets the oldest crashes beyond the limits.
    void limitCrashes();
    void clear(PromptPart part, TimePoint at, std::uint32_t answers, bool isOwn);
    void accuse(PromptPart part, TimePoint now);
    void startQuarantine(PromptPart part, Duration timeLeft, std::uint32_t times, std::size_t runs,
                         std::size_t requests, TimePoint now);
    void startQuarantine(const Case &item, TimePoint now);
    void resolveDoubtfulEnds(TimePoint now);
    /// Forgets what is old or contradicted.
    void forget(TimePoint now);
    void decide(TimePoint now);
    /// Quarantines one of the whole requests that alone explain their crashes, or suspects those
    /// for which that is not certain. Returns whether any was quarantined.
    bool decideWholeRequests(const std::vector<Case> &requests, const std::vector<Case> &parts,
                             TimePoint now);
    /// Quarantines a part that explains its crashes best, and those that explain the same ones as
    /// well. Returns whether any was quarantined.
    bool decideParts(const std::vector<Case> &parts, TimePoint now);
    /// All parts that may have caused crashes, those that are most suspect first.
    std::vector<Case> cases(TimePoint now) const;
    /// Evaluates the runs of a case. Returns whether the part may have caused the crashes.
    bool evaluate(Case &item, TimePoint now) const;
    /// Whether the crashes are too many for chance, given those without the part and the answers.
    bool isBeyondChance(const Case &suspected, std::size_t sum, TimePoint now) const;
    static bool isMature(TimePoint brokenAt, TimePoint now);

    QuarantineHooks m_hooks;
    Crashes m_crashes;
    std::list<DoubtfulEnd> m_doubtfulEnds;
    std::unordered_map<PromptPart, Clearing> m_clearings;
    std::list<PromptPart> m_clearingOrder; ///< Least recently cleared first.
    std::map<PromptPart, TimePoint> m_accused; ///< Protected parts that a peer last accused then.
    std::unordered_map<PromptPart, Quarantine> m_quarantines;
    std::map<PromptPart, TimePoint> m_suspects; ///< When each may be tried again.
    std::vector<PromptPart> m_newSuspects; ///< Not taken yet.
    std::vector<QuarantineDecision> m_decisions; ///< Since the last tick.
    bool m_hasNewEvidence = false;
    /// Completed answers to this node, by the start of the interval in which they were counted.
    std::deque<std::pair<TimePoint, std::uint64_t>> m_answers;
    TimePoint m_tickedAt;
    TimePoint m_decidedAt;
    TimePoint m_checkedCrashesAt; ///< When all were last compared with signs of life.
    std::optional<TimePoint> m_startedAt; ///< First call of tick().
};

} // namespace bramleypitch
