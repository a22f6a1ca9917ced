#include "formation/formation_func.h"

#include "core/format_version.h"
#include "core/json_reader.h"

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
    const auto readGeneration = [](const JsonReader &item) {
        return Generation(
            static_cast<std::uint64_t>(item.integer("generation", 0, JsonBounds::integer)));
    };
    const nlohmann::json document = parseJson(text);
    const JsonReader reader(document, "plan");
    FormationPlan plan;
    plan.generation = readGeneration(reader);
    plan.promised = ModelId(reader.text("promised", JsonBounds::nameBytes));
    plan.era = StoreEra(reader.integer("era", 0, JsonBounds::integer, 0));
    reader.value("groups");
    for (const JsonReader &item : reader.objects("groups")) {
        PlannedGroup group;
        group.name = GroupId(item.name("name"));
        group.generation = readGeneration(item);
        group.model = ModelId(item.name("model"));
        group.dissolving = item.boolean("dissolving");
        for (const JsonReader &member : item.objects("members"))
            group.members.push_back(
                {VmId(member.name("vm")),
                 member.integer("started_at", -JsonBounds::integer, JsonBounds::integer)});
        if (group.members.empty())
            item.fail("members", "must not be empty");
        plan.groups.push_back(std::move(group));
    }
    return plan;
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
                           {"era", plan.era},
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
