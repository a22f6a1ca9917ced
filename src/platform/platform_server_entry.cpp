#include "core/error_type.h"
#include "platform/platform_dialect.h"

#include <nlohmann/json.hpp>

namespace bramleypitch::platform {

namespace {

using nlohmann::json;

MemberState readState(const std::string &state)
{
    if (state == "joining")
        return MemberState::Joining;
    if (state == "ready")
        return MemberState::Ready;
    if (state == "open")
        return MemberState::Open;
    if (state == "closing")
        return MemberState::Closing;
    if (state == "broken")
        return MemberState::Broken;
    throw Failure(ErrorCode::PlatformProtocol, "group.state: \"" + state + "\" is not known");
}

GroupMembership readMembership(const json &entry)
{
    GroupMembership membership;
    const auto group = entry.find("group");
    if (group == entry.end() || !group->is_object())
        return membership;
    membership.name = GroupId(group->at("name").get<std::string>());
    if (membership.name.value().empty())
        return membership;
    membership.generation = Generation(group->at("epoch").get<std::uint64_t>());
    membership.rank = group->value("rank", 0U);
    membership.state = readState(group->at("state").get<std::string>());
    return membership;
}

/// Parses a model or domain, which is given as a string, a number or an object with a name.
std::string readName(const json &value)
{
    if (value.is_string())
        return value.get<std::string>();
    if (value.is_object())
        return value.at("name").get<std::string>();
    return value.dump();
}

} // namespace

BackendReport readServer(const VmId &id, const std::string &text)
{
    try {
        const json entry = json::parse(text);
        BackendReport report;
        report.id = id;
        report.service = ServiceId(entry.at("service").get<std::string>());
        report.address = Address(entry.at("address").get<std::string>());
        report.zone = ZoneId(entry.at("zone").get<std::string>());
        report.slots = entry.value("slots", 0U);
        const std::string state = entry.at("state").get<std::string>();
        if (state != "ready" && state != "draining")
            throw Failure(ErrorCode::PlatformProtocol, "state: \"" + state + "\" is not known");
        report.draining = state == "draining";
        report.coldTimeLeft = Duration(entry.value("cold_remaining_ms", std::int64_t {0}));
        // "seq_num" in this entry counts its writes, not orders that the server has started.
        report.number = entry.value("seq_num", std::int64_t {0});
        report.startedAt = entry.value("born", std::int64_t {0});
        if (entry.contains("domain"))
            report.domain = DomainId(readName(entry["domain"]));
        if (entry.contains("models") && !entry["models"].empty())
            report.model = ModelId(readName(entry["models"].front()));
        if (entry.contains("staged")) {
            for (const json &model : entry["staged"])
                report.staged.emplace_back(readName(model));
        }
        report.group = readMembership(entry);
        return report;
    } catch (const json::exception &error) {
        throw Failure(ErrorCode::PlatformProtocol, std::string("server: ") + error.what());
    }
}

} // namespace bramleypitch::platform
