#pragma once

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <algorithm>
#include <limits>
#include <memory>
#include <string>
#include <string_view>

namespace bramleypitch {

/// Serializes a Thrift struct in the compact protocol.
template<typename Wire>
std::string toThriftBytes(const Wire &wire)
{
    const auto buffer = std::make_shared<apache::thrift::transport::TMemoryBuffer>();
    apache::thrift::protocol::TCompactProtocol protocol(buffer);
    wire.write(&protocol);
    return buffer->getBufferAsString();
}

/// Parses a Thrift struct in the compact protocol. Throws a Thrift exception if it is malformed. A
/// container may have at most `maxItems` elements, and not more than the bytes could hold: a list
/// of structs is allocated by its stated size.
template<typename Wire>
Wire fromThriftBytes(std::string_view bytes,
                     std::size_t maxItems = std::numeric_limits<std::int32_t>::max())
{
    // The buffer only observes the bytes and does not change them.
    auto *data = reinterpret_cast<std::uint8_t *>(const_cast<char *>(bytes.data()));
    const auto buffer = std::make_shared<apache::thrift::transport::TMemoryBuffer>(
        data, static_cast<std::uint32_t>(bytes.size()));
    const auto stringLimit = static_cast<std::int32_t>(std::max<std::size_t>(bytes.size(), 1));
    apache::thrift::protocol::TCompactProtocol protocol(
        buffer, stringLimit,
        static_cast<std::int32_t>(std::min(maxItems, static_cast<std::size_t>(stringLimit))));
    Wire wire;
    wire.read(&protocol);
    return wire;
}

} // namespace bramleypitch
