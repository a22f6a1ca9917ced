#include "formation/formation_func.h"

#include "core/error_type.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace bramleypitch {

namespace {

/// Most groups of one domain that the first split counts through.
constexpr std::uint32_t maxGroupsPerDomain = 64;
/// When groups of a model are given up for a group of another.
struct Terms
{
    double factor; ///< By which the other must be more in need, even afterwards.
    double leastBusy; ///< The other model is at least so busy.
    std::size_t mostGroups; ///< Given up for one.
};

/// Several groups for one: below this factor groups would go to and fro.
constexpr Terms conversionTerms {1.1, 0.75, 4};
/// One group, whose VMs make one whole that lost a member: nearly as good as before the loss.
constexpr Terms repairTerms {0.85, 0.3, 1};
/// Of a model that is less busy, no group is formed of the last spares: a lost member is replaced
/// from them within two seconds.
constexpr double formBusy = 0.55;
/// Spares of a domain beyond which VMs are worth more in a group: members are lost one by one.
constexpr std::size_t enoughSpares = 2;

void split(const EngineSpec &engine, std::size_t model, std::uint32_t left, GroupCounts &counts,
           std::vector<std::pair<std::uint32_t, GroupCounts>> &all)
{
    if (model == engine.models.size()) {
        all.emplace_back(left, counts);
        return;
    }
    const std::uint32_t span = std::max<std::uint32_t>(engine.models[model].span, 1);
    const std::uint32_t most = std::min(left / span, maxGroupsPerDomain);
    for (std::uint32_t count = 0; count <= most; ++count) {
        counts.push_back(count);
        split(engine, model + 1, left - count * span, counts, all);
        counts.pop_back();
    }
}

/// Every way to fill a domain that leaves as few VMs over as can be.
std::vector<GroupCounts> fullSplits(const EngineSpec &engine, std::uint32_t vms)
{
    std::vector<std::pair<std::uint32_t, GroupCounts>> all;
    GroupCounts counts;
    split(engine, 0, vms, counts, all);
    std::uint32_t least = vms;
    for (const auto &[left, ignored] : all)
        least = std::min(least, left);
    std::vector<GroupCounts> full;
    for (auto &[left, way] : all) {
        if (left == least)
            full.push_back(std::move(way));
    }
    return full;
}

/// Work of a model for each group that it would have; the busiest model decides.
double worstLoad(const EngineSpec &engine, const std::vector<double> &groups)
{
    constexpr double nearlyNone = 0.01; // A model without a group is worse than any load.
    double worst = 0;
    for (std::size_t i = 0; i < engine.models.size(); ++i) {
        const ServedModel &model = engine.models[i];
        worst = std::max(worst, publishedWork(model) / std::max(groups[i], nearlyNone));
    }
    return worst;
}

/// How many of the other models a VM holds: those that hold none are used up first.
std::size_t otherWeights(const Backend &backend, const ServedModel &model, const EngineSpec &engine)
{
    return static_cast<std::size_t>(
        std::count_if(engine.models.begin(), engine.models.end(), [&](const ServedModel &other) {
            return other.name != model.name && holdsWeights(backend, other.name);
        }));
}

/// The VMs to build a group of: those with the weights first, of these the ones that are of the
/// least use for other models, then by id.
std::vector<const Backend *> pickMembers(std::vector<const Backend *> free,
                                         const ServedModel &model, const EngineSpec &engine)
{
    std::stable_sort(free.begin(), free.end(), [&](const Backend *a, const Backend *b) {
        const auto rank = [&](const Backend *vm) {
            return std::pair(!holdsWeights(*vm, model.name), otherWeights(*vm, model, engine));
        };
        return rank(a) < rank(b);
    });
    free.resize(std::min<std::size_t>(free.size(), model.span));
    return free;
}

std::size_t withWeights(const std::vector<const Backend *> &vms, const ServedModel &model)
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

} // namespace

