#pragma once

#include "network/store_client.h"
#include "request/quarantine_base.h"

#include <deque>
#include <string>

namespace bramleypitch {

std::string serializeQuarantine(const QuarantinedPart &quarantine, WallTime now);
/// Parses the stored quarantine of a part, and computes the time left. Throws
/// Failure(PlatformProtocol) if it is malformed.
QuarantinedPart parseQuarantine(const std::string &text, WallTime now);

/// Writes the quarantines that this node decides to the store, so that they outlive a restart of
/// all nodes. Each is stored under a lease of its own, which ends with the quarantine. The writes
/// are limited: the other nodes are also told directly.
class QuarantineStore
{
public:
    /// The keys start with `prefix`.
    QuarantineStore(StoreClient &store, std::string prefix);
    QuarantineStore(const QuarantineStore &) = delete;
    QuarantineStore &operator=(const QuarantineStore &) = delete;

    /// Stores the quarantine of a part soon. Ignored if another node decided it, or if too many
    /// wait.
    void add(const QuarantineDecision &decision, TimePoint now);
    /// The store holds the quarantine of this part.
    void onStored(PromptPart part);
    /// The store has come back from an older copy: writes again what this node wrote, unless the
    /// copy holds it.
    void startEra();
    /// Starts the next write if it is due.
    void tick(TimePoint now, WallTime wallTime);

private:
    /// A quarantine that waits for its write.
    struct Pending
    {
        PromptPart part;
        TimePoint until;
        std::uint32_t times = 0;
        bool tried = false; ///< One write failed.
    };

    void write(const Pending &pending, std::int64_t lease, const QuarantinedPart &quarantine,
               const std::string &value);
    /// Tries the write once more later.
    void onFailure(const Pending &pending);

    StoreClient &m_store;
    std::string m_prefix;
    std::deque<Pending> m_pending;
    std::deque<Pending> m_written; ///< The most recent ones.
    TimePoint m_lastWriteAt;
};

} // namespace bramleypitch
