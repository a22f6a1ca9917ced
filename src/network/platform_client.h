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

/// A read of the store: keys with the revision that wrote each.
struct StoreRead
{
    bool ok = false;
    std::vector<SharedValue> values;
};

/// The platform's key-value service in etcd's v3 JSON form over HTTP, and its VM list. Each call
/// has a time limit. A conditional write whose reply was lost is read back.
class PlatformClient
{
public:
    PlatformClient(EventLoop &loop, HttpClient &http, Address address, Address vmListAddress);

    /// Reads all keys with a prefix that were written above a revision.
    void readPrefix(const std::string &prefix, Revision above,
                    const std::function<void(const StoreRead &)> &done);
    /// Reads one key.
    void readKey(const std::string &key, const std::function<void(const StoreRead &)> &done);
    /// Writes a key if it was last written at `expected`; 0 means that it must be absent. The key
    /// goes with the lease if `lease` is not 0.
    void compareAndSwap(const std::string &key, Revision expected, const std::string &value,
                        std::int64_t lease, const std::function<void(const StoreSwap &)> &done);
    void grantLease(Duration timeToLive, const std::function<void(const StoreLease &)> &done);
    void keepLeaseAlive(std::int64_t lease, const std::function<void(const StoreLease &)> &done);
    void revokeLease(std::int64_t lease, const std::function<void()> &done);
    /// Watches a prefix above a revision: `changed` for each batch of news, `ended` once.
    void watchPrefix(const std::string &prefix, Revision above,
                     const std::function<void()> &changed, const std::function<void()> &ended);
    /// Reads the list of VMs; none if there was no good answer.
    void readVmList(const std::function<void(const std::optional<std::vector<VmRecord>> &)> &done);

private:
    HttpCall storeCall(const std::string &path, const std::string &body) const;
    void range(const std::string &body, const std::function<void(const StoreRead &)> &done);
    void readBack(const std::string &key, Revision expected, const std::string &value,
                  bool mayBeWritten, const std::function<void(const StoreSwap &)> &done);

    HttpClient &m_http;
    Address m_address;
    Address m_vmListAddress;
};

} // namespace bramleypitch
