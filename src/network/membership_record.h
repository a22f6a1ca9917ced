#pragma once

#include "core/strong_type.h"
#include "request/membership_type.h"

#include <string>

namespace bramleypitch {

/// Formats the record of a node for the store. `life` identifies the run of its process.
std::string serializeMembershipRecord(const MembershipRecord &record, std::int64_t life);
/// Parses the stored record of a node. Throws Failure if it is malformed.
MembershipRecord parseMembershipRecord(const NodeId &node, const std::string &text);

} // namespace bramleypitch