double publishedWork(const ServedModel &model)
{
    return model.share / std::max<std::uint32_t>(model.span, 1);
}

const char *groupOrderName(GroupOrderKind kind)
{
    switch (kind) {
    case GroupOrderKind::Join:
        return "join";
    case GroupOrderKind::Open:
        return "open";
    case GroupOrderKind::CloseAfterQueue:
        return "close";
    case GroupOrderKind::Leave:
        return "leave";
    case GroupOrderKind::Stage:
        return "stage";
    }
    return "unknown";
}

FormationPlan parsePlan(std::string_view text)
{
    try {
        const nlohmann::json json = nlohmann::json::parse(text);
        FormationPlan plan;
        plan.generation = json.at("generation").get<Generation>();
        plan.promised = json.at("promised").get<ModelId>();
        for (const nlohmann::json &item : json.at("groups")) {
            PlannedGroup group;
            group.name = item.at("name").get<GroupId>();
            group.generation = item.at("generation").get<Generation>();
            group.model = item.at("model").get<ModelId>();
            group.dissolving = item.at("dissolving").get<bool>();
            for (const nlohmann::json &member : item.at("members"))
                group.members.push_back(
                    {member.at("vm").get<VmId>(), member.at("started_at").get<std::int64_t>()});
            plan.groups.push_back(std::move(group));
        }
        return plan;
    } catch (const nlohmann::json::exception &error) {
        throw Failure(ErrorCode::PlatformProtocol,
                      std::string("a formation plan cannot be read: ") + error.what());
    }
}

std::string serializePlan(const FormationPlan &plan)
{
    nlohmann::json groups = nlohmann::json::array();
    for (const PlannedGroup &group : plan.groups) {
        nlohmann::json members = nlohmann::json::array();
        for (const PlannedMember &member : group.members)
            members.push_back({{"vm", member.vm}, {"started_at", member.startedAt}});
        groups.push_back({{"name", group.name},
                          {"generation", group.generation},
                          {"model", group.model},
                          {"dissolving", group.dissolving},
                          {"members", std::move(members)}});
    }
    return nlohmann::json {
        {"generation", plan.generation}, {"groups", std::move(groups)}, {"promised", plan.promised}}
        .dump();
}

bool holdsWeights(const Backend &backend, const ModelId &model)
{
    const std::vector<ModelId> &staged = backend.report.staged;
    return backend.lastModel == model
        || std::find(staged.begin(), staged.end(), model) != staged.end();
}

std::map<DomainId, GroupCounts> firstSplit(const std::map<DomainId, std::uint32_t> &vmsByDomain,
                                           const EngineSpec &engine)
{
    std::map<DomainId, GroupCounts> result;
    std::vector<double> totals(engine.models.size(), 0);
    std::map<std::uint32_t, std::vector<GroupCounts>> bySize;
    for (const auto &[domain, vms] : vmsByDomain) {
        const auto [ways, isNew] = bySize.try_emplace(vms);
        if (isNew)
            ways->second = fullSplits(engine, vms);
        const GroupCounts *best = nullptr;
        double least = 0;
        for (const GroupCounts &way : ways->second) {
            std::vector<double> groups = totals;
            for (std::size_t i = 0; i < way.size(); ++i)
                groups[i] += way[i];
            const double load = worstLoad(engine, groups);
            if (!best || load < least) {
                best = &way;
                least = load;
            }
        }
        if (!best)
            continue;
        for (std::size_t i = 0; i < best->size(); ++i)
            totals[i] += (*best)[i];
        result[domain] = *best;
    }
    return result;
}

