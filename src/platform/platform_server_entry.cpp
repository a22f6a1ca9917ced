#include "core/error_type.h"
#include "core/json_reader.h"
#include "network/address_func.h"
#include "platform/platform_dialect.h"

#include <cmath>

namespace bramleypitch::platform {

namespace {

using nlohmann::json;

MemberState readState(const JsonReader &group)
{
    const std::string state = group.name("state");
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
    group.fail("state", "\"" + state + "\" is not known");
}

GroupMembership readMembership(const JsonReader &entry)
{
    GroupMembership membership;
    if (!entry.has("group"))
        return membership;
    const JsonReader group = entry.object("group");
    if (group.text("name").empty())
        return membership;
    membership.name = GroupId(group.name("name"));
    membership.generation =
        Generation(static_cast<std::uint64_t>(group.integer("epoch", 0, JsonBounds::integer)));
    membership.rank = static_cast<std::uint32_t>(group.integer("rank", 0, JsonBounds::count));
    membership.state = readState(group);
    return membership;
}

/// Parses a model or domain, which is given as a string, an integer or an object with a name.
std::string readName(const json &value, const std::string &what)
{
    if (value.is_object())
        return JsonReader(value, what).name("name");
    if (value.is_number_integer())
        return value.dump();
    return checkedName(value.is_string() ? value.get_ref<const std::string &>() : "", what);
}

} // namespace

BackendReport readServer(const VmId &id, const std::string &text)
{
    const json document = parseJson(text);
    const JsonReader entry(document, "server");
    BackendReport report;
    report.id = VmId(checkedName(id.value(), "server id"));
    report.service = ServiceId(entry.name("service"));
    report.address = Address(entry.name("address"));
    parseSocketAddress(report.address);
    report.zone = ZoneId(entry.name("zone"));
    report.slots = static_cast<std::uint32_t>(entry.integer("slots", 0, JsonBounds::count));
    const std::string state = entry.name("state");
    if (state != "ready" && state != "draining")
        entry.fail("state", "\"" + state + "\" is not known");
    report.draining = state == "draining";
    report.coldTimeLeft = Duration(static_cast<Duration::rep>(
        std::ceil(entry.number("cold_remaining_ms", 0, JsonBounds::milliseconds))));
    // "seq_num" in this entry counts its writes, not orders that the server has started.
    report.number = entry.integer("seq_num", 0, JsonBounds::integer, 0);
    report.startedAt = entry.integer("born", 0, JsonBounds::integer, 0);
    if (entry.has("domain"))
        report.domain = DomainId(readName(entry.value("domain"), "server.domain"));
    const std::vector<const json *> models = entry.elements("models");
    if (!models.empty())
        report.model = ModelId(readName(*models.front(), "server.models"));
    for (const json *model : entry.elements("staged"))
        report.staged.emplace_back(readName(*model, "server.staged"));
    report.group = readMembership(entry);
    return report;
}

} // namespace bramleypitch::platform
