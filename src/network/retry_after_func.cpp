#include "network/retry_after_func.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <cstdio>

namespace bramleypitch {

namespace {

constexpr double millisecondsPerSecond = 1'000;

} // namespace

RetryAfter parseRetryAfter(std::string_view value)
{
    const auto isDigit = [](char c) { return c >= '0' && c <= '9'; };
    double seconds = 0;
    const char *end = value.data() + value.size();
    const auto [parsed, error] =
        std::from_chars(value.data(), end, seconds, std::chars_format::fixed);
    if (value.empty() || !isDigit(value.front()) || parsed != end)
        return {std::nullopt, "not_seconds"};
    const double milliseconds = std::ceil(seconds * millisecondsPerSecond);
    if (error == std::errc::result_out_of_range
        || milliseconds > static_cast<double>(maxRetryAfter.count()))
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
