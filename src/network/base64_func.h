#pragma once

#include <string>
#include <string_view>

namespace bramleypitch {

/// Base64 with padding (RFC 4648), as etcd's JSON form holds bytes.
std::string encodeBase64(std::string_view bytes);

/// The bytes of a base64 text; throws Failure(PlatformProtocol) if it is none.
std::string decodeBase64(std::string_view text);

} // namespace bramleypitch
