#include "load/mix.h"

#include "coordination/document_reader.h"

namespace bramleypitch::load {

namespace {

constexpr std::int64_t maxNumber = 1'000'000;
constexpr double maxShare = 1'000'000;

MixOrganisation readOrganisation(DocumentReader &reader)
{
    MixOrganisation organisation;
    organisation.name = reader.text("name");
    organisation.key = reader.text("key");
    organisation.share = reader.number("share", organisation.share, 0, maxShare);
    reader.reportUnknownFields();
    return organisation;
}

RequestKind readKind(DocumentReader &reader)
{
    const std::string kind = reader.text("kind");
    if (kind == "once")
        return RequestKind::AtMostOnce;
    if (kind == "read")
        return RequestKind::Repeatable;
    if (kind != "completion")
        reader.addFault("kind", "must be completion, once or read");
    return RequestKind::Completion;
}

MixRequest readRequest(DocumentReader &reader)
{
    MixRequest request;
    request.name = reader.text("name");
    request.kind = readKind(reader);
    request.share = reader.number("share", request.share, 0, maxShare);
    request.target = reader.text("target");
    request.path = reader.text("path", request.kind != RequestKind::Completion, "/");
    request.prefixes = reader.integer("prefixes", request.prefixes, 1, maxNumber);
    request.prefixBytes = reader.integer("prefix_bytes", request.prefixBytes, 1, maxNumber);
    request.maxTokens = reader.integer("max_tokens", request.maxTokens, 1, maxNumber);
    request.priority = reader.integer("priority", request.priority, 0, 100);
    request.latencyLimitMillis =
        reader.integer("in_time_ms", request.latencyLimitMillis, 1, maxNumber);
    reader.reportUnknownFields();
    return request;
}

MixSurge readSurge(DocumentReader &reader)
{
    MixSurge surge;
    surge.organisation = reader.text("organisation");
    surge.factor = reader.number("factor", surge.factor, 1, maxShare);
    surge.fromMillis = reader.integer("from_ms", 0, 0, maxNumber);
    surge.toMillis = reader.integer("to_ms", maxNumber, 0, maxNumber);
    reader.reportUnknownFields();
    return surge;
}

} // namespace

Mix parseMix(std::string_view text)
{
    const nlohmann::json json = nlohmann::json::parse(text, nullptr, false);
    std::vector<Fault> faults;
    if (json.is_discarded())
        faults.push_back({"mix", "is not valid JSON"});
    Mix mix;
    DocumentReader reader(json, "", faults);
    for (DocumentReader &item : reader.objects("organisations", true))
        mix.organisations.push_back(readOrganisation(item));
    for (DocumentReader &item : reader.objects("requests", true))
        mix.requests.push_back(readRequest(item));
    for (DocumentReader &item : reader.objects("surges", false))
        mix.surges.push_back(readSurge(item));
    reader.reportUnknownFields();
    if (mix.organisations.empty() || mix.requests.empty())
        faults.push_back({"mix", "must list organisations and requests"});
    if (!faults.empty())
        throw Failure(ErrorCode::DocumentInvalid, std::move(faults));
    return mix;
}

} // namespace bramleypitch::load
