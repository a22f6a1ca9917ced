#pragma once

#include "core/time_type.h"

#include <event2/event.h>

#include <functional>
#include <memory>

namespace bramleypitch {

/// The one event loop of a process, and the only place where clocks are read.
class EventLoop
{
public:
    EventLoop();
    EventLoop(const EventLoop &) = delete;
    EventLoop &operator=(const EventLoop &) = delete;

    event_base *base() const { return m_base.get(); }
    /// Runs until stop() is called.
    void run();
    /// Lets run() return after the present callback.
    void stop();

    /// Monotonic time that goes on while the machine is suspended, so that leases and proofs age;
    /// its zero lies well before the start of the process.
    TimePoint now() const;
    /// Wall clock time.
    WallTime wall() const;

private:
    std::unique_ptr<event_base, void (*)(event_base *)> m_base;
};

/// Calls a hook once after a delay, or at a fixed interval, until it is destroyed.
class Timer
{
public:
    Timer(EventLoop &loop, std::function<void()> hook);
    ~Timer();
    Timer(const Timer &) = delete;
    Timer &operator=(const Timer &) = delete;

    void startOnce(Duration delay);
    void startRepeating(Duration interval);
    void stop();

private:
    static void fired(evutil_socket_t, short, void *self);
    void add(Duration delay);

    std::function<void()> m_hook;
    event *m_event;
    Duration m_interval {0};
};

/// Calls a hook when the process gets a signal.
class SignalWatch
{
public:
    SignalWatch(EventLoop &loop, int signal, std::function<void()> hook);
    ~SignalWatch();
    SignalWatch(const SignalWatch &) = delete;
    SignalWatch &operator=(const SignalWatch &) = delete;

private:
    static void fired(evutil_socket_t, short, void *self);

    std::function<void()> m_hook;
    event *m_event;
};

} // namespace bramleypitch
