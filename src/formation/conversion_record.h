#pragma once

#include "formation/formation_type.h"

#include <string>

namespace bramleypitch {

/// The value of a store key that every conversion of groups changes in the same transaction as the
/// plan of its domain. A node that holds the newest revision of the key has read the plans of all
/// conversions before, as it reads the changes of the store in the order of their revisions. Two
/// owners that do not know of each other's conversions can therefore not both convert: the write of
/// the later one fails. The content is for operators alone; the plans tell which groups are being
/// dissolved.
struct ConversionRecord
{
    std::uint64_t number = 0; ///< Of conversions so far.
    DomainId domain;
    Generation generation; ///< Of the plan that converts.
    ModelId receiver; ///< Model that gets a group.
    std::vector<GroupId> dissolved;
    StoreEra era; ///< Of the store when it was written.
};

/// Serializes a record for the store, as compact JSON.
std::string serializeConversion(const ConversionRecord &record);
/// The number of a stored record, or 0 if it cannot be read: the next owner replaces it.
std::uint64_t parseConversionNumber(std::string_view text);

} // namespace bramleypitch
