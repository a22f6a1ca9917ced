#pragma once

#include "coordination/action_type.h"

#include <optional>
#include <string>
#include <utility>

namespace bramleypitch {

/// When to ask again where another entry, or the same one a moment later, can take the request.
constexpr Duration askAgainSoon {1'000};

/// A refusal of a request that was not sent anywhere.
inline Refuse refusal(RequestId request, ErrorCode code, std::string message,
                      std::optional<Duration> retryAfter = std::nullopt)
{
    Refuse refuse;
    refuse.request = request;
    refuse.code = code;
    refuse.message = std::move(message);
    refuse.retryAfter = retryAfter;
    return refuse;
}

} // namespace bramleypitch
