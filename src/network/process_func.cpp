#include "network/process_func.h"

#include "network/event_loop.h"

#include <fcntl.h>
#include <unistd.h>

#include <csignal>

namespace bramleypitch {

void prepareServerProcess()
{
    for (const int signal : {SIGTERM, SIGINT, SIGHUP})
        SignalHandler::setPending(signal, true);
    for (const int signal : {SIGPIPE, SIGXFSZ})
        std::signal(signal, SIG_IGN);
    int descriptor = 0;
    do {
        descriptor = open("/dev/null", O_RDWR);
    } while (descriptor >= 0 && descriptor <= STDERR_FILENO);
    if (descriptor > STDERR_FILENO)
        close(descriptor);
}

} // namespace bramleypitch
