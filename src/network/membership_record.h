#pragma once

#include "request/membership_type.h"

#include <cstdint>
#include <string>

namespace bramleypitch {

/// Serializes the record of a node for the store, with the start time that identifies its run.
std::string serializeMembershipRecord(const MembershipRecord &record, std::int64_t incarnation);
/// Parses the stored record of a node. Throws Failure if it is malformed.
MembershipRecord parseMembershipRecord(const NodeId &node, const std::string &text);

} // namespace bramleypitch
