#include "network/decimal_func.h"

#include <charconv>
#include <limits>

namespace bramleypitch {

std::optional<double> parseDecimal(std::string_view text)
{
    double number = 0;
    const char *end = text.data() + text.size();
    const auto [parsed, error] =
        std::from_chars(text.data(), end, number, std::chars_format::fixed);
    if (text.empty() || text.front() < '0' || text.front() > '9' || parsed != end)
        return std::nullopt;
    if (error == std::errc::result_out_of_range)
        return text.front() == '0' ? 0 : std::numeric_limits<double>::infinity();
    return number;
}

} // namespace bramleypitch
