#pragma once

#include "coordination/node.h"

#include <string>
#include <vector>

namespace bramleypitch::test {

/// One line for an event or an action, with everything that matters about it.
std::string describe(const Event &event);
std::string describe(const Action &action);

/// A session of one node: every event that goes in and every action that comes out, as text.
class Session
{
public:
    Session();

    /// Lets time pass and hands one event in.
    void at(std::int64_t time, const Event &event);
    /// A line that says what the story is about.
    void say(const std::string &text);
    /// The node knows its configuration, its VMs, two whole warm groups and a service VM.
    void begin(const std::string &zonesOut = "[]", bool warm = true);
    /// The node knows its configuration and its VMs; no group is placed yet and no VM has a model.
    void beginEmpty();
    /// All VMs confirm what they did at begin().
    void confirmAll(std::int64_t time);
    /// One VM confirms a group in a generation.
    void confirm(std::int64_t time, const std::string &vm, const std::string &group,
                 std::uint64_t generation, std::uint32_t completed = 9,
                 const std::string &boot = "b1");
    /// The shared values are read; `values` are those that changed.
    void readShared(std::int64_t time, const std::vector<SharedValue> &values);
    /// The configuration as a shared value.
    static SharedValue configuration(std::int64_t revision, const std::string &zonesOut);
    /// A caller's requests.
    void askCompletion(std::int64_t time, std::uint64_t request, const std::string &prompt);
    void askPayment(std::int64_t time, std::uint64_t request, const std::string &key, bool first);
    /// The operation of the newest action of a type.
    OperationId lastOperation() const { return m_lastOperation; }
    /// Every compare-and-swap asked for since the last call is written, at the next revisions, and
    /// the values are read back.
    void writeAll(std::int64_t time);
    /// Every load order since the last call is obeyed, and the member confirms its group.
    void obeyAll(std::int64_t time);

    Node &node() { return m_node; }
    const std::string &text() const { return m_text; }

private:
    void learnVms();

    Node m_node;
    std::string m_text;
    OperationId m_lastOperation;
    std::vector<CompareAndSwap> m_swaps; ///< Not yet written.
    std::vector<SendOrder> m_orders; ///< Not yet obeyed.
    std::int64_t m_revision = 10;
    OperationId m_readOperation;
    bool m_warm = true;
};

/// Compares a session with its golden file, byte for byte. With UPDATE_GOLDEN set in the
/// environment the file is written anew instead.
void expectGolden(const Session &session, const std::string &name);

} // namespace bramleypitch::test
