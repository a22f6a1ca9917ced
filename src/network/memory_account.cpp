#include "network/memory_account.h"

#include <malloc.h>

#include <algorithm>
#include <numeric>
#include <utility>

namespace bramleypitch {

namespace {

/// Each server may use this part of the limit.
constexpr std::size_t serversPerLimit = 4;
/// The limit, divided by this, is the reserve.
constexpr std::size_t reservesPerLimit = 4;
/// Blocks of this size and more are mapped and unmapped on their own.
constexpr int mappedBlockBytes = 128 * 1024;
constexpr Duration trimInterval {1'000};
/// The heap is trimmed if this much more of it is free than after the last trim.
constexpr std::size_t minTrimBytes = 2 * 1024 * 1024;

bool isOfServer(HeldKind kind)
{
    return kind != HeldKind::RequestBody;
}

} // namespace

const char *heldKindName(HeldKind kind)
{
    switch (kind) {
    case HeldKind::RequestBody:
        return "request_body";
    case HeldKind::ResponseBody:
        return "response_body";
    case HeldKind::UnfinishedEvent:
        return "unfinished_event";
    case HeldKind::Unsent:
        return "unsent";
    }
    return "unknown";
}

MemoryAccount::Holding::Holding(MemoryAccount &account, HeldKind kind, VmId server)
    : m_account(&account)
    , m_kind(kind)
    , m_server(std::move(server))
{
}

MemoryAccount::Holding::Holding(Holding &&other) noexcept
    : m_account(std::exchange(other.m_account, nullptr))
    , m_kind(other.m_kind)
    , m_server(std::move(other.m_server))
    , m_size(std::exchange(other.m_size, 0))
{
}

MemoryAccount::Holding &MemoryAccount::Holding::operator=(Holding &&other) noexcept
{
    if (this == &other)
        return *this;
    resize(0);
    m_account = std::exchange(other.m_account, nullptr);
    m_kind = other.m_kind;
    m_server = std::move(other.m_server);
    m_size = std::exchange(other.m_size, 0);
    return *this;
}

MemoryAccount::Holding::~Holding()
{
    resize(0);
}

void MemoryAccount::Holding::resize(std::size_t bytes)
{
    if (!m_account || bytes == m_size)
        return;
    m_account->change(m_kind, m_server, m_size, bytes);
    m_size = bytes;
}

void MemoryAccount::Holding::setServer(const VmId &server)
{
    if (server == m_server)
        return;
    const std::size_t size = m_size;
    resize(0);
    m_server = server;
    resize(size);
}

std::size_t MemoryAccount::serverLimit() const
{
    return m_responseLimit / serversPerLimit;
}

bool MemoryAccount::hasRoom(const VmId &server) const
{
    return responseBytes() <= roomLimit() && heldBy(server) <= serverLimit();
}

std::size_t MemoryAccount::roomLimit() const
{
    return m_hasReserve ? m_responseLimit - m_responseLimit / reservesPerLimit : m_responseLimit;
}

std::size_t MemoryAccount::excess(std::size_t more) const
{
    const std::size_t wanted = responseBytes() + more;
    return wanted > m_responseLimit ? wanted - m_responseLimit : 0;
}

std::size_t MemoryAccount::responseBytes() const
{
    return held(HeldKind::ResponseBody) + held(HeldKind::UnfinishedEvent) + held(HeldKind::Unsent);
}

std::size_t MemoryAccount::heldBy(const VmId &server) const
{
    const auto found = m_servers.find(server);
    return found == m_servers.end() ? 0 : found->second;
}

void MemoryAccount::change(HeldKind kind, const VmId &server, std::size_t before, std::size_t after)
{
    std::size_t &held = m_held[static_cast<std::size_t>(kind)];
    held = held - before + after;
    if (isOfServer(kind) && !server.value().empty()) {
        std::size_t &ofServer = m_servers[server];
        ofServer = ofServer - before + after;
        if (ofServer == 0)
            m_servers.erase(server);
    }
    m_peak = std::max(m_peak, std::accumulate(m_held.begin(), m_held.end(), std::size_t(0)));
}

void BlockBuffer::append(std::string_view bytes)
{
    m_size += bytes.size();
    while (!bytes.empty()) {
        if (m_blocks.empty() || m_blocks.back().size() == blockBytes) {
            m_blocks.emplace_back();
            if (m_blocks.size() > 1)
                m_blocks.back().reserve(blockBytes);
        }
        std::string &block = m_blocks.back();
        const std::size_t part = std::min(bytes.size(), blockBytes - block.size());
        block.append(bytes.substr(0, part));
        bytes.remove_prefix(part);
    }
}

void BlockBuffer::clear()
{
    m_blocks = {};
    m_size = 0;
}

HeapTrimmer::HeapTrimmer()
{
    // Without a fixed threshold, the allocator raises it with each large block that is freed.
    mallopt(M_MMAP_THRESHOLD, mappedBlockBytes);
}

void HeapTrimmer::tick(TimePoint now)
{
    if (now - m_checkedAt < trimInterval)
        return;
    m_checkedAt = now;
    const std::size_t free = mallinfo2().fordblks;
    m_freeAfterTrim = std::min(m_freeAfterTrim, free);
    if (free - m_freeAfterTrim < minTrimBytes)
        return;
    malloc_trim(0);
    m_freeAfterTrim = mallinfo2().fordblks;
}

} // namespace bramleypitch
