#pragma once

namespace bramleypitch {

/// Prepares the process for a server; to be called before anything else.
///
/// SIGTERM, SIGINT and SIGHUP stay pending from now on until a SignalHandler takes them. SIGPIPE is ignored.
void prepareServerProcess();

} // namespace bramleypitch
