#include "network/event_loop.h"
#include "standin/standin_engine.h"
#include "standin/standin_platform.h"
#include "standin/standin_service.h"

#include <gflags/gflags.h>

#include <csignal>
#include <iostream>
#include <map>
#include <memory>

DEFINE_string(listen, "", "IP:PORT of the first simulated server");
DEFINE_int32(count, 1, "number of simulated servers, on consecutive ports");
DEFINE_int32(load_ms, 300, "engine: time to load model weights, in milliseconds");
DEFINE_int32(token_ms, 5, "engine: time per token, in milliseconds");
DEFINE_int32(cold_token_ms, 10, "engine: time per token while cold, in milliseconds");
DEFINE_int32(slots, 8, "engine: number of streams that run concurrently");
DEFINE_int32(cold_bears, 1, "engine: concurrent streams above which a cold engine restarts");
DEFINE_int32(warm_after, 4, "engine: completed streams after which the engine is warm");
DEFINE_bool(checks_fencing, true, "engine: reject outdated fencing tokens");

namespace {

using namespace bramleypitch;

/// Returns the addresses of all servers of this process: consecutive ports from --listen on.
std::vector<std::string> addresses()
{
    const std::size_t colon = FLAGS_listen.rfind(':');
    const int port = std::stoi(FLAGS_listen.substr(colon + 1));
    std::vector<std::string> all;
    all.reserve(static_cast<std::size_t>(FLAGS_count));
    for (int i = 0; i < FLAGS_count; ++i)
        all.push_back(FLAGS_listen.substr(0, colon + 1) + std::to_string(port + i));
    return all;
}

standin::EngineOptions engineOptions()
{
    standin::EngineOptions options;
    options.loadTime = Duration(FLAGS_load_ms);
    options.tokenInterval = Duration(FLAGS_token_ms);
    options.coldTokenInterval = Duration(FLAGS_cold_token_ms);
    options.slots = static_cast<std::uint32_t>(FLAGS_slots);
    options.maxColdStreams = static_cast<std::uint32_t>(FLAGS_cold_bears);
    options.warmAfter = static_cast<std::uint32_t>(FLAGS_warm_after);
    options.checksFencing = FLAGS_checks_fencing;
    return options;
}

} // namespace

int main(int argc, char **argv)
{
    gflags::ParseCommandLineFlags(&argc, &argv, true);
    const std::string kind = argc > 1 ? argv[1] : "";
    std::signal(SIGPIPE, SIG_IGN);
    EventLoop loop;
    const SignalHandler terminate(loop, SIGTERM, [&] { loop.stop(); });
    std::unique_ptr<standin::Platform> platform;
    std::map<std::string, std::unique_ptr<standin::Engine>> engines;
    std::vector<std::unique_ptr<standin::Service>> services;
    const auto findEngine = [&](const std::string &address) {
        const auto found = engines.find(address);
        return found == engines.end() ? nullptr : found->second.get();
    };
    if (kind == "platform") {
        platform = std::make_unique<standin::Platform>(loop, Address(FLAGS_listen));
    } else if (kind == "engine") {
        for (const std::string &address : addresses())
            engines[address] =
                std::make_unique<standin::Engine>(loop, address, engineOptions(), findEngine);
    } else if (kind == "service") {
        for (const std::string &address : addresses())
            services.push_back(std::make_unique<standin::Service>(loop, Address(address)));
    } else {
        std::cerr << "usage: bramleypitch-standin platform|engine|service --listen=IP:PORT\n";
        return 2;
    }
    loop.run();
    return 0;
}
