// What nodes of one environment say to each other. Generate with scripts/generate.sh.
namespace cpp bramleypitch.peer

struct MemberEntry {
  1: string node
  2: i64 incarnation
  3: i64 counter
  4: string entry_address
  5: string peer_address
  6: string zone
  7: bool leaving
}

struct Heartbeat {
  1: string from_node
  2: list<MemberEntry> members
  3: i64 newest
  4: bool known
  5: i64 evidence_age_ms
}

struct SharedValue {
  1: string key
  2: i64 revision
  3: binary value
}

struct SharedValues {
  1: list<SharedValue> values
  2: i64 newest
  3: bool known
  4: i64 evidence_age_ms
}

struct CallOutcome {
  1: i32 status
  2: string content_type
  3: binary body
  4: bool cut
}

struct LedgerRequest {
  1: i32 segment
  2: i32 verb
  3: string key
  4: string digest
  5: string claim
  6: i64 when_ms
  7: CallOutcome outcome
}

struct LedgerReply {
  1: i32 answer
  2: CallOutcome outcome
}

// Sent as a datagram within a zone: what a node takes on, several times a second.
struct Pulse {
  1: string node
  2: i64 life
  3: i64 number
  4: bool taking
  5: map<string, i32> running
  6: map<string, double> demand
  7: map<string, i32> suspects_ms
  8: i64 clock_ms
  9: i64 held_revision
  10: map<string, i32> heard_ms
  11: bool settled
}

// Sent as a datagram by one node of a zone to the other zones: the sum of its zone's pulses.
struct Digest {
  1: string zone
  2: string node
  3: i64 life
  4: i64 number
  5: map<string, bool> taking
  6: map<string, i32> running
  7: map<string, double> demand
  8: map<string, i32> suspects_ms
  9: map<string, i32> heard_ms
  10: i64 clock_ms
  11: i64 held_revision
  12: bool relayed
}

struct FeedChange {
  1: string key
  2: i64 revision
  3: bool deleted
  4: binary value
}

// Sent as a datagram: changes of the store, from the node that watches it or passes them on.
struct Feed {
  1: i64 from_revision
  2: i64 to_revision
  3: list<FeedChange> changes
  4: i64 echo_ms
  5: i64 proof_age_ms
}

service Peer {
  Heartbeat heartbeat(1: Heartbeat heartbeat)
  SharedValues pull(1: i64 above)
  LedgerReply ledger(1: LedgerRequest request)
}
