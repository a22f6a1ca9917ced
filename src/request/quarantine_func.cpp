#include "request/quarantine_func.h"

#include "core/error_type.h"
#include "core/rendezvous_func.h"

#include <algorithm>
#include <charconv>
#include <string_view>

namespace bramleypitch {

namespace {

constexpr int hexadecimal = 16;
constexpr std::size_t nameSize = 16; ///< Hexadecimal digits of a part.

} // namespace

PromptParts promptParts(const std::vector<std::uint64_t> &names, const ServiceId &service)
{
    PromptParts parts;
    const std::uint64_t seed = stableHash(service.value());
    for (const std::uint64_t name : names) {
        const std::string_view bytes(reinterpret_cast<const char *>(&name), sizeof(name));
        // 0 stands for no part.
        parts.push_back(
            PromptPart(std::max<std::uint64_t>(stableHash(bytes, seed) & ~wholeRequestBit, 1)));
    }
    return parts;
}

PromptPart wholeRequest(std::uint64_t content, const std::string &host,
                        const OrganisationId &organisation, const ServiceId &service)
{
    std::uint64_t hash = content;
    for (const std::string &name : {host, organisation.value(), service.value()})
        hash = stableHash(name, hash);
    return PromptPart((hash | wholeRequestBit) & ~lateBreakBit);
}

std::string partName(PromptPart part)
{
    std::string digits(nameSize, '0');
    std::uint64_t rest = part.value();
    for (auto digit = digits.rbegin(); digit != digits.rend(); ++digit, rest /= hexadecimal)
        *digit = "0123456789abcdef"[rest % hexadecimal];
    return digits;
}

PromptPart parsePartName(const std::string &name)
{
    std::uint64_t value = 0;
    const char *end = name.data() + name.size();
    const auto parsed = std::from_chars(name.data(), end, value, hexadecimal);
    if (name.size() != nameSize || parsed.ec != std::errc() || parsed.ptr != end)
        throw Failure(ErrorCode::PlatformProtocol, "invalid name of a part of prompts");
    return PromptPart(value);
}

} // namespace bramleypitch
