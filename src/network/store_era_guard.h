#pragma once

#include "network/store_client.h"

namespace bramleypitch {

/// Passes calls on to a store that may come back from an older copy, and notices its era in each
/// answer. Only answers of the newest era seen are used, and only for calls that were made in it:
/// others are reported as failed, or as unknown if a write may have been applied.
class StoreEraGuard : public StoreClient
{
public:
    /// Called when the era is first known or has risen, before the answer that shows it is
    /// reported. `previous` is 0 at first.
    using EraHook = std::function<void(StoreEra previous, StoreEra era)>;

    explicit StoreEraGuard(StoreClient &store)
        : m_store(store)
    {
    }

    void setEraHook(EraHook hook) { m_onEra = std::move(hook); }
    /// The newest era seen; 0 before the first answer and for a store without eras.
    StoreEra era() const { return m_era; }
    /// Number of answers that were not used because of their era.
    std::uint64_t droppedAnswers() const { return m_droppedAnswers; }

    void readPage(const std::string &prefix, const std::string &after,
                  const std::function<void(const StoreReply &)> &done) override;
    void watch(const std::string &prefix, Revision above, Duration wait, std::size_t maxBytes,
               const std::function<void(const StoreReply &)> &done) override;
    void compareAndSwap(const std::string &key, Revision expected, const std::string &value,
                        std::int64_t lease,
                        const std::function<void(const StoreSwapResult &)> &done) override;
    void writeAll(const std::vector<StoreWrite> &writes,
                  const std::function<void(const StoreSwapResult &)> &done) override;
    void grantLease(Duration timeToLive,
                    const std::function<void(const StoreLease &)> &done) override;
    void keepLeaseAlive(std::int64_t lease,
                        const std::function<void(const StoreLease &)> &done) override;
    void revokeLease(std::int64_t lease, const std::function<void()> &done) override;

private:
    template<typename Answer>
    std::function<void(const Answer &)> guarded(std::function<void(const Answer &)> done);

    StoreClient &m_store;
    EraHook m_onEra;
    StoreEra m_era;
    std::uint64_t m_droppedAnswers = 0;
};

} // namespace bramleypitch
