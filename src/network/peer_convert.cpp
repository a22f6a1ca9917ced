#include "network/peer_convert.h"

#include "core/error_type.h"

namespace bramleypitch {

namespace {

peer::CallOutcome outcomeToWire(const CallOutcome &outcome)
{
    peer::CallOutcome wire;
    wire.status = outcome.status;
    wire.content_type = outcome.contentType;
    wire.body = outcome.body;
    wire.cut = outcome.cut;
    return wire;
}

CallOutcome outcomeFromWire(const peer::CallOutcome &wire)
{
    CallOutcome outcome;
    outcome.status = wire.status;
    outcome.contentType = wire.content_type;
    outcome.body = wire.body;
    outcome.cut = wire.cut;
    return outcome;
}

/// Converts the number of an enumerator. Throws Failure unless it is from 0 to `last`.
template<typename Enum>
Enum enumFromWire(std::int32_t number, Enum last)
{
    if (number < 0 || number > static_cast<std::int32_t>(last))
        throw Failure(ErrorCode::MalformedRequest,
                      "unknown value " + std::to_string(number) + " in a message of another node");
    return static_cast<Enum>(number);
}

} // namespace

peer::Heartbeat toWire(const Heartbeat &heartbeat)
{
    peer::Heartbeat wire;
    wire.from_node = heartbeat.from.value();
    for (const MemberEntry &entry : heartbeat.members) {
        peer::MemberEntry member;
        member.node = entry.node.value();
        member.incarnation = entry.incarnation.value();
        member.counter = entry.counter;
        member.entry_address = entry.entryAddress.value();
        member.peer_address = entry.peerAddress.value();
        member.zone = entry.zone.value();
        member.leaving = entry.leaving;
        wire.members.push_back(std::move(member));
    }
    wire.newest = heartbeat.newest.value();
    wire.known = heartbeat.known;
    wire.evidence_age_ms = heartbeat.evidenceAge.count();
    return wire;
}

Heartbeat fromWire(const peer::Heartbeat &wire)
{
    Heartbeat heartbeat;
    heartbeat.from = NodeId(wire.from_node);
    for (const peer::MemberEntry &member : wire.members) {
        MemberEntry entry;
        entry.node = NodeId(member.node);
        entry.incarnation = Incarnation(member.incarnation);
        entry.counter = member.counter;
        entry.entryAddress = Address(member.entry_address);
        entry.peerAddress = Address(member.peer_address);
        entry.zone = ZoneId(member.zone);
        entry.leaving = member.leaving;
        heartbeat.members.push_back(std::move(entry));
    }
    heartbeat.newest = Revision(wire.newest);
    heartbeat.known = wire.known;
    heartbeat.evidenceAge = Duration(wire.evidence_age_ms);
    return heartbeat;
}

peer::LedgerRequest toWire(SegmentIndex segment, const LedgerRequest &request)
{
    peer::LedgerRequest wire;
    wire.segment = static_cast<std::int32_t>(segment.value());
    wire.verb = static_cast<std::int32_t>(request.verb);
    wire.key = request.key.value();
    wire.digest = request.digest;
    wire.claim = request.claim.value();
    wire.when_ms = request.when.value();
    wire.outcome = outcomeToWire(request.outcome);
    return wire;
}

LedgerRequest fromWire(const peer::LedgerRequest &wire)
{
    LedgerRequest request;
    request.verb = enumFromWire(wire.verb, LedgerVerb::Abandon);
    request.key = LedgerKey(wire.key);
    request.digest = wire.digest;
    request.claim = ClaimId(wire.claim);
    request.when = WallTime(wire.when_ms);
    request.outcome = outcomeFromWire(wire.outcome);
    return request;
}

peer::LedgerReply toWire(const LedgerReply &reply)
{
    peer::LedgerReply wire;
    wire.answer = static_cast<std::int32_t>(reply.answer);
    wire.outcome = outcomeToWire(reply.outcome);
    return wire;
}

LedgerReply fromWire(const peer::LedgerReply &wire)
{
    return {enumFromWire(wire.answer, LedgerAnswer::Unavailable), outcomeFromWire(wire.outcome)};
}

peer::SharedValue toWire(const SharedValue &value)
{
    peer::SharedValue wire;
    wire.key = value.key;
    wire.revision = value.revision.value();
    wire.value = value.value;
    return wire;
}

SharedValue fromWire(const peer::SharedValue &wire)
{
    return {wire.key, Revision(wire.revision), wire.value};
}

} // namespace bramleypitch
