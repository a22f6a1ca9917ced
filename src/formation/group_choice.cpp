#include "formation/group_choice.h"

#include "formation/target_split.h"

#include <algorithm>

namespace bramleypitch {

namespace {

/// Minimum utilization of the groups of a model at which another group is formed from the last
/// spare VMs. Below that the spares are kept, since they replace a lost member within two seconds.
constexpr double minUtilization = 0.55;
/// Spare VMs that a domain keeps. Members are usually lost one at a time, so further VMs are more
/// useful in a group.
constexpr std::size_t keptSpares = 1;
/// Utilization from which the waiting time no longer grows like that of a queue, because requests
/// are refused.
constexpr double saturatedUtilization = 0.9;
/// Maximum number of groups that are dissolved for one group of another model.
constexpr std::size_t maxDissolvedGroups = 4;
/// Cost of dissolving a group for another model, as a share of the queueing cost of all models. The
/// group takes no new requests while it drains, and its VMs take none until the new group is ready.
constexpr double conversionCost = 0.03;
/// The same if at least half of the members of the new group are already free and the VMs of a
/// single group complete it.
constexpr double repairCost = 0.01;

/// Utilization of a model that gives groups while its peaks are not known yet. A wave of demand may
/// be at its lowest.
constexpr double maxEarlyDonorUtilization = 0.6;
/// Utilization from which a model gets smaller groups of others at once. With larger groups it
/// loses more capacity with each member.
constexpr double severeUtilization = 1.4;

/// Number of other models whose weights a VM holds. VMs that hold none are used first.
std::size_t countOtherWeights(const Backend &backend, const ServedModel &model,
                              const EngineSpec &engine)
{
    return static_cast<std::size_t>(
        std::count_if(engine.models.begin(), engine.models.end(), [&](const ServedModel &other) {
            return other.name != model.name && holdsWeights(backend, other.name);
        }));
}

/// Selects the VMs for a group: those with the weights first, among them those that hold the fewest
/// other models, then by id.
std::vector<const Backend *> pickMembers(std::vector<const Backend *> free,
                                         const ServedModel &model, const EngineSpec &engine)
{
    std::stable_sort(free.begin(), free.end(), [&](const Backend *a, const Backend *b) {
        const auto rank = [&](const Backend *vm) {
            return std::pair(!holdsWeights(*vm, model.name), countOtherWeights(*vm, model, engine));
        };
        return rank(a) < rank(b);
    });
    free.resize(std::min<std::size_t>(free.size(), model.span));
    return free;
}

/// Number of VMs that hold the weights of a model.
std::size_t countWithWeights(const std::vector<const Backend *> &vms, const ServedModel &model)
{
    return static_cast<std::size_t>(std::count_if(
        vms.begin(), vms.end(), [&](const Backend *vm) { return holdsWeights(*vm, model.name); }));
}

void addGroup(FormationPlan &plan, const DomainId &domain, const ServedModel &model,
              const std::vector<const Backend *> &members)
{
    PlannedGroup group;
    group.generation = Generation(plan.generation.value() + 1);
    group.name = GroupId(domain.value() + "-" + std::to_string(group.generation.value()));
    group.model = model.name;
    for (const Backend *member : members)
        group.members.push_back({member->report.id, member->report.startedAt});
    plan.generation = group.generation;
    plan.groups.push_back(std::move(group));
}

/// Queueing cost of a model: its work multiplied by the factor by which queueing lengthens the time
/// that requests take.
double queueingCost(const ModelDemand &demand)
{
    const double current = utilization(demand);
    const double saturatedFactor = 1 / (1 - saturatedUtilization);
    const double slope = saturatedFactor * saturatedFactor;
    const double delayFactor = current < saturatedUtilization
        ? 1 / (1 - current)
        : saturatedFactor + slope * (current - saturatedUtilization);
    return demand.work * delayFactor;
}

double queueingCost(const std::vector<ModelDemand> &demand)
{
    double sum = 0;
    for (const ModelDemand &entry : demand)
        sum += queueingCost(entry);
    return sum;
}

using Vms = std::vector<const Backend *>;

/// Groups of one model that are dissolved for a group of another model.
struct Conversion
{
    std::vector<PlannedGroup *> dissolved;
    std::size_t receiver = 0;
    /// At least half of the members of the new group are free, and a single group is dissolved.
    bool isRepair = false;
    double gain = 0;
};

/// State of one call of formGroups(): the plan that it changes and the remaining input.
class GroupPlanner
{
public:
    GroupPlanner(FormationPlan &plan, const DomainId &domain, FormationInput input)
        : m_plan(plan)
        , m_domain(domain)
        , m_input(std::move(input))
    {
    }

