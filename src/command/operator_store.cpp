#include "command/operator_store.h"

#include "coordination/environment_func.h"
#include "network/lease_keeper.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <cstdio>

namespace bramleypitch {

namespace {

constexpr Duration statusTimeout {1'000};
constexpr int statusOk = 200;

/// Formats a revision with leading zeros, so that keys sort in numeric order.
std::string formatRevision(Revision revision)
{
    std::array<char, 24> digits {};
    std::snprintf(digits.data(), digits.size(), "%019lld",
                  static_cast<long long>(revision.value()));
    return digits.data();
}

/// Parses a stored audit record, whose key ends with its revision. Throws Failure if it is
/// malformed.
AcceptedChange parseAuditRecord(const SharedValue &value, const std::string &prefix)
{
    try {
        return {Revision(std::stoll(value.key.substr(prefix.size()))),
                parseAudit(nlohmann::json::parse(value.value))};
    } catch (const std::exception &error) {
        throw Failure(ErrorCode::PlatformProtocol,
                      "the audit record " + value.key + " is unreadable: " + error.what());
    }
}

} // namespace

OperatorStore::OperatorStore(const Settings &settings)
    : m_http(m_loop)
    , m_platform(m_loop, m_http, settings.url(Setting::Platform), settings.url(Setting::Platform))
    , m_environment(settings.text(Setting::Environment))
{
}

StoredEnvelope OperatorStore::read(Stage stage)
{
    StoreRead result;
    m_platform.readKey(configurationKey(m_environment, stage), [&](const StoreRead &read) {
        result = read;
        m_loop.stop();
    });
    m_loop.run();
    if (!result.ok)
        throw Failure(ErrorCode::PlatformUnavailable,
                      "the platform's key-value store did not respond");
    StoredEnvelope stored;
    if (!result.values.empty()) {
        stored.revision = result.values.front().revision;
        stored.envelope = parseEnvelope(result.values.front().value);
    }
    return stored;
}

void OperatorStore::saveAuditRecord(Stage stage, const StoredEnvelope &current)
{
    if (!current.envelope)
        return;
    const std::string key = auditPrefix(m_environment, stage) + formatRevision(current.revision);
    StoreSwapResult result;
    m_platform.compareAndSwap(key, Revision(0), auditJson(current.envelope->audit).dump(), 0,
                              [&](const StoreSwapResult &swap) {
                                  result = swap;
                                  m_loop.stop();
                              });
    m_loop.run();
    // A conflict means that an earlier change has already stored this record.
    if (result.outcome == StoreSwapOutcome::Unknown)
        throw Failure(ErrorCode::PlatformUnavailable,
                      "the audit record of the current value could not be stored");
}

Revision OperatorStore::execute(const EnvelopeChange &change)
{
    const StoredEnvelope current = read(change.stage);
    if (current.revision != change.expected)
        throw Failure(ErrorCode::Conflict,
                      "another operator has changed this stage in the meantime");
    saveAuditRecord(change.stage, current);
    StoreSwapResult result;
    m_platform.compareAndSwap(configurationKey(m_environment, change.stage), change.expected,
                              serializeEnvelope(change.envelope), 0,
                              [&](const StoreSwapResult &swap) {
                                  result = swap;
                                  m_loop.stop();
                              });
    m_loop.run();
    if (result.outcome == StoreSwapOutcome::Conflict)
        throw Failure(ErrorCode::Conflict,
                      "another operator has changed this stage in the meantime");
    if (result.outcome == StoreSwapOutcome::Unknown)
        throw Failure(
            ErrorCode::OutcomeUnknown,
            "the write was sent but its outcome is unknown; check it with the status command");
    return result.revision;
}

StoreRead OperatorStore::readPrefix(const std::string &prefix)
{
    StoreRead result;
    m_platform.readPrefix(prefix, Revision(0), [&](const StoreRead &read) {
        result = read;
        m_loop.stop();
    });
    m_loop.run();
    if (!result.ok)
        throw Failure(ErrorCode::PlatformUnavailable,
                      "the platform's key-value store did not respond");
    return result;
}

std::vector<AcceptedChange> OperatorStore::audit(Stage stage)
{
    const std::string prefix = auditPrefix(m_environment, stage);
    const StoredEnvelope current = read(stage);
    std::vector<AcceptedChange> changes;
    for (const SharedValue &value : readPrefix(prefix).values) {
        const AcceptedChange change = parseAuditRecord(value, prefix);
        if (change.revision < current.revision)
            changes.push_back(change);
    }
    if (current.envelope)
        changes.push_back({current.revision, current.envelope->audit});
    std::sort(changes.begin(), changes.end(), [](const AcceptedChange &a, const AcceptedChange &b) {
        return a.revision < b.revision;
    });
    return changes;
}

std::vector<NodeRecord> OperatorStore::nodes()
{
    return parseNodeRecords(readPrefix(nodePrefix(m_environment)));
}

std::optional<std::string> OperatorStore::fetchNodeStatus(const Address &entry)
{
    std::optional<std::string> status;
    HttpCall call;
    call.address = entry;
    call.path = "/status";
    call.timeLimit = statusTimeout;
    HttpHooks hooks;
    hooks.onResponse = [&](const HttpResponse &response) {
        if (response.status == statusOk)
            status = response.body;
        m_loop.stop();
    };
    hooks.onFailure = [&](const HttpFailure &) { m_loop.stop(); };
    m_http.send(call, std::move(hooks));
    m_loop.run();
    return status;
}

} // namespace bramleypitch
