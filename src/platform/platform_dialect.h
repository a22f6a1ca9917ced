#pragma once

#include "network/serving_daemon.h"

namespace bramleypitch::platform {

/// Returns the platform's store keys, message bodies and headers.
ServingDialect servingDialect();

/// Whether a document is meant as a configuration of the platform.
bool isConfiguration(const std::string &text);
/// Parses the operator's configuration. An item of a list that cannot be read is noted in it and
/// grants nothing. Throws Failure(PlatformProtocol), which names the field, if the version or a
/// list cannot be read.
ServingConfiguration readConfiguration(const std::string &text);

/// Parses the store entry of a server. Throws Failure with a message that names the field.
BackendReport readServer(const VmId &id, const std::string &text);

/// Returns the functions that parse callers' requests and format the requests to servers.
RelayDialect relayDialect();

} // namespace bramleypitch::platform
