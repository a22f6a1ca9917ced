#include "command/serve_command.h"

#include "network/daemon.h"
#include "network/log.h"
#include "network/process_func.h"
#include "platform/platform_serve.h"
#include "settings/settings.h"

#include <csignal>
#include <random>

namespace bramleypitch {

namespace {

std::uint64_t chooseSeed(const Settings &settings)
{
    const auto configuredSeed = static_cast<std::uint64_t>(settings.integer(Setting::Seed));
    if (configuredSeed != 0)
        return configuredSeed;
    std::random_device device;
    return (std::uint64_t {device()} << 32U) | device();
}

LogLevel parseLogLevel(const std::string &name)
{
    if (name == "debug")
        return LogLevel::Debug;
    if (name == "warning")
        return LogLevel::Warning;
    if (name == "error")
        return LogLevel::Error;
    return LogLevel::Info;
}

NodeOptions makeNodeOptions(const Settings &settings)
{
    NodeOptions options;
    options.node = NodeId(settings.text(Setting::Node));
    options.environment = EnvironmentId(settings.text(Setting::Environment));
    options.stage = settings.text(Setting::Stage) == "trial" ? Stage::Trial : Stage::Production;
    options.zone = ZoneId(settings.text(Setting::AvailabilityZone));
    options.entryAddress = settings.address(Setting::Listen);
    options.peerAddress = settings.address(Setting::PeerListen);
    options.seed = chooseSeed(settings);
    options.probeInterval = settings.milliseconds(Setting::ProbeIntervalMs);
    options.placement.memberFreshness = settings.milliseconds(Setting::MemberFreshnessMs);
    options.placement.orderLifetime = settings.milliseconds(Setting::OrderLifetimeMs);
    options.configurationFreshness = settings.milliseconds(Setting::ConfigurationFreshnessMs);
    options.entryCacheTime = settings.milliseconds(Setting::EntryKeepMs);
    options.watchersPerZone =
        static_cast<std::uint32_t>(settings.integer(Setting::WatchersPerZone));
    options.maxRoutedDomains = static_cast<std::uint32_t>(settings.integer(Setting::DomainSubset));
    options.loadsAtOnce = static_cast<std::uint32_t>(settings.integer(Setting::LoadsAtOnce));
    options.baselinePolicy = settings.text(Setting::BaselinePolicy) == "on";
    options.leaseRenewInterval = settings.milliseconds(Setting::LeaseMs) / 5;
    return options;
}

} // namespace

void runServe(const std::vector<std::string> &arguments)
{
    prepareServerProcess();
    if (platform::isStartedByPlatform()) {
        platform::runPlatformServe();
        return;
    }
    const Settings settings(arguments,
                            {Setting::Listen, Setting::PeerListen, Setting::Platform,
                             Setting::Environment, Setting::AvailabilityZone, Setting::Node});
    if (!settings.operands().empty())
        throw Failure(ErrorCode::UnknownFlag,
                      settings.operands().front() + " is an unexpected argument");
    DaemonOptions options;
    options.node = makeNodeOptions(settings);
    options.platform = settings.url(Setting::Platform);
    options.vmList =
        settings.isGiven(Setting::VmList) ? settings.url(Setting::VmList) : options.platform;
    options.leaseTimeToLive = settings.milliseconds(Setting::LeaseMs);
    startLog(settings.text(Setting::LogFormat) == "json" ? LogFormat::Json : LogFormat::KeyValue,
             parseLogLevel(settings.text(Setting::LogLevel)), options.node.node.value());
    EventLoop loop;
    Daemon daemon(loop, std::move(options));
    const SignalHandler terminate(loop, SIGTERM, [&] { daemon.stop(); });
    const SignalHandler interrupt(loop, SIGINT, [&] { daemon.stop(); });
    daemon.start();
    loop.run();
}

} // namespace bramleypitch
