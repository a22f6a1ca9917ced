#pragma once

#include "network/store_client.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace bramleypitch {

/// Converts feeds to and from the bytes of a datagram: a Thrift struct with compressed changes. The
/// entries of servers resemble each other, and compressed to a fifth or less of their size.
class FeedCodec
{
public:
    /// Serializes a feed. The compressed changes are kept for the next feed between the same
    /// revisions, since many nodes hold the same one.
    std::string serialize(const StoreFeed &feed);
    /// Parses a feed. Throws Failure(PlatformProtocol) or a Thrift exception if it is malformed.
    static StoreFeed parse(std::string_view bytes);

private:
    StoreEra m_era;
    Revision m_from;
    Revision m_to;
    std::string m_compressedChanges; ///< Of the changes between the two revisions.
};

} // namespace bramleypitch
