#pragma once

#include "core/strong_type.h"
#include "core/time_type.h"
#include "request/serving_type.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace bramleypitch {

/// A VM of a planned group. The start time is included because a restarted VM does not remember its
/// group.
struct PlannedMember
{
    VmId vm;
    std::int64_t startedAt = 0; ///< Unix milliseconds.

    bool operator==(const PlannedMember &) const = default;
};

/// A group in the plan of a domain, either wanted or being dissolved.
struct PlannedGroup
{
    GroupId name;
    Generation generation; ///< Fencing token of the orders for the group.
    ModelId model;
    std::vector<PlannedMember> members; ///< The first one is the head.
    bool dissolving = false; ///< Its members leave. None is reused before all have left.

    bool operator==(const PlannedGroup &) const = default;
};

/// The groups of one fabric domain. The plan is replaced as a whole by compare-and-swap, so that a
/// VM is never in two groups, regardless of which node writes it.
struct FormationPlan
{
    Generation generation; ///< Generation of the latest change.
    std::vector<PlannedGroup> groups;
    ModelId promised; ///< Model for which groups are being dissolved. Empty if none.
    StoreEra era; ///< Of the store when the plan was written. 0 if it is not known.

    bool operator==(const FormationPlan &) const = default;
};

/// The kinds of orders to VMs.
enum class GroupOrderKind {
    Join,
    Open, ///< The head starts to take requests.
    CloseAfterQueue, ///< The head takes no new requests and completes those it has.
    Leave,
    Stage, ///< The VM prefetches the weights of a model in the background.
};

/// The name of an order as sent to VMs, such as "join" or "open".
const char *groupOrderName(GroupOrderKind kind);

/// Action: send an order to a VM. The result arrives as GroupOrderDone.
struct SendGroupOrder
{
    VmId vm;
    Address address;
    GroupOrderKind kind = GroupOrderKind::Join;
    GroupId group;
    Generation generation;
    ModelId model;
    std::vector<VmId> members;
    /// Generation of the plan. A VM refuses orders of plans older than one that it has followed.
    Generation fence;
};

/// Result of an order.
enum class GroupOrderOutcome {
    Accepted,
    Refused,
    Unknown, ///< No response or a server error. The order may still take effect.
};

struct GroupOrderDone
{
    VmId vm;
    GroupOrderOutcome outcome = GroupOrderOutcome::Unknown;
};

/// Action: probe whether a VM responds. The result arrives as MemberProbed.
struct ProbeMember
{
    VmId vm;
    Address address;
};

struct MemberProbed
{
    VmId vm;
    bool answered = false;
    bool isConclusive = true; ///< Whether the links of this node are sound.
};

/// Action: write the plan of a domain if the stored one still has the expected revision.
struct WritePlan
{
    DomainId domain;
    Revision expected; ///< 0 if no plan was written yet.
    FormationPlan plan;
    /// Set if the plan converts groups: it is written only if no other conversion was written since
    /// this revision of the conversion record, which is replaced in the same transaction.
    std::optional<Revision> expectedConversion;
    std::string conversion; ///< The new conversion record, serialized.
};

/// Action: log a decision of group formation.
struct LogFormation
{
    std::string event;
    std::vector<std::pair<std::string, std::string>> fields;
};

using FormationAction = std::variant<SendGroupOrder, ProbeMember, WritePlan, LogFormation>;
using FormationActions = std::vector<FormationAction>;

} // namespace bramleypitch
