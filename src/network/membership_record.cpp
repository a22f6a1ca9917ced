#include "network/membership_record.h"

#include "core/format_version.h"
#include "core/json_reader.h"
#include "network/address_func.h"

namespace bramleypitch {

namespace {

constexpr double maxCores = 1'024;

Address readAddress(const JsonReader &record, const char *field)
{
    Address address(record.name(field));
    parseSocketAddress(address);
    return address;
}

} // namespace

std::string serializeMembershipRecord(const MembershipRecord &record, std::int64_t life,
                                      const NodeVersion &version)
{
    return nlohmann::json {{"zone", record.zone},
                           {"front", record.front},
                           {"peer", record.peer},
                           {"cores", record.cores},
                           {"forward_key", record.forwardKey},
                           {"era", version.era},
                           {"newest_version", version.newest},
                           {"life", life},
                           {"version", formatVersion}}
        .dump();
}

MembershipRecord parseMembershipRecord(const NodeId &node, const std::string &text)
{
    const nlohmann::json document = parseJson(text);
    const JsonReader reader(document, "record of a node");
    MembershipRecord record;
    record.node = NodeId(checkedName(node.value(), "name of a node"));
    record.zone = ZoneId(reader.name("zone"));
    record.front = readAddress(reader, "front");
    record.peer = readAddress(reader, "peer");
    record.cores = reader.number("cores", 0, maxCores, 0);
    // It is written into heads of requests. A node that has none states an empty one.
    if (reader.has("forward_key") && reader.value("forward_key") != "")
        record.forwardKey = reader.name("forward_key");
    return record;
}

NodeVersion parseNodeVersion(const std::string &text)
{
    const nlohmann::json document = parseJson(text);
    const JsonReader reader(document, "record of a node");
    NodeVersion version;
    version.era = StoreEra(reader.integer("era", 0, JsonBounds::integer, 0));
    version.newest =
        static_cast<std::uint64_t>(reader.integer("newest_version", 0, JsonBounds::integer, 0));
    return version;
}

} // namespace bramleypitch