    /// Forms the groups of the first split from the free VMs. Used before the first request. The
    /// split changes while the VMs of the fleet become known, so groups that are no longer part of
    /// it are dissolved if the missing ones need their VMs. That costs little before the first
    /// request.
    bool formInitial()
    {
        bool changed = false;
        bool isIncomplete = false;
        for (std::size_t i = 0; i < m_input.demand.size(); ++i) {
            while (countGroups(m_plan, model(i).name) < m_input.initialCounts[i]
                   && m_input.free.size() >= model(i).span) {
                formGroup(i);
                changed = true;
            }
            isIncomplete =
                isIncomplete || countGroups(m_plan, model(i).name) < m_input.initialCounts[i];
        }
        if (!isIncomplete || m_input.leaving > 0)
            return changed;
        for (std::size_t i = 0; i < m_input.demand.size(); ++i)
            changed = dissolveSurplus(i) || changed;
        return changed;
    }

    /// Dissolves the groups of a model beyond the first split. Returns whether there were any.
    bool dissolveSurplus(std::size_t i)
    {
        std::uint32_t count = countGroups(m_plan, model(i).name);
        bool changed = false;
        for (PlannedGroup &group : m_plan.groups) {
            if (count <= m_input.initialCounts[i])
                break;
            if (group.dissolving || group.model != model(i).name)
                continue;
            group.dissolving = true;
            --count;
            changed = true;
        }
        return changed;
    }

    /// Forms or converts groups according to demand.
    bool formByDemand()
    {
        bool changed = false;
        for (;;) {
            if (formPromised()) {
                changed = true;
                continue;
            }
            if (!m_plan.promised.value().empty())
                return changed; // VMs that are leaving will complete the promised group.
            Conversion best = conversionForUnservedModel();
            if (best.dissolved.empty())
                best = bestConversion();
            if (!best.dissolved.empty()) {
                const bool hasTurn = best.isRepair || m_input.mayConvert || !m_input.target.empty();
                if (changed || !m_input.mayDissolve || !hasTurn)
                    return changed; // Keep the free VMs until this domain may convert groups.
                startConversion(best);
                return true;
            }
            const std::optional<std::size_t> next = nextToForm(m_input.free, m_input.demand);
            if (!next)
                return changed;
            formGroup(*next);
            changed = true;
        }
    }

private:
    const ServedModel &model(std::size_t i) const { return *m_input.demand[i].model; }

    /// The model for which a new group is most useful, among those for which the free VMs can form
    /// a group immediately: a model without any group comes first, then the one whose queueing cost
    /// is reduced most.
    std::optional<std::size_t> nextToForm(const Vms &free,
                                          const std::vector<ModelDemand> &demand) const
    {
        std::optional<std::size_t> best;
        std::pair<bool, double> most;
        for (std::size_t i = 0; i < demand.size(); ++i) {
            const bool isWanted = isUnserved(demand[i]) || utilization(demand[i]) >= minUtilization
                || free.size() >= model(i).span + keptSpares;
            if (countWithWeights(free, model(i)) < model(i).span || !isWanted)
                continue;
            ModelDemand after = demand[i];
            after.groups += 1;
            const std::pair benefit(isUnserved(demand[i]),
                                    queueingCost(demand[i]) - queueingCost(after));
            if (!best || benefit > most) {
                best = i;
                most = benefit;
            }
        }
        return best;
    }

    /// Removes the members of a new group from the free VMs.
    void removeMembers(Vms &free, std::size_t i) const
    {
        for (const Backend *member : pickMembers(free, model(i), *m_input.engine))
            std::erase(free, member);
    }

    /// The queueing cost that remains after all groups that the free VMs allow are formed.
    double queueingCostAfterForming(Vms free, std::vector<ModelDemand> demand) const
    {
        while (const std::optional<std::size_t> next = nextToForm(free, demand)) {
            removeMembers(free, *next);
            demand[*next].groups += 1;
        }
        return queueingCost(demand);
    }

    void formGroup(std::size_t i)
    {
        addGroup(m_plan, m_domain, model(i), pickMembers(m_input.free, model(i), *m_input.engine));
        removeMembers(m_input.free, i);
        m_input.demand[i].groups += 1;
        if (m_plan.promised == model(i).name)
            m_plan.promised = ModelId();
    }

