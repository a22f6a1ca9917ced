#pragma once

#include "core/strong_type.h"
#include "core/time_type.h"
#include "request/serving_type.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace bramleypitch {

/// A VM of a planned group, with the life that was planned for: a VM that starts again forgets
/// its group.
struct PlannedMember
{
    VmId vm;
    std::int64_t startedAt = 0; ///< Unix milliseconds.

    bool operator==(const PlannedMember &) const = default;
};

/// A group that the plan of a domain wants, or that it is taking apart.
struct PlannedGroup
{
    GroupId name;
    Generation generation; ///< Fencing number of its orders.
    ModelId model;
    std::vector<PlannedMember> members; ///< The first is the head.
    bool dissolving = false; ///< Its members leave; none is reused before all have left.

    bool operator==(const PlannedGroup &) const = default;
};

/// The groups of one fabric domain. It changes as a whole, by compare-and-swap, so a VM
/// never stands in two groups whoever writes.
struct FormationPlan
{
    Generation generation; ///< Of the newest change.
    std::vector<PlannedGroup> groups;
    ModelId promised; ///< Groups dissolve for a group of this model; empty for none.

    bool operator==(const FormationPlan &) const = default;
};

/// What a VM is told to do.
enum class GroupOrderKind {
    Join,
    Open, ///< The head takes requests from now on.
    CloseAfterQueue, ///< The head takes no more requests and ends those it has.
    Leave,
    Stage, ///< Fetch a model's weights onto the VM, beside all other work.
};

/// "join", "open", ...
const char *groupOrderName(GroupOrderKind kind);

/// Tell a VM to do something; its answer comes as GroupOrderDone.
struct SendGroupOrder
{
    VmId vm;
    Address address;
    GroupOrderKind kind = GroupOrderKind::Join;
    GroupId group;
    Generation generation;
    ModelId model;
    std::vector<VmId> members;
    Generation fence; ///< Of the plan: a VM refuses orders of plans older than one it obeyed.
};

/// How an order ended.
enum class GroupOrderOutcome {
    Accepted,
    Refused,
    Unknown, ///< No answer: it may take effect, now or later.
};

struct GroupOrderDone
{
    VmId vm;
    GroupOrderOutcome outcome = GroupOrderOutcome::Unknown;
};

/// Ask a VM whether it is there; its answer comes as MemberProbed.
struct ProbeMember
{
    VmId vm;
    Address address;
};

struct MemberProbed
{
    VmId vm;
    bool answered = false;
};

/// Write a domain's plan if it is still at the expected revision.
struct WritePlan
{
    DomainId domain;
    Revision expected; ///< 0: none is written yet.
    FormationPlan plan;
};

/// A decision of formation, for the log.
struct NoteFormation
{
    std::string event;
    std::vector<std::pair<std::string, std::string>> fields;
};

using FormationAction = std::variant<SendGroupOrder, ProbeMember, WritePlan, NoteFormation>;
using FormationActions = std::vector<FormationAction>;

} // namespace bramleypitch
