#pragma once

#include <nlohmann/json.hpp>

#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <utility>

namespace bramleypitch {

/// Wraps a value of type `Rep` so that it cannot be confused with values of another `Tag`.
template<typename Tag, typename Rep>
class StrongType
{
public:
    StrongType() = default;
    explicit StrongType(Rep value)
        : m_value(std::move(value))
    {
    }

    /// The wrapped value, for printing, hashing and serialization.
    const Rep &value() const { return m_value; }

    auto operator<=>(const StrongType &) const = default;

private:
    Rep m_value {};
};

/// Serializes the wrapped value.
template<typename Tag, typename Rep>
void to_json(nlohmann::json &json, const StrongType<Tag, Rep> &strong)
{
    json = strong.value();
}

/// Parses the wrapped value. Throws nlohmann::json::type_error if the JSON type does not match.
template<typename Tag, typename Rep>
void from_json(const nlohmann::json &json, StrongType<Tag, Rep> &strong)
{
    strong = StrongType<Tag, Rep>(json.get<Rep>());
}

using VmId = StrongType<struct VmIdTag, std::string>; ///< A VM in the platform's VM list.
using NodeId = StrongType<struct NodeIdTag, std::string>; ///< The process on one entry VM.
using ZoneId = StrongType<struct ZoneIdTag, std::string>; ///< An availability zone.
using DomainId = StrongType<struct DomainIdTag, std::string>; ///< A fabric domain.
using OrganisationId = StrongType<struct OrganisationIdTag, std::string>;
using ModelGroupId = StrongType<struct ModelGroupIdTag, std::string>;
using ServiceId = StrongType<struct ServiceIdTag, std::string>;
using EnvironmentId = StrongType<struct EnvironmentIdTag, std::string>;
using GroupId = StrongType<struct GroupIdTag, std::string>; ///< A formed group of VMs.
using BootId = StrongType<struct BootIdTag, std::string>; ///< Changes whenever an engine restarts.
using Address = StrongType<struct AddressTag, std::string>; ///< "IP:PORT".
using Nonce = StrongType<struct NonceTag, std::string>; ///< Identifies one write or claim attempt.

using Generation = StrongType<struct GenerationTag, std::uint64_t>; ///< Fencing token of orders.
using Revision = StrongType<struct RevisionTag, std::int64_t>; ///< Store revision; 0 is "absent".
/// Counts how often the store has come back from an older copy; revisions of different eras cannot
/// be compared. 0 if it is not known, or if the store has no eras.
using StoreEra = StrongType<struct StoreEraTag, std::int64_t>;
using Incarnation = StrongType<struct IncarnationTag, std::int64_t>; ///< Lease period of a node.
using RequestId = StrongType<struct RequestIdTag, std::uint64_t>;
using AttemptNumber = StrongType<struct AttemptNumberTag, std::uint32_t>;
using OperationId = StrongType<struct OperationIdTag, std::uint64_t>; ///< Pairs action and reply.
using SegmentIndex = StrongType<struct SegmentIndexTag, std::uint32_t>; ///< A ledger segment.

} // namespace bramleypitch

/// Hashes the plain value, so that strong types can key unordered containers.
template<typename Tag, typename Rep>
struct std::hash<bramleypitch::StrongType<Tag, Rep>>
{
    std::size_t operator()(const bramleypitch::StrongType<Tag, Rep> &strong) const
    {
        return std::hash<Rep>()(strong.value());
    }
};
