#pragma once

#include "request/serving_type.h"

#include <array>
#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace bramleypitch {

/// What bytes that callers and servers have sent are held for.
enum class HeldKind {
    RequestBody, ///< Bodies of requests that are received or answered.
    ResponseBody, ///< Bodies of responses that are kept until they are complete.
    UnfinishedEvent, ///< Events of streams of which a part is missing.
    Unsent, ///< Bytes of responses that wait for slow callers.
};
constexpr std::size_t heldKinds = 4;

/// The name of a HeldKind for metrics.
const char *heldKindName(HeldKind kind);

/// Counts the bytes that callers and servers make this node hold, and tells whether there is room
/// for more of what servers send. Each server may use a share of that room, so that a faulty one
/// takes it from no other.
class MemoryAccount
{
public:
    /// Bytes that are held, from construction or resize() until destruction.
    class Holding
    {
    public:
        Holding() = default;
        /// `server` is the server that sent the bytes, or empty.
        Holding(MemoryAccount &account, HeldKind kind, VmId server = VmId());
        Holding(Holding &&other) noexcept;
        Holding &operator=(Holding &&other) noexcept;
        ~Holding();

        std::size_t size() const { return m_size; }
        void resize(std::size_t bytes);
        /// From now on, the bytes are those of another server.
        void setServer(const VmId &server);

    private:
        MemoryAccount *m_account = nullptr;
        HeldKind m_kind = HeldKind::RequestBody;
        VmId m_server;
        std::size_t m_size = 0;
    };

    MemoryAccount() = default;
    MemoryAccount(const MemoryAccount &) = delete;
    MemoryAccount &operator=(const MemoryAccount &) = delete;

    /// Limits the bytes that servers have sent.
    void setResponseLimit(std::size_t bytes) { m_responseLimit = bytes; }
    std::size_t responseLimit() const { return m_responseLimit; }
    /// With a reserve, hasRoom() is false from a part of the limit on, so that servers are read
    /// more slowly before anything has to be given up.
    void setReserve(bool hasReserve) { m_hasReserve = hasReserve; }
    /// The bytes from which on there is no room.
    std::size_t roomLimit() const;
    /// Bytes to free so that `more` bytes of servers can be held within the limit.
    std::size_t excess(std::size_t more) const;
    /// The part of the limit that each server may use.
    std::size_t serverLimit() const;
    /// Whether neither the limit nor that of the server is exceeded.
    bool hasRoom(const VmId &server) const;

    std::size_t held(HeldKind kind) const { return m_held[static_cast<std::size_t>(kind)]; }
    /// All bytes that servers have sent.
    std::size_t responseBytes() const;
    /// Those that a server has sent.
    std::size_t heldBy(const VmId &server) const;
    /// Number of servers of which bytes are held.
    std::size_t servers() const { return m_servers.size(); }
    /// The most that was held at any time, of all kinds.
    std::size_t peak() const { return m_peak; }

private:
    void change(HeldKind kind, const VmId &server, std::size_t before, std::size_t after);

    std::size_t m_responseLimit = 32 * 1024 * 1024;
    bool m_hasReserve = false;
    std::array<std::size_t, heldKinds> m_held {};
    std::map<VmId, std::size_t> m_servers;
    std::size_t m_peak = 0;
};

/// Bytes in blocks of limited size. It needs no more memory than its bytes and a part of a block,
/// and gives the memory of each block back on its own.
class BlockBuffer
{
public:
    static constexpr std::size_t blockBytes = 64 * 1024;

    void append(std::string_view bytes);
    std::size_t size() const { return m_size; }
    bool empty() const { return m_size == 0; }
    void clear();
    /// Passes each block to `consume` and frees it. The buffer is empty afterwards.
    template<typename Consume>
    void drain(Consume consume)
    {
        for (std::string &block : m_blocks)
            consume(std::exchange(block, std::string()));
        clear();
    }

private:
    std::vector<std::string> m_blocks;
    std::size_t m_size = 0;
};

/// Gives free memory of the process back to the system, which the allocator keeps otherwise.
class HeapTrimmer
{
public:
    /// From now on, large blocks are given back as soon as they are freed.
    HeapTrimmer();
    /// Trims the heap if much of it has become free since the last time. Called periodically.
    void tick(TimePoint now);

private:
    TimePoint m_checkedAt;
    std::size_t m_freeAfterTrim = 0; ///< Free bytes that the last trim left.
};

} // namespace bramleypitch
