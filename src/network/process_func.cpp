#include "network/process_func.h"

#include "network/event_loop.h"

#include <csignal>

namespace bramleypitch {

void prepareServerProcess()
{
    for (const int signal : {SIGTERM, SIGINT, SIGHUP})
        SignalHandler::setPending(signal, true);
    std::signal(SIGPIPE, SIG_IGN);
}

} // namespace bramleypitch
