#pragma once

#include <string>
#include <vector>

namespace bramleypitch {

/// Runs an entry node until it is told to stop by SIGTERM or SIGINT.
void runServe(const std::vector<std::string> &arguments);

} // namespace bramleypitch
