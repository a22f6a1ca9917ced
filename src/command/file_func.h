#pragma once

#include <string>

namespace bramleypitch {

/// Returns the content of a file. Throws Failure(InvalidSetting) if it cannot be read.
std::string readFile(const std::string &path);

} // namespace bramleypitch
