#include "network/base64_func.h"

#include "core/error_type.h"

#include <openssl/evp.h>

namespace bramleypitch {

namespace {

/// Base64 encodes each group of three bytes (a quantum in RFC 4648) as four characters.
constexpr std::size_t bytesPerQuantum = 3;
constexpr std::size_t charactersPerQuantum = 4;

} // namespace

std::string encodeBase64(std::string_view bytes)
{
    const std::size_t quanta = (bytes.size() + bytesPerQuantum - 1) / bytesPerQuantum;
    std::string text(quanta * charactersPerQuantum + 1, '\0'); // OpenSSL appends a null terminator.
    const int length = EVP_EncodeBlock(reinterpret_cast<unsigned char *>(text.data()),
                                       reinterpret_cast<const unsigned char *>(bytes.data()),
                                       static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(length));
    return text;
}

std::string decodeBase64(std::string_view text)
{
    if (text.empty())
        return {};
    std::string bytes(text.size() / charactersPerQuantum * bytesPerQuantum, '\0');
    const int length = EVP_DecodeBlock(reinterpret_cast<unsigned char *>(bytes.data()),
                                       reinterpret_cast<const unsigned char *>(text.data()),
                                       static_cast<int>(text.size()));
    if (length < 0)
        throw Failure(ErrorCode::PlatformProtocol, "the platform sent invalid Base64");
    std::size_t padding = 0;
    while (padding < 2 && padding < text.size() && text[text.size() - 1 - padding] == '=')
        ++padding;
    bytes.resize(static_cast<std::size_t>(length) - padding);
    return bytes;
}

} // namespace bramleypitch