namespace {

std::uint32_t groupsOf(const FormationPlan &plan, const ModelId &model)
{
    return static_cast<std::uint32_t>(
        std::count_if(plan.groups.begin(), plan.groups.end(), [&](const PlannedGroup &group) {
            return !group.dissolving && group.model == model;
        }));
}

/// Work for each group if the model had so many more.
double need(const ModelDemand &demand, double groupsMore)
{
    constexpr double nearlyNone = 0.1; // A model without a group is in the greatest need.
    return demand.work / std::max(demand.groups + groupsMore, nearlyNone);
}

/// How much a model needs one more group. One without any comes before all others.
double urgency(const ModelDemand &demand)
{
    return need(demand, demand.groups < 1 ? 0 : 1);
}

/// One look at a domain: what formGroups() still has at hand, and the plan that it changes.
class Former
{
public:
    Former(FormationPlan &plan, const DomainId &domain, FormInput input)
        : m_plan(plan)
        , m_domain(domain)
        , m_input(std::move(input))
    {
    }

    /// Before traffic: the first split from whatever VMs there are.
    bool formWanted()
    {
        bool changed = false;
        for (std::size_t i = 0; i < m_input.demand.size(); ++i) {
            const ServedModel &model = *m_input.demand[i].model;
            while (groupsOf(m_plan, model.name) < m_input.wanted[i]
                   && m_input.free.size() >= model.span) {
                form(i);
                changed = true;
            }
        }
        return changed;
    }

    bool formNeeded()
    {
        bool changed = false;
        for (;;) {
            const std::size_t first = mostInNeed();
            if (formPromised() || formReady(first)) {
                changed = true;
                continue;
            }
            if (!m_plan.promised.value().empty())
                return changed; // What leaves completes the promised group.
            if (repair())
                return true;
            const std::vector<PlannedGroup *> given = givenFor(first, conversionTerms);
            if (!given.empty() && !m_input.mayConvert)
                return changed; // It soon is: until then nothing is built of what is needed.
            if (!given.empty()) {
                give(given, first);
                return true;
            }
            if (!formAnyReady())
                return changed;
            changed = true;
        }
    }

private:
    const ServedModel &model(std::size_t i) const { return *m_input.demand[i].model; }
    /// Whether a further group of the model is worth its VMs.
    bool isWanted(std::size_t i) const
    {
        return m_input.demand[i].busy >= formBusy
            || m_input.free.size() >= model(i).span + enoughSpares;
    }
    bool isReady(std::size_t i) const
    {
        return withWeights(m_input.free, model(i)) >= model(i).span;
    }

    std::size_t mostInNeed() const
    {
        std::size_t best = 0;
        for (std::size_t i = 1; i < m_input.demand.size(); ++i) {
            if (urgency(m_input.demand[i]) > urgency(m_input.demand[best]))
                best = i;
        }
        return best;
    }

    void form(std::size_t i)
    {
        const std::vector<const Backend *> members =
            pickMembers(m_input.free, model(i), *m_input.engine);
        addGroup(m_plan, m_domain, model(i), members);
        for (const Backend *member : members)
            std::erase(m_input.free, member);
        ModelDemand &demand = m_input.demand[i];
        demand.busy *= demand.groups / (demand.groups + 1);
        demand.groups += 1;
        if (m_plan.promised == model(i).name)
            m_plan.promised = ModelId();
    }

    bool formReady(std::size_t i)
    {
        if (!isReady(i) || !isWanted(i))
            return false;
        form(i);
        return true;
    }

    bool formPromised()
    {
        if (m_plan.promised.value().empty())
            return false;
        for (std::size_t i = 0; i < m_input.demand.size(); ++i) {
            if (model(i).name != m_plan.promised)
                continue;
            if (isReady(i)) {
                form(i);
                return true;
            }
            if (m_input.free.size() + m_input.leaving >= model(i).span && m_input.leaving > 0)
                return false;
        }
        m_plan.promised = ModelId(); // It cannot be kept any more.
        return false;
    }

    bool formAnyReady()
    {
        for (std::size_t i = 0; i < m_input.demand.size(); ++i) {
            if (formReady(i))
                return true;
        }
        return false;
    }

