#pragma once

#include "request/quarantine_case.h"

#include <compare>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <tuple>
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
/// it once in a while: an answer clears it, a further crash is evidence against it alone.
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
    /// A server completed an answer, or has been writing it for a while: no part crashes it.
    void onSound(const PromptParts &parts, TimePoint now);

    /// A request is sent to a server. Returns whether it is one by which its suspected parts are
    /// tried. The next such request waits until it is known how this one ended.
    bool onDispatched(const PromptParts &parts, TimePoint now);

    /// Until when requests with any of the parts are not sent; nothing if they may be sent now. A
    /// request by which parts are tried is not held back by suspicions.
    std::optional<TimePoint> quarantinedUntil(const PromptParts &parts, TimePoint now,
                                              bool isTrial = false) const;
    bool isEmpty() const { return m_quarantines.empty(); }

    /// What to tell the other nodes.
    QuarantineNews news(TimePoint now) const;
    void merge(const QuarantineNews &news, TimePoint now);
    /// Adopts a quarantine that is kept in the store.
    void restore(PromptPart part, const QuarantinedPart &quarantine, TimePoint now);
    /// Resolves doubtful ends, forgets what is old, and decides. Returns the parts that were
    /// quarantined since the last call.
    std::vector<QuarantineDecision> tick(TimePoint now);

    /// Whole requests that are suspected since the last call.
    std::vector<PromptPart> takeSuspected() { return std::exchange(m_newSuspects, {}); }

    std::size_t suspectedCount() const { return m_suspects.size(); }
    std::size_t evidenceCount() const { return m_evidenceOrder.size(); }
    std::size_t clearedCount() const { return m_clearings.size(); }
    std::size_t quarantinedCount() const { return m_quarantines.size(); }

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

    struct Crash
    {
        TimePoint at; ///< First break.
        TimePoint lastAt; ///< Last one, of this node if any was.
        bool isExplained = false; ///< A quarantined part was in a request to the run.
        PromptPart explainedBy {}; ///< That part.
        std::uint64_t explainedRequest = 0; ///< The request that had it.
        std::uint32_t attempts = 0; ///< Of this node, that broke.

        /// Whether the crash is no evidence against a part that was in the given request. What a
        /// whole request explains may be the fault of one of its parts.
        bool explains(PromptPart part, std::uint64_t request) const;
    };

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
        TimePoint until; ///< Later entries of the past are kept to tell a repetition.
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
    using RunEvidence = std::map<ServerRun, Evidence, RunOrder>;

    bool isLive(const ServerRun &run, TimePoint brokenAt) const;
    bool isProtected(PromptPart part, TimePoint at) const;
    bool isQuarantined(PromptPart part, TimePoint now) const;
    /// The latest quarantine of a part, live or ended.
    const Quarantine *findQuarantine(PromptPart part) const;
    void recordBreak(const PromptParts &parts, const ServerRun &run, std::uint64_t request,
                     TimePoint at, TimePoint now);
    void recordCrash(const ServerRun &run, TimePoint at);
    void eraseCrash(const ServerRun &run);
    void addEvidence(PromptPart part, const ServerRun &run, const Evidence &evidence,
                     TimePoint now);
    void eraseEvidence(PromptPart part, const ServerRun &run);
    /// Drops the evidence against a part up to the given time.
    void eraseEvidenceUntil(PromptPart part, TimePoint until);
    /// Other parts are not blamed for the end of this run.
    void explain(const ServerRun &run, PromptPart by, std::uint64_t request);
    void clear(PromptPart part, TimePoint at, std::uint32_t answers, bool isOwn);
    void accuse(PromptPart part, TimePoint now);
    void startQuarantine(PromptPart part, Duration timeLeft, std::uint32_t times, std::size_t runs,
                         std::size_t requests, TimePoint now);
    bool adopt(PromptPart part, const QuarantinedPart &quarantine, TimePoint now);
    void resolveDoubtfulEnds(TimePoint now);
    void forgetOld(TimePoint now);
    /// Drops what was recorded since then about runs that showed a sign of life later.
    void eraseContradicted(TimePoint since);
    void decide(TimePoint now);
    /// Quarantines one of the whole requests that alone explain their crashes, or suspects those
    /// for which that is not certain. Returns whether any was quarantined.
    bool decideWholeRequests(const std::vector<Case> &requests, const std::vector<Case> &parts,
                             TimePoint now);
    /// Whether a part was in the whole request when it ended a server. Both have evidence.
    bool wasInRequest(PromptPart part, PromptPart wholeRequest) const;
    /// Whether another request was on all servers that this one ended, or these ended together.
    bool isDoubtful(const Case &item) const;
    /// All parts that may have caused crashes, those that are most suspect first.
    std::vector<Case> cases(TimePoint now) const;
    CrashTime crashTime(const ServerRun &run, const Evidence &evidence) const;
    static CrashTime crashTime(const Crash &crash);
    /// Whether the crashes are too many for chance, given those without the part and the answers.
    bool isBeyondChance(const Case &suspected, std::size_t sum, TimePoint now) const;
    static bool isMature(TimePoint brokenAt, TimePoint now);

    QuarantineHooks m_hooks;
    std::unordered_map<PromptPart, RunEvidence> m_evidence;
    std::map<std::tuple<TimePoint, PromptPart, ServerRun>, const Evidence *> m_evidenceOrder;
    std::map<ServerRun, Crash, RunOrder> m_crashes;
    std::map<std::pair<TimePoint, ServerRun>, const Crash *> m_crashOrder;
    std::list<DoubtfulEnd> m_doubtfulEnds;
    std::unordered_map<PromptPart, Clearing> m_clearings;
    std::list<PromptPart> m_clearingOrder; ///< Least recently cleared first.
    std::map<PromptPart, TimePoint> m_accused; ///< Protected parts that a peer last accused then.
    std::unordered_map<PromptPart, Quarantine> m_quarantines; ///< Live ones.
    std::unordered_map<PromptPart, Quarantine> m_endedQuarantines;
    std::map<PromptPart, TimePoint> m_suspects; ///< When each may be tried again.
    std::vector<PromptPart> m_newSuspects; ///< Not taken yet.
    std::vector<QuarantineDecision> m_decisions; ///< Since the last tick.
    /// Completed answers to this node, by the start of the interval in which they were counted.
    std::deque<std::pair<TimePoint, std::uint64_t>> m_answers;
    TimePoint m_checkedAllAt; ///< When all evidence was last compared with signs of life.
    std::optional<TimePoint> m_startedAt; ///< First call of tick().
};

} // namespace bramleypitch
