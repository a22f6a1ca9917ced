#pragma once

#include <string>
#include <vector>

namespace bramleypitch {

/// Generates load on a running system and prints a table of the results.
void runLoad(const std::vector<std::string> &arguments);

} // namespace bramleypitch
