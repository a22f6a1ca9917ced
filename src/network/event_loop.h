#pragma once

#include "core/time_type.h"

#include <event2/event.h>

#include <cstdint>
#include <functional>
#include <memory>

namespace bramleypitch {

/// Runs code that a C library calls, which an exception must not leave: it is counted and logged.
/// Returns whether the code returned normally. `callback` names it in the log.
bool guardCallback(const char *callback, const std::function<void()> &body);
/// Number of exceptions that reached guardCallback(). Each of them is a fault.
std::uint64_t callbackFailures();

/// The event loop of the process. Other code takes the time from here instead of reading clocks.
class EventLoop
{
public:
    EventLoop();
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    event_base *base() const { return m_base.get(); }
    /// Runs until stop() is called.
    void run();
    /// Makes run() return after the current callback.
    void stop();

    /// Monotonic time that includes time spent suspended, so that leases and freshness proofs
    /// keep ageing during a suspend. Its epoch lies at least a day before the process started.
    TimePoint now() const;
    /// Wall-clock time since the Unix epoch.
    WallTime wallTime() const;

private:
    std::unique_ptr<event_base, void (*)(event_base *)> m_base;
};

/// Calls a function once after a delay or repeatedly at a fixed interval. Destroying the timer
/// cancels it.
class Timer
{
public:
    Timer(EventLoop &loop, std::function<void()> callback);
    ~Timer();
    Timer(const Timer &) = delete;
    Timer &operator=(const Timer &) = delete;

    void startOnce(Duration delay);
    void startRepeating(Duration interval);
    void stop();

private:
    static void onTriggered(evutil_socket_t, short, void *self);
    void schedule(Duration delay);

    std::function<void()> m_callback;
    event *m_event;
    Duration m_interval {0};
};

/// Calls a function on the event loop whenever the process receives a given signal. The signal is
/// pending before and after the lifetime of the handler if prepareServerProcess() was called, and
/// never has its default action, which would end the process.
class SignalHandler
{
public:
    SignalHandler(EventLoop &loop, int signal, std::function<void()> callback);
    ~SignalHandler();
    SignalHandler(const SignalHandler &) = delete;
    SignalHandler &operator=(const SignalHandler &) = delete;

    /// Keeps a signal pending, or delivers it from now on.
    static void setPending(int signal, bool pending);

private:
    static void onTriggered(evutil_socket_t, short, void *self);

    std::function<void()> m_callback;
    int m_signal;
    event *m_event;
};

} // namespace bramleypitch