    /// Forms the promised group if its VMs are free, or drops the promise if it cannot be kept.
    bool formPromised()
    {
        if (m_plan.promised.value().empty())
            return false;
        for (std::size_t i = 0; i < m_input.demand.size(); ++i) {
            if (model(i).name != m_plan.promised)
                continue;
            if (countWithWeights(m_input.free, model(i)) >= model(i).span) {
                formGroup(i);
                return true;
            }
            if (m_input.free.size() + m_input.leaving >= model(i).span && m_input.leaving > 0)
                return false;
        }
        m_plan.promised = ModelId(); // The VMs for the promised group are no longer available.
        return false;
    }

    void startConversion(const Conversion &conversion)
    {
        for (PlannedGroup *group : conversion.dissolved)
            group->dissolving = true;
        m_plan.promised = model(conversion.receiver).name;
    }

    /// The conversion that gives a group to the model with the most work among those that have none
    /// anywhere, or one without groups if there is no such model or the others cannot spare groups.
    /// Its requests are all refused, which outweighs the waiting times of the other models.
    Conversion conversionForUnservedModel()
    {
        Conversion best;
        if (!m_input.isZoneInService)
            return best;
        double mostWork = 0;
        for (std::size_t receiver = 0; receiver < m_input.demand.size(); ++receiver) {
            const ModelDemand &demand = m_input.demand[receiver];
            if (!isUnserved(demand) || demand.work <= mostWork)
                continue;
            Conversion next = conversionOfSpareGroups(receiver);
            if (next.dissolved.empty())
                continue;
            mostWork = demand.work;
            best = std::move(next);
        }
        return best;
    }

    /// Selects groups of any other models to dissolve until their VMs and the free VMs can form a
    /// group of the receiver, the least utilized model first. Every other model keeps a group and
    /// is not saturated. Empty if that is not possible.
    Conversion conversionOfSpareGroups(std::size_t receiver)
    {
        Conversion result;
        result.receiver = receiver;
        std::vector<ModelDemand> demand = m_input.demand;
        std::size_t holders = countWithWeights(m_input.free, model(receiver));
        while (holders < model(receiver).span) {
            PlannedGroup *leastUtilized = nullptr;
            std::size_t donor = 0;
            for (PlannedGroup &group : m_plan.groups) {
                const std::size_t owner = indexOf(group.model);
                if (group.dissolving || owner == receiver || owner == demand.size()
                    || !canSpareGroup(demand[owner])
                    || std::count(result.dissolved.begin(), result.dissolved.end(), &group) > 0
                    || countWithWeights(membersOf(group), model(receiver)) == 0)
                    continue;
                if (leastUtilized && utilization(demand[owner]) >= utilization(demand[donor]))
                    continue;
                leastUtilized = &group;
                donor = owner;
            }
            if (!leastUtilized)
                return {};
            result.dissolved.push_back(leastUtilized);
            demand[donor] = afterGiving(demand[donor], 1);
            holders += countWithWeights(membersOf(*leastUtilized), model(receiver));
        }
        return result;
    }

    /// Index of a model, or the number of models if it is unknown.
    std::size_t indexOf(const ModelId &name) const
    {
        std::size_t i = 0;
        while (i < m_input.demand.size() && model(i).name != name)
            ++i;
        return i;
    }

    /// The conversion with the highest gain, or one without groups if none has a gain.
    Conversion bestConversion()
    {
        Conversion best;
        if (!m_input.isZoneInService)
            return best;
        const double currentCost = queueingCostAfterForming(m_input.free, m_input.demand);
        for (std::size_t receiver = 0; receiver < m_input.demand.size(); ++receiver) {
            for (std::size_t donor = 0; donor < m_input.demand.size(); ++donor) {
                if (donor == receiver)
                    continue;
                Conversion next = conversion(donor, receiver, currentCost);
                if (!next.dissolved.empty() && next.gain > best.gain)
                    best = std::move(next);
            }
        }
        return best;
    }

