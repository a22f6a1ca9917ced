#include "network/membership_record.h"

#include "core/error_type.h"
#include "core/format_version.h"
#include "network/address_func.h"

#include <nlohmann/json.hpp>

namespace bramleypitch {

std::string serializeMembershipRecord(const MembershipRecord &record, std::int64_t incarnation)
{
    return nlohmann::json {{"zone", record.zone}, {"front", record.front},
                           {"peer", record.peer}, {"cores", record.cores},
                           {"life", incarnation}, {"version", formatVersion}}
        .dump();
}

MembershipRecord parseMembershipRecord(const NodeId &node, const std::string &text)
{
    try {
        const nlohmann::json json = nlohmann::json::parse(text);
        MembershipRecord record;
        record.node = node;
        record.zone = json.at("zone").get<ZoneId>();
        record.front = json.at("front").get<Address>();
        record.peer = json.at("peer").get<Address>();
        record.cores = json.value("cores", 0.0);
        parseAddress(record.front);
        parseAddress(record.peer);
        return record;
    } catch (const nlohmann::json::exception &error) {
        throw Failure(ErrorCode::PlatformProtocol,
                      std::string("invalid record of a node: ") + error.what());
    }
}

} // namespace bramleypitch
