#pragma once

#include "coordination/shared_base.h"
#include "coordination/vm_type.h"
#include "network/http_client.h"
#include "network/store_client.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace bramleypitch {

/// The result of reading the store: key-value pairs, each with the revision that wrote it.
struct StoreRead
{
    bool ok = false;
    std::vector<SharedValue> values;
};

/// Client for the platform's key-value store, through etcd's v3 JSON API over HTTP, and for its VM
/// list. Each call has a timeout. If the reply to a conditional write is lost, the key is read back
/// to determine the outcome.
class PlatformClient
{
public:
    PlatformClient(EventLoop &loop, HttpClient &http, Address address, Address vmListAddress);

    /// Reads all keys with a prefix that were last written after a revision.
    void readPrefix(const std::string &prefix, Revision above,
                    const std::function<void(const StoreRead &)> &done);
    void readKey(const std::string &key, const std::function<void(const StoreRead &)> &done);
    /// Writes a key if it was last written at revision `expected`, or, if that is 0, if the key is
    /// absent. If `lease` is not 0, the store deletes the key when the lease ends.
    void compareAndSwap(const std::string &key, Revision expected, const std::string &value,
                        std::int64_t lease,
                        const std::function<void(const StoreSwapResult &)> &done);
    void grantLease(Duration timeToLive, const std::function<void(const StoreLease &)> &done);
    void keepLeaseAlive(std::int64_t lease, const std::function<void(const StoreLease &)> &done);
    void revokeLease(std::int64_t lease, const std::function<void()> &done);
    /// Watches a prefix for changes after a revision. `changed` is called for each batch of
    /// changes, and `ended` once when the watch ends.
    void watchPrefix(const std::string &prefix, Revision above,
                     const std::function<void()> &changed, const std::function<void()> &ended);
    /// Reads the list of VMs; `done` receives no value if there was no valid response.
    void readVmList(const std::function<void(const std::optional<std::vector<VmRecord>> &)> &done);

private:
    HttpCall makeStoreCall(const std::string &path, const std::string &body) const;
    /// Sends a range request and parses the response.
    void range(const std::string &body, const std::function<void(const StoreRead &)> &done);
    /// Determines the outcome of a conditional write that was not confirmed by reading the key.
    /// `mayHaveBeenWritten` is false if the store has reported that it did not write.
    void readBack(const std::string &key, Revision expected, const std::string &value,
                  bool mayHaveBeenWritten,
                  const std::function<void(const StoreSwapResult &)> &done);

    HttpClient &m_http;
    Address m_address;
    Address m_vmListAddress;
};

} // namespace bramleypitch
