#pragma once

#include "coordination/node.h"

#include <string>
#include <vector>

namespace bramleypitch::test {

/// Returns an event or action as one line of text, with the fields that the golden files compare.
std::string describe(const Event &event);
std::string describe(const Action &action);

/// Drives one node and records every input event and every resulting action as text.
class Session
{
public:
    Session();

    /// Advances the clock to `time`, in milliseconds since the start, and lets the node handle an
    /// event.
    void at(std::int64_t time, const Event &event);
    /// Adds a line of explanation to the transcript.
    void addNote(const std::string &text);
    /// Gives the node its configuration, its VMs, two complete groups and a service VM. The VMs are
    /// warm unless `warm` is false.
    void startWithGroups(const std::string &zonesOut = "[]", bool warm = true);
    /// Gives the node its configuration and its VMs, without any group or VM confirmation.
    void startWithoutGroups();
    /// All VMs confirm the same state as at startWithGroups().
    void confirmAll(std::int64_t time);
    /// A VM answers a probe and confirms its group and generation.
    void confirm(std::int64_t time, const std::string &vm, const std::string &group,
                 std::uint64_t generation, std::uint32_t completed = 9,
                 const std::string &boot = "b1");
    /// Completes the newest read of the shared values; `values` are those that changed.
    void readShared(std::int64_t time, const std::vector<SharedValue> &values);
    /// Returns the configuration as a shared value; `zonesOut` is a JSON array of zone names.
    static SharedValue configuration(std::int64_t revision, const std::string &zonesOut);
    /// A caller requests a completion of three tokens.
    void requestCompletion(std::int64_t time, std::uint64_t request, const std::string &prompt);
    /// A caller requests a payment; `first` is whether this is the first attempt with the
    /// idempotency key `key`.
    void requestPayment(std::int64_t time, std::uint64_t request, const std::string &key,
                        bool first);
    /// Returns the operation of the newest action that has one, ignoring reads of the shared
    /// values.
    OperationId lastOperation() const { return m_lastOperation; }
    /// Completes every compare-and-swap requested since the last call, with consecutive revisions,
    /// and reads the shared values back.
    void completeWrites(std::int64_t time);
    /// Completes every order sent since the last call; its VM confirms the ordered group.
    void completeOrders(std::int64_t time);

    Node &node() { return m_node; }
    const std::string &text() const { return m_text; }

private:
    /// Grants the node its lease and gives it the list of VMs.
    void receiveLeaseAndVmList();

    Node m_node;
    std::string m_text;
    OperationId m_lastOperation;
    std::vector<CompareAndSwap> m_pendingSwaps; ///< Not completed yet.
    std::vector<SendOrder> m_pendingOrders; ///< Not completed yet.
    std::int64_t m_revision = 10; ///< Revision of the newest write by completeWrites().
    OperationId m_readOperation; ///< Operation of the newest read of the shared values.
    bool m_warm = true;
};

/// Compares the transcript of a session with its golden file byte for byte. If the environment
/// variable UPDATE_GOLDEN is set, overwrites the file instead.
void expectGolden(const Session &session, const std::string &name);

} // namespace bramleypitch::test