    /// Dissolves groups for a group of another model.
    void give(const std::vector<PlannedGroup *> &given, std::size_t receiver)
    {
        for (PlannedGroup *group : given)
            group->dissolving = true;
        m_plan.promised = model(receiver).name;
    }

    /// A group that lost a member is made whole at the cost of a single smaller one.
    bool repair()
    {
        for (std::size_t i = 0; i < m_input.demand.size(); ++i) {
            if (2 * withWeights(m_input.free, model(i)) < model(i).span)
                continue;
            const std::vector<PlannedGroup *> given = givenFor(i, repairTerms);
            if (given.empty())
                continue;
            give(given, i);
            return true;
        }
        return false;
    }

    /// The groups whose VMs hold the weights of the model in need and that are worth giving up.
    std::vector<PlannedGroup *> givenFor(std::size_t receiver, const Terms &terms)
    {
        const std::size_t ready = withWeights(m_input.free, model(receiver));
        if (m_input.demand[receiver].busy < terms.leastBusy)
            return {};
        if (ready >= model(receiver).span || ready == 0)
            return {};
        const std::size_t missing = model(receiver).span - ready;
        for (std::size_t giver = 0; giver < m_input.demand.size(); ++giver) {
            if (giver == receiver)
                continue;
            std::vector<PlannedGroup *> given;
            std::size_t gained = 0;
            for (PlannedGroup &group : m_plan.groups) {
                if (group.dissolving || group.model != model(giver).name || gained >= missing)
                    continue;
                const std::size_t holders = holdersIn(group, model(receiver));
                if (holders < std::min<std::size_t>(group.members.size(), missing))
                    continue;
                gained += holders;
                given.push_back(&group);
            }
            const double after = need(m_input.demand[giver], -static_cast<double>(given.size()));
            if (gained < missing || given.size() > terms.mostGroups
                || urgency(m_input.demand[receiver]) < terms.factor * after)
                continue;
            return given;
        }
        return {};
    }

    std::size_t holdersIn(const PlannedGroup &group, const ServedModel &wanted) const
    {
        return static_cast<std::size_t>(
            std::count_if(group.members.begin(), group.members.end(), [&](const auto &member) {
                const Backend *backend = m_input.backends->find(member.vm);
                return backend && holdsWeights(*backend, wanted.name);
            }));
    }

    FormationPlan &m_plan;
    const DomainId &m_domain;
    FormInput m_input;
};

} // namespace

bool formGroups(FormationPlan &plan, const DomainId &domain, const FormInput &input)
{
    if (input.demand.empty())
        return false;
    Former former(plan, domain, input);
    return input.wanted.empty() ? former.formNeeded() : former.formWanted();
}

const ServedModel *modelToStage(const Backend &backend, const StageInput &input)
{
    const auto held = [&](const ModelDemand &demand) {
        return holdsWeights(backend, demand.model->name);
    };
    const bool holdsNone = std::none_of(input.demand.begin(), input.demand.end(), held);
    const std::vector<ModelId> &staged = backend.report.staged;
    const auto beside = static_cast<std::size_t>(
        std::count_if(staged.begin(), staged.end(),
                      [&](const ModelId &name) { return name != backend.lastModel; }));
    if (beside >= input.engine->keptModels)
        return nullptr;
    const ServedModel *best = nullptr;
    double most = 0;
    for (std::size_t i = 0; i < input.demand.size(); ++i) {
        const ModelDemand &demand = input.demand[i];
        if (held(demand))
            continue;
        double worth = urgency(demand);
        if (holdsNone) {
            const std::size_t span = std::max<std::size_t>(demand.model->span, 1);
            const std::size_t lacking = span - input.holders[i] % span;
            worth /= static_cast<double>(lacking);
        }
        if (!best || worth > most) {
            best = demand.model;
            most = worth;
        }
    }
    return best;
}

} // namespace bramleypitch
