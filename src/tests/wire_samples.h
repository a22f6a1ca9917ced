#pragma once

#include "formation/formation_type.h"
#include "network/store_client.h"
#include "request/membership_type.h"
#include "request/server_permit_type.h"

#include <map>
#include <string>

namespace bramleypitch::test {

/// Messages between nodes and records of the store in which each field has a value of its own.
Pulse samplePulse();
ZoneDigest sampleDigest();
PermitMessage samplePermits();
StoreFeed sampleFeed();
MembershipRecord sampleRecord();
FormationPlan samplePlan();
QuarantinedPart sampleQuarantine();

/// Wall clock time at which the sample of a quarantine is written.
constexpr std::int64_t sampleWallTime = 1'764'900'000'000;

/// The datagrams of the messages as this build sends them, and the records as it stores them, by
/// kind.
std::map<std::string, std::string> writeSamples();

} // namespace bramleypitch::test
