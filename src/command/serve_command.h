#pragma once

#include <string>
#include <vector>

namespace bramleypitch {

/// Runs an entry node until it receives SIGTERM or SIGINT.
void runServe(const std::vector<std::string> &arguments);

} // namespace bramleypitch
