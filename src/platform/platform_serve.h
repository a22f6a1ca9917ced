#pragma once

namespace bramleypitch::platform {

/// Whether the platform started this process and gave it a settings file in the platform's format.
bool isStartedByPlatform();

/// Runs a serving node with the platform's settings file until it is stopped by a signal. Throws
/// Failure if a setting is missing or invalid.
void runPlatformServe();

} // namespace bramleypitch::platform
