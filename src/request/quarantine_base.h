#pragma once

#include "request/quarantine_type.h"

#include <functional>
#include <map>
#include <optional>
#include <unordered_map>
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
};

/// Finds the parts of prompts that crash each server that begins to answer a request with them
/// ("query of death", Beyer et al., "Site Reliability Engineering", 2016, chapter 22), and keeps
/// requests with them from further servers.
class QuarantineTable
{
public:
    explicit QuarantineTable(QuarantineHooks hooks);

    /// An attempt that was sent broke off before its answer had been written for long. Counts only
    /// while the run of the server is not seen alive later.
    void onBroken(const PromptParts &parts, const ServerRun &run, std::uint64_t request,
                  TimePoint now);
    /// An answer ended by the end of its connection alone, so that the server may have crashed.
    void onDoubtfulEnd(const PromptParts &parts, const ServerRun &run, std::uint64_t request,
                       TimePoint now);
    /// A server completed an answer, or has been writing it for a while: no part crashes it.
    void onSound(const PromptParts &parts, TimePoint now);

    /// The end of the longest quarantine of any of the parts; nothing if there is none.
    std::optional<TimePoint> quarantinedUntil(const PromptParts &parts, TimePoint now) const;
    bool isEmpty() const;

    /// What to tell the other nodes.
    QuarantineNews news(TimePoint now) const;
    void merge(const QuarantineNews &news, TimePoint now);
    /// Adopts a quarantine that is kept in the store.
    void restore(PromptPart part, const QuarantinedPart &quarantine, TimePoint now);
    /// Resolves doubtful ends, forgets what is old, and decides. Returns the parts that were
    /// quarantined since the last call.
    std::vector<QuarantineDecision> tick(TimePoint now);
};

} // namespace bramleypitch
