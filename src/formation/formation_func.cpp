#include "formation/formation_func.h"

#include "core/error_type.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace bramleypitch {

namespace {

/// Maximum number of groups of each model that the first split considers for a domain.
constexpr std::uint32_t maxGroupsPerDomain = 64;

/// Enumerates all group counts of the models from index `model` on, with the VMs that they leave
/// over.
void enumerateSplits(const EngineSpec &engine, std::size_t model, std::uint32_t leftOver,
                     GroupCounts &counts,
                     std::vector<std::pair<std::uint32_t, GroupCounts>> &splits)
{
    if (model == engine.models.size()) {
        splits.emplace_back(leftOver, counts);
        return;
    }
    const std::uint32_t span = std::max<std::uint32_t>(engine.models[model].span, 1);
    const std::uint32_t maxCount = std::min(leftOver / span, maxGroupsPerDomain);
    for (std::uint32_t count = 0; count <= maxCount; ++count) {
        counts.push_back(count);
        enumerateSplits(engine, model + 1, leftOver - count * span, counts, splits);
        counts.pop_back();
    }
}

/// All splits of a domain that leave the fewest VMs without a group.
std::vector<GroupCounts> bestFillingSplits(const EngineSpec &engine, std::uint32_t vms)
{
    std::vector<std::pair<std::uint32_t, GroupCounts>> splits;
    GroupCounts counts;
    enumerateSplits(engine, 0, vms, counts, splits);
    std::uint32_t lowest = vms;
    for (const auto &[leftOver, ignored] : splits)
        lowest = std::min(lowest, leftOver);
    std::vector<GroupCounts> bestFilling;
    for (auto &[leftOver, candidate] : splits) {
        if (leftOver == lowest)
            bestFilling.push_back(std::move(candidate));
    }
    return bestFilling;
}

/// Highest work per group among the models.
double worstLoad(const EngineSpec &engine, const std::vector<double> &groups)
{
    constexpr double minGroupCount = 0.01; // A model without a group must count as the worst load.
    double worst = 0;
    for (std::size_t i = 0; i < engine.models.size(); ++i) {
        const ServedModel &model = engine.models[i];
        worst = std::max(worst, publishedWork(model) / std::max(groups[i], minGroupCount));
    }
    return worst;
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
                      std::string("invalid formation plan: ") + error.what());
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

std::map<DomainId, GroupCounts> initialSplit(const std::map<DomainId, std::uint32_t> &vmsByDomain,
                                             const EngineSpec &engine)
{
    std::map<DomainId, GroupCounts> result;
    std::vector<double> totals(engine.models.size(), 0);
    std::map<std::uint32_t, std::vector<GroupCounts>> bySize;
    for (const auto &[domain, vms] : vmsByDomain) {
        const auto [candidates, isNew] = bySize.try_emplace(vms);
        if (isNew)
            candidates->second = bestFillingSplits(engine, vms);
        const GroupCounts *best = nullptr;
        double lowest = 0;
        for (const GroupCounts &candidate : candidates->second) {
            std::vector<double> groups = totals;
            for (std::size_t i = 0; i < candidate.size(); ++i)
                groups[i] += candidate[i];
            const double load = worstLoad(engine, groups);
            if (!best || load < lowest) {
                best = &candidate;
                lowest = load;
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

} // namespace bramleypitch
