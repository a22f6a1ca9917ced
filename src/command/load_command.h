#pragma once

#include <string>
#include <vector>

namespace bramleypitch {

/// Puts load on a running system and prints what came of it.
void runLoad(const std::vector<std::string> &arguments);

} // namespace bramleypitch
