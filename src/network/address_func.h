#pragma once

#include "core/error_type.h"
#include "core/strong_type.h"

#include <netinet/in.h>

#include <cstdint>
#include <string>

namespace bramleypitch {

/// A numeric IPv4 or IPv6 address and a port.
struct HostPort
{
    std::string host;
    std::uint16_t port = 0;
};

/// Parses "IP:PORT" or "[IPv6]:PORT". Throws Failure(InvalidSetting) on any other text.
HostPort parseAddress(const Address &address);

/// Parses an IPv4 "IP:PORT". Throws Failure(InvalidSetting) on any other text.
sockaddr_in parseSocketAddress(const Address &address);

/// Parses "http://IP:PORT" with an optional trailing slash and returns its IP:PORT part. Throws
/// Failure(InvalidSetting) on any other text.
Address parseUrl(const std::string &url);

/// The failure to throw if a local address cannot be bound. `error` is the error number.
Failure bindFailure(const Address &address, int error);

} // namespace bramleypitch
