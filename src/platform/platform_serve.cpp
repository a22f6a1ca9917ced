#include "platform/platform_serve.h"

#include "core/error_type.h"
#include "network/log.h"
#include "platform/platform_dialect.h"
#include "platform/platform_settings.h"
#include "platform/platform_store.h"

#include <csignal>
#include <cstdlib>
#include <memory>
#include <optional>

namespace bramleypitch::platform {

namespace {

/// Interval between checks of the settings file, which may change without a signal.
constexpr Duration settingsCheckInterval {2'000};
/// Between two reads of a settings file that has changed. Must exceed the time for writing it.
constexpr Duration secondReadDelay {50};
/// Interval at which a start is tried again.
constexpr Duration startRetryInterval {100};
constexpr std::uint16_t metricsPort = 7'354; ///< Must match the port in the deploy file.

/// The options of the settings file and the environment.
ServingOptions nodeOptions(const SettingsFile &file)
{
    ServingOptions options = servingOptions(file, metricsPort);
    options.requests.lateRequests = parseLateRequests(std::getenv(lateRequestsVariable));
    options.requests.assumesPeersAtStart =
        parseSwitch(startPhaseVariable, std::getenv(startPhaseVariable));
    options.formation.followsDemand =
        parseSwitch(demandSplitVariable, std::getenv(demandSplitVariable));
    return options;
}

/// A serving node and its settings file. The node starts as soon as the file is usable and its
/// addresses can be bound; until then a start is tried again and again. An earlier process of the
/// node, or a connection of any process, may still have the addresses.
class PlatformNode
{
public:
    explicit PlatformNode(std::string path);

    /// Runs until the process is stopped by a signal.
    void run();

private:
    /// Reads the settings file, and starts or reloads the node if the file has settled.
    void readSettings();
    /// Applies the settings file even if it has not changed.
    void reload();
    /// Applies the settings that can change at run time.
    void applySettings();
    /// Throws Failure if the node cannot start now.
    void start();
    void stop();
    /// Logs why the settings file does not take effect, unless that was the last line about it.
    void logDelay(const Failure &failure);

    std::string m_path;
    EventLoop m_loop;
    HttpClient m_http {m_loop};
    SettingsWatch m_settings;
    std::optional<PlatformStore> m_store;
    std::unique_ptr<ServingDaemon> m_daemon; ///< Null until the node has started.
    bool m_reloadRequested = false;
    std::string m_delayReason; ///< Why the settings file does not take effect; empty if it does.
    Timer m_settingsTimer;
    SignalHandler m_terminate;
    SignalHandler m_interrupt;
    SignalHandler m_hangUp;
};

PlatformNode::PlatformNode(std::string path)
    : m_path(std::move(path))
    , m_settingsTimer(m_loop, [this] { readSettings(); })
    , m_terminate(m_loop, SIGTERM, [this] { stop(); })
    , m_interrupt(m_loop, SIGINT, [this] { stop(); })
    , m_hangUp(m_loop, SIGHUP, [this] { reload(); })
{
}

void PlatformNode::run()
{
    readSettings();
    m_loop.run();
}

void PlatformNode::reload()
{
    m_reloadRequested = true;
    if (!m_settings.isUnsettled())
        readSettings();
}

void PlatformNode::readSettings()
{
    Duration nextRead = m_daemon ? settingsCheckInterval : startRetryInterval;
    try {
        const bool changed = m_settings.take(SettingsFile::read(m_path));
        if (m_settings.isUnsettled()) {
            nextRead = secondReadDelay;
        } else {
            if (!m_daemon)
                start();
            else if (changed || m_reloadRequested)
                applySettings();
            m_reloadRequested = false;
            m_delayReason.clear();
            nextRead = settingsCheckInterval;
        }
    } catch (const Failure &failure) {
        logDelay(failure);
    }
    m_settingsTimer.startOnce(nextRead);
    if (!m_daemon)
        flushLog();
}

void PlatformNode::start()
{
    const SettingsFile &file = m_settings.current();
    const ServingOptions options = nodeOptions(file);
    setLogNode(options.node.value());
    m_store.emplace(m_http, storeAddress(file));
    auto daemon =
        std::make_unique<ServingDaemon>(m_loop, options, servingDialect(), *m_store, m_http);
    daemon->start();
    m_daemon = std::move(daemon);
}

void PlatformNode::applySettings()
{
    m_store->setAddress(storeAddress(m_settings.current()));
    m_daemon->reload(nodeOptions(m_settings.current()));
}

void PlatformNode::stop()
{
    if (m_daemon) {
        m_daemon->stop();
        return;
    }
    logLine(LogLevel::Info, "stopped", {{"after_ms", "0"}});
    flushLog();
    m_loop.stop();
}

void PlatformNode::logDelay(const Failure &failure)
{
    if (m_delayReason == failure.what())
        return;
    m_delayReason = failure.what();
    logLine(LogLevel::Warning,
            failure.code() == ErrorCode::AddressUnavailable ? "address_unavailable"
                                                            : "settings_unreadable",
            {{"path", m_path}, {"reason", m_delayReason}});
}

} // namespace

bool isStartedByPlatform()
{
    return std::getenv(settingsPathVariable) != nullptr;
}

void runPlatformServe()
{
    startLog(LogFormat::KeyValue, LogLevel::Info, "");
    PlatformNode(std::getenv(settingsPathVariable)).run();
}

} // namespace bramleypitch::platform
