#include "network/quarantine_store.h"

#include "core/error_type.h"
#include "core/format_version.h"
#include "core/json_reader.h"
#include "network/log.h"
#include "request/quarantine_func.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace bramleypitch {

namespace {

constexpr Duration writeInterval {5'000};
constexpr std::size_t maxPending = 32;
constexpr Duration maxStoredTime {600'000}; ///< The longest lease that the store grants.
constexpr std::uint32_t maxStoredTimes = 1'000;

/// An integer field, limited to a range. Throws Failure if it is missing or not an integer.
std::int64_t integerAt(const nlohmann::json &json, const char *name, std::int64_t lowest,
                       std::int64_t highest)
{
    const auto found = json.find(name);
    if (found == json.end() || !found->is_number_integer())
        throw Failure(ErrorCode::PlatformProtocol,
                      std::string("invalid quarantine: no integer ") + name);
    if (found->is_number_unsigned())
        return static_cast<std::int64_t>(std::clamp(found->get<std::uint64_t>(),
                                                    static_cast<std::uint64_t>(lowest),
                                                    static_cast<std::uint64_t>(highest)));
    return std::clamp(found->get<std::int64_t>(), lowest, highest);
}

} // namespace

std::string serializeQuarantine(const QuarantinedPart &quarantine, WallTime now)
{
    return nlohmann::json {{"left_ms", quarantine.timeLeft.count()},
                           {"times", quarantine.times},
                           {"until_wall_ms", now.value() + quarantine.timeLeft.count()},
                           {"version", formatVersion}}
        .dump();
}

QuarantinedPart parseQuarantine(const std::string &text, WallTime now)
{
    const nlohmann::json json = parseJson(text);
    if (!json.is_object())
        throw Failure(ErrorCode::PlatformProtocol, "invalid quarantine: no JSON object");
    const std::int64_t longest = integerAt(json, "left_ms", 0, maxStoredTime.count());
    const std::int64_t until =
        integerAt(json, "until_wall_ms", 0, now.value() + maxStoredTime.count());
    QuarantinedPart quarantine;
    quarantine.times = static_cast<std::uint32_t>(integerAt(json, "times", 1, maxStoredTimes));
    // The clocks of the nodes differ.
    quarantine.timeLeft = Duration(std::clamp<std::int64_t>(until - now.value(), 0, longest));
    return quarantine;
}

QuarantineStore::QuarantineStore(StoreClient &store, std::string prefix)
    : m_store(store)
    , m_prefix(std::move(prefix))
{
}

void QuarantineStore::add(const QuarantineDecision &decision, TimePoint now)
{
    if (decision.runs == 0)
        return;
    onStored(decision.part); // A later decision replaces an earlier one.
    if (m_pending.size() < maxPending)
        m_pending.push_back({decision.part,
                             now + std::min(decision.quarantine.timeLeft, maxStoredTime),
                             decision.quarantine.times});
}

void QuarantineStore::startEra()
{
    for (const Pending &written : m_written) {
        onStored(written.part);
        m_pending.push_back(written);
    }
    while (m_pending.size() > maxPending)
        m_pending.pop_front();
}

void QuarantineStore::onStored(PromptPart part)
{
    std::erase_if(m_pending, [&](const Pending &pending) { return pending.part == part; });
}

void QuarantineStore::tick(TimePoint now, WallTime wallTime)
{
    std::erase_if(m_pending, [&](const Pending &pending) { return pending.until <= now; });
    if (m_pending.empty() || now - m_lastWriteAt < writeInterval)
        return;
    m_lastWriteAt = now;
    const Pending pending = m_pending.front();
    m_pending.pop_front();
    const QuarantinedPart quarantine {pending.until - now, pending.times};
    m_store.grantLease(
        quarantine.timeLeft,
        [this, pending, quarantine,
         value = serializeQuarantine(quarantine, wallTime)](const StoreLease &lease) {
            if (lease.ok)
                write(pending, lease.id, quarantine, value);
            else
                onFailure(pending);
        });
}

void QuarantineStore::write(const Pending &pending, std::int64_t lease,
                            const QuarantinedPart &quarantine, const std::string &value)
{
    m_store.compareAndSwap(m_prefix + partName(pending.part), Revision(), value, lease,
                           [this, pending, quarantine](const StoreSwapResult &swap) {
                               if (swap.outcome != StoreSwapOutcome::Written) {
                                   onFailure(pending);
                                   return;
                               }
                               std::erase_if(m_written, [&](const Pending &other) {
                                   return other.part == pending.part;
                               });
                               m_written.push_back(pending);
                               m_written.back().tried = false;
                               if (m_written.size() > maxPending)
                                   m_written.pop_front();
                               logLine(LogLevel::Info, "quarantine_stored",
                                       {{"part", partName(pending.part)},
                                        {"left_ms", std::to_string(quarantine.timeLeft.count())},
                                        {"times", std::to_string(quarantine.times)}});
                           });
}

void QuarantineStore::onFailure(const Pending &pending)
{
    // After a conflict, too: the store also refuses calls when it is busy. If the key exists, it is
    // mostly read before the second try.
    const bool isReplaced =
        std::any_of(m_pending.begin(), m_pending.end(),
                    [&](const Pending &other) { return other.part == pending.part; });
    if (pending.tried || isReplaced || m_pending.size() >= maxPending)
        return;
    m_pending.push_back(pending);
    m_pending.back().tried = true;
}

} // namespace bramleypitch
