#pragma once

#include "request/server_limit_type.h"

#include <functional>
#include <vector>

namespace bramleypitch {

/// The limits that servers name in their answers. A limit belongs to one run of its server.
///
/// Answers may overtake each other, so a limit is lowered by any answer, but raised or withdrawn
/// only by the answer to a request that was sent after the latest answer with the lower one.
class LimitTable
{
public:
    /// Evaluates the head of an answer of a server to a request that was sent at `sentAt`. Returns
    /// the change if the answer changes what is known of the limit.
    std::optional<LimitChange> onAnswer(const ServerRun &run, const LimitStatement &statement,
                                        TimePoint sentAt, TimePoint now);
    /// Adopts what another node knows of servers for which `isKnown` is true. Returns the changes.
    std::vector<LimitChange> merge(const LimitNews &news,
                                   const std::function<bool(const VmId &)> &isKnown, TimePoint now);
    /// What this node knows from answers that it received. If that is more than one message may
    /// hold, the servers are reported in turn.
    LimitNews news(TimePoint now);
    /// What this node knows of one server.
    std::optional<ReportedLimit> report(const VmId &server, TimePoint now) const;
    /// The limit of a server that runs since `startedAt`, in requests per second; none if it has
    /// none.
    ///
    /// A limit that is named in refusals only does not show when it ends, as it keeps the server
    /// from refusing. It holds for a while after the last refusal, and then grows until the server
    /// names it again.
    std::optional<double> limit(const VmId &server, std::int64_t startedAt, TimePoint now) const;
    /// When this node learned that a server has a limit, which must be known.
    TimePoint learnedAt(const VmId &server) const { return m_entries.at(server).learnedAt; }
    /// Whether no server has a limit.
    bool empty() const { return m_entries.empty(); }
    /// Number of servers with a limit.
    std::size_t limitedCount(TimePoint now) const;
    /// Forgets limits that ended long ago, and those of servers for which `isKnown` is false.
    void prune(const std::function<bool(const VmId &)> &isKnown, TimePoint now);

private:
    struct Entry
    {
        std::int64_t startedAt = 0;
        std::optional<double> perSecond; ///< None after the limit was withdrawn.
        bool refusalsOnly = false;
        TimePoint shownAt; ///< Receipt of the latest answer that showed this or a lower limit.
        TimePoint namedAt; ///< Receipt of the latest answer that named a limit.
        TimePoint learnedAt; ///< When this node learned that this run has a limit.
        bool isOwn = false; ///< Shown by an answer to this node.
    };

    static std::optional<double> limitOf(const Entry &entry, TimePoint now);
    static ReportedLimit reportOf(const Entry &entry, TimePoint now);

    std::map<VmId, Entry> m_entries;
    VmId m_lastReported; ///< The server that news() reported last.
};

} // namespace bramleypitch
