#pragma once

namespace bramleypitch::platform {

/// Whether the process was started by the platform, with a settings file of its format.
bool isPlatformStart();

/// Runs a serving node from the platform's settings file until it is stopped. Throws Failure for
/// settings that cannot be used.
void runPlatformServe();

} // namespace bramleypitch::platform
