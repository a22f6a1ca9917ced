#pragma once

#include "network/serving_daemon.h"

namespace bramleypitch::platform {

/// Returns the platform's store keys, message bodies and headers.
ServingDialect servingDialect();

/// Parses the operator's configuration. Throws Failure(PlatformProtocol) with a message that names
/// the field.
ServingConfiguration readConfiguration(const std::string &text);

/// Parses the store entry of a server. Throws Failure with a message that names the field.
BackendReport readServer(const VmId &id, const std::string &text);

/// Returns the functions that parse callers' requests and format the requests to servers.
RelayDialect relayDialect();

} // namespace bramleypitch::platform
