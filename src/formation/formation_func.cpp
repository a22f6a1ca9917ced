#include "formation/formation_func.h"

#include "core/error_type.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace bramleypitch {

namespace {

/// Most groups of one domain that the first split counts through.
constexpr std::uint32_t maxGroupsPerDomain = 64;

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

/// The VMs to build a group of: those with the weights first, then by id.
std::vector<const Backend *> pickMembers(std::vector<const Backend *> free,
                                         const ServedModel &model)
{
    std::stable_sort(free.begin(), free.end(), [&](const Backend *a, const Backend *b) {
        return holdsWeights(*a, model.name) > holdsWeights(*b, model.name);
    });
    free.resize(model.span);
    return free;
}

std::size_t withWeights(const std::vector<const Backend *> &members, const ModelId &model)
{
    return static_cast<std::size_t>(
        std::count_if(members.begin(), members.end(),
                      [&](const Backend *member) { return holdsWeights(*member, model); }));
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
        for (const nlohmann::json &item : json.at("groups")) {
            PlannedGroup group;
            group.name = item.at("name").get<GroupId>();
            group.generation = item.at("generation").get<Generation>();
            group.model = item.at("model").get<ModelId>();
            group.dissolving = item.at("dissolving").get<bool>();
            for (const nlohmann::json &member : item.at("members"))
                group.members.push_back({member.at("vm").get<VmId>(),
                                         member.at("started_at").get<std::int64_t>()});
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
    return nlohmann::json {{"generation", plan.generation}, {"groups", std::move(groups)}}.dump();
}

bool holdsWeights(const Backend &backend, const ModelId &model)
{
    const std::vector<ModelId> &staged = backend.report.staged;
    return backend.report.model == model
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

bool formGroups(FormationPlan &plan, const DomainId &domain, const FormInput &input)
{
    std::vector<const Backend *> free = input.free;
    std::vector<ModelDemand> demand = input.demand;
    GroupCounts present(demand.size(), 0);
    for (const PlannedGroup &group : plan.groups) {
        for (std::size_t i = 0; i < demand.size(); ++i) {
            if (!group.dissolving && group.model == demand[i].model->name)
                ++present[i];
        }
    }
    bool added = false;
    for (;;) {
        std::size_t best = demand.size();
        double highest = 0;
        for (std::size_t i = 0; i < demand.size(); ++i) {
            const ServedModel &model = *demand[i].model;
            if (model.span == 0 || free.size() < model.span)
                continue;
            if (input.beforeTraffic && i < input.wanted.size() && present[i] >= input.wanted[i])
                continue;
            const std::size_t staged = withWeights(pickMembers(free, model), model.name);
            // Weights at hand bring a group back ten times sooner than a load.
            const double readiness = 1.0 + static_cast<double>(staged) / model.span;
            const double urgency = readiness * demand[i].work / (demand[i].groups + 1.0);
            if (best == demand.size() || urgency > highest) {
                best = i;
                highest = urgency;
            }
        }
        if (best == demand.size())
            return added;
        const ServedModel &model = *demand[best].model;
        const std::vector<const Backend *> members = pickMembers(free, model);
        addGroup(plan, domain, model, members);
        for (const Backend *member : members)
            free.erase(std::find(free.begin(), free.end(), member));
        ++present[best];
        demand[best].groups += 1;
        added = true;
    }
}

} // namespace bramleypitch
