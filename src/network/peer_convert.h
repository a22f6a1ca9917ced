#pragma once

#include "coordination/event_type.h"
#include "network/gen/peer_types.h"

namespace bramleypitch {

/// Translation between the library's types and those that Thrift generated.
peer::Heartbeat toWire(const Heartbeat &heartbeat);
Heartbeat fromWire(const peer::Heartbeat &wire);
peer::LedgerRequest toWire(SegmentIndex segment, const LedgerRequest &request);
LedgerRequest fromWire(const peer::LedgerRequest &wire);
peer::LedgerReply toWire(const LedgerReply &reply);
LedgerReply fromWire(const peer::LedgerReply &wire);
peer::SharedValue toWire(const SharedValue &value);
SharedValue fromWire(const peer::SharedValue &wire);

} // namespace bramleypitch
