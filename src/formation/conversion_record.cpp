#include "formation/conversion_record.h"

#include "core/error_type.h"
#include "core/format_version.h"
#include "core/json_reader.h"

#include <nlohmann/json.hpp>

namespace bramleypitch {

std::string serializeConversion(const ConversionRecord &record)
{
    return nlohmann::json {{"number", record.number},         {"domain", record.domain},
                           {"generation", record.generation}, {"receiver", record.receiver},
                           {"dissolved", record.dissolved},   {"era", record.era},
                           {"version", formatVersion}}
        .dump();
}

std::uint64_t parseConversionNumber(std::string_view text)
{
    try {
        const nlohmann::json document = parseJson(text);
        return static_cast<std::uint64_t>(
            JsonReader(document, "conversion").integer("number", 0, JsonBounds::integer));
    } catch (const Failure &) {
        return 0;
    }
}

} // namespace bramleypitch
