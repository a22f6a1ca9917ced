#pragma once

#include "core/strong_type.h"

#include <cstdint>
#include <string>

namespace bramleypitch {

/// An IPv4 or IPv6 number and a port.
struct HostPort
{
    std::string host;
    std::uint16_t port = 0;
};

/// Reads "IP:PORT"; throws Failure(InvalidSetting) if it is not that.
HostPort parseAddress(const Address &address);

/// Reads "http://IP:PORT"; throws Failure(InvalidSetting) if it is not that.
Address parseUrl(const std::string &url);

} // namespace bramleypitch
