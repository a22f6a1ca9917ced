#include "network/event_loop.h"

#include "core/error_type.h"
#include "network/log.h"

#include <csignal>
#include <ctime>

namespace bramleypitch {

namespace {

/// Added to the boot-time clock, so that the zero time point, which stands for "never", lies a day
/// in the past even on a machine that has just booted.
constexpr Duration clockOffset {24 * 3'600'000};
constexpr int millisecondsPerSecond = 1'000;
constexpr int microsecondsPerMillisecond = 1'000;

constexpr std::uint64_t maxLoggedFailures = 1'000; ///< Further ones are only counted.
constexpr std::size_t maxReasonBytes = 200;

std::uint64_t failures = 0;

timeval toTimeval(Duration duration)
{
    timeval value {};
    value.tv_sec = duration.count() / millisecondsPerSecond;
    value.tv_usec = (duration.count() % millisecondsPerSecond) * microsecondsPerMillisecond;
    return value;
}

} // namespace

bool guardCallback(const char *callback, const std::function<void()> &body)
{
    try {
        body();
        return true;
    } catch (const std::exception &error) {
        if (++failures <= maxLoggedFailures)
            logLine(LogLevel::Error, "callback_failed",
                    {{"callback", callback},
                     {"reason", std::string(error.what()).substr(0, maxReasonBytes)}});
        return false;
    }
}

std::uint64_t callbackFailures()
{
    return failures;
}

EventLoop::EventLoop()
    : m_base(event_base_new(), event_base_free)
{
    if (!m_base)
        throw Failure(ErrorCode::Internal, "cannot create the event loop");
}

void EventLoop::run()
{
    event_base_loop(m_base.get(), EVLOOP_NO_EXIT_ON_EMPTY);
}

void EventLoop::stop()
{
    event_base_loopbreak(m_base.get());
}

TimePoint EventLoop::now() const
{
    timespec sinceBoot {};
    clock_gettime(CLOCK_BOOTTIME, &sinceBoot);
    return TimePoint(
        clockOffset
        + std::chrono::duration_cast<Duration>(std::chrono::seconds(sinceBoot.tv_sec)
                                               + std::chrono::nanoseconds(sinceBoot.tv_nsec)));
}

WallTime EventLoop::wallTime() const
{
    const auto system = std::chrono::system_clock::now().time_since_epoch();
    return WallTime(std::chrono::duration_cast<std::chrono::milliseconds>(system).count());
}

Timer::Timer(EventLoop &loop, std::function<void()> callback)
    : m_callback(std::move(callback))
    , m_event(event_new(loop.base(), -1, 0, onTriggered, this))
{
}

Timer::~Timer()
{
    event_free(m_event);
}

void Timer::schedule(Duration delay)
{
    const timeval value = toTimeval(delay);
    event_add(m_event, &value);
}

void Timer::startOnce(Duration delay)
{
    m_interval = Duration(0);
    schedule(delay);
}

void Timer::startRepeating(Duration interval)
{
    m_interval = interval;
    schedule(interval);
}

void Timer::stop()
{
    event_del(m_event);
}

void Timer::onTriggered(evutil_socket_t, short, void *self)
{
    auto *timer = static_cast<Timer *>(self);
    if (timer->m_interval > Duration(0))
        timer->schedule(timer->m_interval);
    // The callback may destroy the timer and with it the stored function, so call a copy.
    const std::function<void()> callback = timer->m_callback;
    guardCallback("timer", callback);
}

SignalHandler::SignalHandler(EventLoop &loop, int signal, std::function<void()> callback)
    : m_callback(std::move(callback))
    , m_signal(signal)
    , m_event(evsignal_new(loop.base(), signal, onTriggered, this))
{
    event_add(m_event, nullptr);
    setPending(m_signal, false);
}

SignalHandler::~SignalHandler()
{
    setPending(m_signal, true);
    event_free(m_event);
}

void SignalHandler::setPending(int signal, bool pending)
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, signal);
    pthread_sigmask(pending ? SIG_BLOCK : SIG_UNBLOCK, &signals, nullptr);
}

void SignalHandler::onTriggered(evutil_socket_t, short, void *self)
{
    guardCallback("signal", static_cast<SignalHandler *>(self)->m_callback);
}

} // namespace bramleypitch
