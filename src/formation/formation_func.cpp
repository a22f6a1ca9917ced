#include "formation/formation_func.h"

#include "core/error_type.h"
#include "core/format_version.h"

#include <nlohmann/json.hpp>

#include <algorithm>

namespace bramleypitch {

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
    return nlohmann::json {{"generation", plan.generation},
                           {"groups", std::move(groups)},
                           {"promised", plan.promised},
                           {"version", formatVersion}}
        .dump();
}

bool holdsWeights(const Backend &backend, const ModelId &model)
{
    const std::vector<ModelId> &staged = backend.report.staged;
    return backend.lastModel == model
        || std::find(staged.begin(), staged.end(), model) != staged.end();
}

} // namespace bramleypitch
