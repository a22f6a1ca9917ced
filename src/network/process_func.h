#pragma once

namespace bramleypitch {

/// Prepares the process for a server; to be called before anything else.
///
/// SIGTERM, SIGINT and SIGHUP stay pending from now on until a SignalHandler takes them. SIGPIPE
/// and SIGXFSZ are ignored, so that an output that takes no more does not end the process. Standard
/// descriptors that are closed are opened on /dev/null, so that no socket gets their numbers and
/// with them the log.
void prepareServerProcess();

} // namespace bramleypitch
