#pragma once

#include <string>
#include <string_view>

namespace bramleypitch {

/// Encodes bytes as padded Base64 (RFC 4648), the encoding of byte strings in etcd's JSON API.
std::string encodeBase64(std::string_view bytes);

/// Decodes padded Base64. Throws Failure(PlatformProtocol) if the text is not valid Base64.
std::string decodeBase64(std::string_view text);

} // namespace bramleypitch
