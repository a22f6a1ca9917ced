#include "network/store_era_guard.h"

namespace bramleypitch {

namespace {

bool isFailure(const StoreReply &reply)
{
    return reply.outcome == StoreReply::Outcome::Failed
        || reply.outcome == StoreReply::Outcome::TooLong;
}

bool isFailure(const StoreSwapResult &swap)
{
    return swap.outcome == StoreSwapOutcome::Unknown || swap.outcome == StoreSwapOutcome::Refused;
}

bool isFailure(const StoreLease &lease)
{
    return !lease.ok;
}

} // namespace

template<typename Answer>
std::function<void(const Answer &)> StoreEraGuard::guarded(std::function<void(const Answer &)> done)
{
    return [this, sentIn = m_era, done = std::move(done)](const Answer &answer) {
        if (answer.era > m_era) {
            const StoreEra previous = m_era;
            m_era = answer.era;
            if (m_onEra)
                m_onEra(previous, m_era);
        }
        const bool isCurrent = answer.era == m_era && (sentIn == m_era || sentIn == StoreEra());
        if (isCurrent || isFailure(answer)) {
            done(answer);
            return;
        }
        ++m_droppedAnswers;
        Answer failure;
        if constexpr (std::is_same_v<Answer, StoreReply>)
            failure.cause = "answer of another era";
        done(failure);
    };
}

void StoreEraGuard::readPage(const std::string &prefix, const std::string &after,
                             const std::function<void(const StoreReply &)> &done)
{
    m_store.readPage(prefix, after, guarded(done));
}

void StoreEraGuard::watch(const std::string &prefix, Revision above, Duration wait,
                          std::size_t maxBytes, const std::function<void(const StoreReply &)> &done)
{
    m_store.watch(prefix, above, wait, maxBytes, guarded(done));
}

void StoreEraGuard::compareAndSwap(const std::string &key, Revision expected,
                                   const std::string &value, std::int64_t lease,
                                   const std::function<void(const StoreSwapResult &)> &done)
{
    m_store.compareAndSwap(key, expected, value, lease, guarded(done));
}

void StoreEraGuard::writeAll(const std::vector<StoreWrite> &writes,
                             const std::function<void(const StoreSwapResult &)> &done)
{
    m_store.writeAll(writes, guarded(done));
}

void StoreEraGuard::grantLease(Duration timeToLive,
                               const std::function<void(const StoreLease &)> &done)
{
    m_store.grantLease(timeToLive, guarded(done));
}

void StoreEraGuard::keepLeaseAlive(std::int64_t lease,
                                   const std::function<void(const StoreLease &)> &done)
{
    m_store.keepLeaseAlive(lease, guarded(done));
}

void StoreEraGuard::revokeLease(std::int64_t lease, const std::function<void()> &done)
{
    m_store.revokeLease(lease, done);
}

} // namespace bramleypitch
