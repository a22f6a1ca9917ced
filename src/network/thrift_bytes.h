#pragma once

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

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

/// Parses a Thrift struct in the compact protocol. Throws a Thrift exception if it is malformed.
template<typename Wire>
Wire fromThriftBytes(std::string_view bytes)
{
    // The buffer only observes the bytes and does not change them.
    auto *data = reinterpret_cast<std::uint8_t *>(const_cast<char *>(bytes.data()));
    const auto buffer = std::make_shared<apache::thrift::transport::TMemoryBuffer>(
        data, static_cast<std::uint32_t>(bytes.size()));
    apache::thrift::protocol::TCompactProtocol protocol(buffer);
    Wire wire;
    wire.read(&protocol);
    return wire;
}

} // namespace bramleypitch
