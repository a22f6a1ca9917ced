#include "network/address_func.h"

#include <arpa/inet.h>
#include <event2/util.h>

#include <array>
#include <charconv>
#include <system_error>

namespace bramleypitch {

namespace {

constexpr int maxPort = 65'535;
constexpr std::string_view urlScheme = "http://";

bool isIpAddress(const std::string &host)
{
    if (host.find('\0') != std::string::npos)
        return false;
    std::array<unsigned char, sizeof(in6_addr)> bytes {};
    return evutil_inet_pton(AF_INET, host.c_str(), bytes.data()) == 1
        || evutil_inet_pton(AF_INET6, host.c_str(), bytes.data()) == 1;
}

} // namespace

HostPort parseAddress(const Address &address)
{
    const std::string &text = address.value();
    const std::size_t colon = text.rfind(':');
    const auto invalidAddress = [&]() -> Failure {
        return {ErrorCode::InvalidSetting, "\"" + text + "\" is not IP:PORT"};
    };
    if (colon == std::string::npos)
        throw invalidAddress();
    std::string host = text.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']')
        host = host.substr(1, host.size() - 2);
    int port = 0;
    const char *end = text.data() + text.size();
    const auto read = std::from_chars(text.data() + colon + 1, end, port);
    if (read.ec != std::errc() || read.ptr != end || port < 1 || port > maxPort
        || !isIpAddress(host))
        throw invalidAddress();
    return {host, static_cast<std::uint16_t>(port)};
}

sockaddr_in parseSocketAddress(const Address &address)
{
    const HostPort parsed = parseAddress(address);
    sockaddr_in socketAddress {};
    socketAddress.sin_family = AF_INET;
    socketAddress.sin_port = htons(parsed.port);
    if (inet_pton(AF_INET, parsed.host.c_str(), &socketAddress.sin_addr) != 1)
        throw Failure(ErrorCode::InvalidSetting,
                      "\"" + address.value() + "\" is not an IPv4 address");
    return socketAddress;
}

Address parseUrl(const std::string &url)
{
    if (url.rfind(urlScheme, 0) != 0)
        throw Failure(ErrorCode::InvalidSetting, "\"" + url + "\" is not http://IP:PORT");
    std::string rest = url.substr(urlScheme.size());
    if (!rest.empty() && rest.back() == '/')
        rest.pop_back();
    Address address(rest);
    parseAddress(address);
    return address;
}

Failure bindFailure(const Address &address, int error)
{
    return {ErrorCode::AddressUnavailable,
            "cannot bind " + address.value() + ": " + std::generic_category().message(error)};
}

} // namespace bramleypitch
