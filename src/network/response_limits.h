#pragma once

#include <cstddef>

namespace bramleypitch {

/// Limits on what a server may send. The attempt or call and its connection end when one is passed.
/// The time is limited by the request: its stall time-outs and the timeout of its route, or the
/// time limit of the call. http_parser itself limits a head, the line of a chunk's size and the
/// trailers of a response to an attempt to 80 KiB each.
struct ResponseLimits
{
    /// Responses other than the one to the attempt: interim (1xx) and those to other requests.
    static constexpr int otherResponses = 8;
    /// Body of all of these responses, which is discarded.
    static constexpr std::size_t otherBytes = 4 * 1024 * 1024;
    /// Body of a response that is not a stream. It is kept until it is complete, since an
    /// incomplete response may be replaced by that of another server, while there is room for it.
    static constexpr std::size_t bodyBytes = 4 * 1024 * 1024;
    /// An event of a stream, which is kept until it is complete.
    static constexpr std::size_t eventBytes = 1024 * 1024;
    /// Of a body or an event, this much is kept even if there is no room for more.
    static constexpr std::size_t smallBytes = 16 * 1024;
    /// Head of a reply to a call of this node: to the store, an engine, a service or a peer.
    static constexpr std::size_t callHeadBytes = 64 * 1024;
    /// Body of such a reply. A page of the store has about 1 MB, or one value of that size.
    static constexpr std::size_t callBodyBytes = 16 * 1024 * 1024;
    /// All pieces of a reply that is read piece by piece.
    static constexpr std::size_t callStreamBytes = 64 * 1024 * 1024;
};

} // namespace bramleypitch
