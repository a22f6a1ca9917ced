#pragma once

#include "core/time_type.h"

#include <optional>
#include <string>
#include <string_view>

namespace bramleypitch {

/// The header Retry-After (RFC 9110, 10.2.3), in seconds with an optional fraction.
struct RetryAfter
{
    std::optional<Duration> delay; ///< None if the value cannot be used.
    const char *remark = nullptr; ///< Why the value was not used as it is; null if it was.
};

/// Longest delay that is honoured. Longer ones are taken for it.
constexpr Duration maxRetryAfter {600'000};

/// Parses a value of the header. A date, a negative number and anything else that is not a plain
/// decimal number is not used.
RetryAfter parseRetryAfter(std::string_view value);

/// Formats a delay as a value of the header.
std::string formatRetryAfter(Duration delay);

} // namespace bramleypitch
