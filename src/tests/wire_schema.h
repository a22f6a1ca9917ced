#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace bramleypitch::test {

/// A field of a Thrift struct, or a parameter of a function.
struct WireField
{
    std::string type;
    std::string name;
    bool required = false;
};

/// The fields of each struct by their ids. A function of a service is listed under the names of
/// both, with its result as field 0.
using WireSchema = std::map<std::string, std::map<int, WireField>>;

/// Parses a Thrift file that has one field or function per line. Throws std::runtime_error if a
/// line is not understood or a struct has two fields with the same id.
WireSchema parseWireSchema(const std::string &text);

/// The differences that builds with the earlier schema do not understand: removed, renumbered or
/// required fields, and other names or types. Additions are understood.
std::vector<std::string> incompatibleChanges(const WireSchema &earlier, const WireSchema &later);

/// What a build with the schema reads from a struct in the compact protocol: each field that it
/// knows, as text. Throws a Thrift exception if the bytes are malformed.
std::string readBySchema(const WireSchema &schema, const std::string &structName,
                         std::string_view bytes);

} // namespace bramleypitch::test