    /// Selects groups of one model to dissolve until their VMs and the free VMs can form a group of
    /// another model, and computes the gain. Empty if that is not possible.
    Conversion conversion(std::size_t donor, std::size_t receiver, double currentCost)
    {
        Conversion result;
        result.receiver = receiver;
        Vms free = m_input.free;
        const std::size_t available = countWithWeights(free, model(receiver));
        const bool hasTarget = !m_input.target.empty();
        // Without a free VM that holds the weights, exchanging groups costs more than it gains, by
        // queueing costs alone.
        if ((available == 0 && !hasTarget) || available >= model(receiver).span)
            return {};
        for (PlannedGroup &group : m_plan.groups) {
            if (group.dissolving || group.model != model(donor).name)
                continue;
            const Vms members = membersOf(group);
            if (countWithWeights(members, model(receiver)) < members.size())
                continue;
            result.dissolved.push_back(&group);
            free.insert(free.end(), members.begin(), members.end());
            if (countWithWeights(free, model(receiver)) >= model(receiver).span)
                break;
        }
        if (countWithWeights(free, model(receiver)) < model(receiver).span
            || result.dissolved.size() > maxDissolvedGroups)
            return {};
        const auto dissolved = static_cast<double>(result.dissolved.size());
        if (!mayGive(m_input.demand[donor], dissolved, m_input.demand[receiver]))
            return {};
        result.isRepair = result.dissolved.size() == 1 && 2 * available >= model(receiver).span;
        // A small group that completes a larger one replaces a lost member.
        const bool isLostMember = result.isRepair && model(donor).span < model(receiver).span;
        if (m_input.isEstimating && !isLostMember && !mayConvertEarly(donor, dissolved, receiver))
            return {};
        if (hasTarget
            && !(isLostMember && m_input.demand[receiver].groups < m_input.target[receiver])) {
            SplitChange change {&m_input.demand[donor], &m_input.demand[receiver], dissolved};
            const std::size_t formed =
                countWithWeights(free, model(receiver)) / std::max(model(receiver).span, 1U);
            change.gained = static_cast<double>(formed);
            change.donorTarget = m_input.target[donor];
            change.receiverTarget = m_input.target[receiver];
            result.gain = targetGain(change);
            return result;
        }
        std::vector<ModelDemand> demand = m_input.demand;
        demand[donor].groups -= dissolved;
        demand[receiver].groups += 1;
        removeMembers(free, receiver);
        const double cost =
            (result.isRepair ? repairCost : conversionCost) * dissolved * currentCost;
        result.gain =
            currentCost - queueingCostAfterForming(std::move(free), std::move(demand)) - cost;
        return result;
    }

    /// Whether groups may be converted before enough demand was measured.
    bool mayConvertEarly(std::size_t donor, double given, std::size_t receiver) const
    {
        const double shortage = utilization(m_input.demand[receiver]);
        const double left = utilization(afterGiving(m_input.demand[donor], given));
        const bool isLarger = model(donor).span < model(receiver).span;
        return (isLarger && shortage >= severeUtilization)
            || (shortage >= saturatedUtilization && left <= maxEarlyDonorUtilization);
    }

    Vms membersOf(const PlannedGroup &group) const
    {
        Vms members;
        for (const PlannedMember &member : group.members) {
            if (const Backend *backend = m_input.backends->find(member.vm))
                members.push_back(backend);
        }
        return members;
    }

    FormationPlan &m_plan;
    const DomainId &m_domain;
    FormationInput m_input;
};

} // namespace

std::uint32_t countGroups(const FormationPlan &plan, const ModelId &model)
{
    return static_cast<std::uint32_t>(
        std::count_if(plan.groups.begin(), plan.groups.end(), [&](const PlannedGroup &group) {
            return !group.dissolving && group.model == model;
        }));
}

double utilization(const ModelDemand &demand)
{
    constexpr double minGroupCount = 0.1; // A model without a group must have the highest urgency.
    return demand.work / std::max(demand.groups, minGroupCount);
}

bool isUnserved(const ModelDemand &demand)
{
    return demand.groups < 1 && demand.work > 0;
}

ModelDemand afterGiving(ModelDemand demand, double groups)
{
    demand.openGroups -= groups;
    demand.groups = std::min(demand.groups - groups, demand.openGroups);
    return demand;
}

bool canSpareGroup(const ModelDemand &demand)
{
    const ModelDemand after = afterGiving(demand, 1);
    return after.groups >= 1 && utilization(after) < saturatedUtilization;
}

bool mayGive(const ModelDemand &donor, double groups, const ModelDemand &receiver)
{
    const ModelDemand after = afterGiving(donor, groups);
    return after.groups >= 1
        && (utilization(after) < saturatedUtilization || utilization(after) <= utilization(receiver)
            || utilization(donor) >= saturatedUtilization);
}

double urgency(const ModelDemand &demand)
{
    ModelDemand after = demand;
    after.groups += demand.groups < 1 ? 0 : 1;
    return utilization(after);
}

bool formGroups(FormationPlan &plan, const DomainId &domain, const FormationInput &input)
{
    if (input.demand.empty())
        return false;
    GroupPlanner planner(plan, domain, input);
    return input.initialCounts.empty() ? planner.formByDemand() : planner.formInitial();
}

} // namespace bramleypitch
