#pragma once

#include "core/strong_type.h"
#include "request/membership_type.h"

#include <string>

namespace bramleypitch {

/// What the record of a node tells of the store.
struct NodeVersion
{
    StoreEra era; ///< In which the record was written. 0 if it is not known.
    std::uint64_t newest = 0; ///< The version of the configuration that the node had in force.
};

/// Formats the record of a node for the store. `life` identifies the run of its process.
std::string serializeMembershipRecord(const MembershipRecord &record, std::int64_t life,
                                      const NodeVersion &version = {});
/// Parses the stored record of a node. Throws Failure if it is malformed.
MembershipRecord parseMembershipRecord(const NodeId &node, const std::string &text);

/// Parses what such a record tells of the store. Earlier versions do not state it. Throws Failure
/// if the record is malformed.
NodeVersion parseNodeVersion(const std::string &text);

} // namespace bramleypitch
