#pragma once

#include "network/serving_daemon.h"

namespace bramleypitch::platform {

/// The platform's keys, bodies and headers.
ServingDialect servingDialect();

/// Reads the operator's configuration; throws Failure(PlatformProtocol) naming the field.
ServingConfiguration readConfiguration(const std::string &text);

/// Reads a server's entry; throws Failure(PlatformProtocol) naming the field.
BackendReport readServer(const VmId &id, const std::string &text);

/// How a caller's request is read and an attempt is written.
RelayDialect relayDialect();

} // namespace bramleypitch::platform
