#pragma once

#include <optional>
#include <string_view>

namespace bramleypitch {

/// Parses a plain decimal number, digits with an optional fraction, as used in headers. Signs,
/// exponents and blanks are not accepted. Returns infinity if the number is too large for a double.
std::optional<double> parseDecimal(std::string_view text);

} // namespace bramleypitch
