#include "network/retry_after_func.h"

#include "network/decimal_func.h"

#include <array>
#include <cmath>
#include <cstdio>

namespace bramleypitch {

namespace {

constexpr double millisecondsPerSecond = 1'000;

} // namespace

RetryAfter parseRetryAfter(std::string_view value)
{
    const std::optional<double> seconds = parseDecimal(value);
    if (!seconds)
        return {std::nullopt, "not_seconds"};
    const double milliseconds = std::ceil(*seconds * millisecondsPerSecond);
    if (milliseconds > static_cast<double>(maxRetryAfter.count()))
        return {maxRetryAfter, "bounded"};
    return {Duration(static_cast<Duration::rep>(milliseconds)), nullptr};
}

std::string formatRetryAfter(Duration delay)
{
    std::array<char, 32> text {};
    std::snprintf(text.data(), text.size(), "%.3f",
                  static_cast<double>(delay.count()) / millisecondsPerSecond);
    return text.data();
}

} // namespace bramleypitch
