#pragma once

#include <array>
#include <cstddef>
#include <cstdint>

namespace bramleypitch {

/// Event counters of a node. Each enumerator has the name of its metric in CamelCase; metric names
/// and help texts are defined in table/counter_table.h, in the same order.
enum class Counter : std::uint8_t {
    CompletionsAsked,
    CompletionsWhole,
    CompletionsResumed,
    CompletionsRefused,
    CompletionsBroken,
    CallersGone,
    AttemptsSent,
    AttemptsBroken,
    FramesDropped,
    TokensDelivered,
    RetriesDenied,
    ServiceCallsAsked,
    ServiceCallsAnswered,
    ServiceCallsRefused,
    ServiceCallsRetried,
    LedgerRepeats,
    LedgerUnavailable,
    LedgerWrites,
    PlatformReads,
    PlatformWrites,
    SwapConflicts,
    SwapUnknown,
    ProbesSent,
    ProbesFailed,
    OrdersSent,
    GroupsFormed,
    GroupsDissolved,
    HeartbeatsSent,
    HeartbeatsReceived,
    SharedPulls,
    ColdRefusals,
    Count, ///< Number of counters; not a counter itself.
};

/// Values of all counters of one node. Counters are monotonic: they never decrease.
class Counters
{
public:
    void add(Counter counter, std::uint64_t amount = 1)
    {
        m_values[static_cast<std::size_t>(counter)] += amount;
    }
    std::uint64_t value(Counter counter) const
    {
        return m_values[static_cast<std::size_t>(counter)];
    }

private:
    std::array<std::uint64_t, static_cast<std::size_t>(Counter::Count)> m_values {};
};

} // namespace bramleypitch
