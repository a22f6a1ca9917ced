#pragma once

#include "coordination/action_type.h"

#include <optional>
#include <string>
#include <utility>

namespace bramleypitch {

/// Retry delay suggested to a caller when another entry, or the same entry shortly afterwards, may
/// accept the request.
constexpr Duration defaultRetryAfter {1'000};

/// Builds the rejection of a request that was not sent to any backend server.
inline Refuse makeRefusal(RequestId request, ErrorCode code, std::string message,
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
