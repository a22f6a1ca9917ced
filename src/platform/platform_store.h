#pragma once

#include "network/http_client.h"
#include "network/store_client.h"

namespace bramleypitch::platform {

/// Client for the platform's key-value store: HTTP calls to /v1/kv-* with JSON bodies and values in
/// base64.
class PlatformStore : public StoreClient
{
public:
    PlatformStore(HttpClient &http, Address address);
    /// Calls go to this address from now on.
    void setAddress(Address address) { m_address = std::move(address); }

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
    /// Sends a conditional write of one or several keys. `lease` is that of all of them, or 0.
    void transact(const std::vector<StoreWrite> &writes, std::int64_t lease,
                  const std::function<void(const StoreSwapResult &)> &done);
    HttpCall call(const std::string &method, const std::string &path,
                  const std::string &body = {}) const;

    HttpClient &m_http;
    Address m_address;
};

} // namespace bramleypitch::platform
