#include "platform/platform_serve.h"

#include "core/error_type.h"
#include "network/log.h"
#include "platform/platform_dialect.h"
#include "platform/platform_settings.h"
#include "platform/platform_store.h"

#include <csignal>
#include <cstdlib>
#include <memory>

namespace bramleypitch::platform {

namespace {

/// Interval between checks of the settings file, which may change without a signal.
constexpr Duration settingsCheckInterval {2'000};
/// Between two reads of a settings file that has changed. Must exceed the time for writing it.
constexpr Duration secondReadDelay {50};
constexpr std::uint16_t metricsPort = 7'354; ///< Must match the port in the deploy file.

} // namespace

bool isStartedByPlatform()
{
    return std::getenv(settingsPathVariable) != nullptr;
}

void runPlatformServe()
{
    const std::string path = std::getenv(settingsPathVariable);
    const SettingsFile file = SettingsFile::read(path);
    const ServingOptions options = servingOptions(file, metricsPort);
    startLog(LogFormat::KeyValue, LogLevel::Info, options.node.value());
    std::signal(SIGPIPE, SIG_IGN);
    EventLoop loop;
    HttpClient http(loop);
    PlatformStore store(http, storeAddress(file));
    ServingDaemon daemon(loop, options, servingDialect(), store, http);
    SettingsWatch settings(file);
    std::unique_ptr<Timer> secondRead;
    const auto reload = [&](bool forced) {
        try {
            const bool changed = settings.take(SettingsFile::read(path));
            if (settings.isUnsettled())
                secondRead->startOnce(secondReadDelay);
            else if (changed || forced)
                daemon.reload(servingOptions(settings.current(), metricsPort));
        } catch (const Failure &failure) {
            logLine(LogLevel::Warning, "settings_unreadable",
                    {{"path", path}, {"reason", failure.what()}});
        }
    };
    secondRead = std::make_unique<Timer>(loop, [&] { reload(false); });
    const SignalHandler terminate(loop, SIGTERM, [&] { daemon.stop(); });
    const SignalHandler interrupt(loop, SIGINT, [&] { daemon.stop(); });
    const SignalHandler hangUp(loop, SIGHUP, [&] { reload(true); });
    Timer settingsTimer(loop, [&] { reload(false); });
    settingsTimer.startRepeating(settingsCheckInterval);
    daemon.start();
    loop.run();
}

} // namespace bramleypitch::platform
