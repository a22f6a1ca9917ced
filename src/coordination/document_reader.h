#pragma once

#include "core/error_type.h"

#include <nlohmann/json.hpp>

#include <set>
#include <string>
#include <vector>

namespace bramleypitch {

/// Reads and validates the fields of one JSON object. All faults are added to a shared list with
/// the path of their field. Fields that were never read count as unknown and are faults, too.
class DocumentReader
{
public:
    DocumentReader(const nlohmann::json &object, std::string path, std::vector<Fault> &faults);

    /// Reads a string field, which must not be empty. The field may be missing unless `required`.
    std::string text(const char *field, bool required = true, const std::string &fallback = {});
    /// Reads an optional integer. The bounds are inclusive.
    std::int64_t integer(const char *field, std::int64_t fallback, std::int64_t minimum,
                         std::int64_t maximum);
    /// Reads an optional number. The bounds are inclusive.
    double number(const char *field, double fallback, double minimum, double maximum);
    /// Reads an optional boolean.
    bool boolean(const char *field, bool fallback);
    /// Reads an array of distinct, non-empty strings.
    std::vector<std::string> texts(const char *field, bool required);
    /// Reads an array of objects and returns a reader for each element.
    std::vector<DocumentReader> objects(const char *field, bool required);
    /// Adds an entry to the list of faults for a field of this object.
    void addFault(const std::string &field, const std::string &message);
    /// Adds all fields that were never read to the list of faults. Must be called after the last
    /// read.
    void reportUnknownFields();

    const std::string &path() const { return m_path; }

private:
    /// Marks a field as known and returns its value, or null if it is missing. A required field
    /// that is missing is added to the list of faults.
    const nlohmann::json *find(const char *field, bool required);
    /// Returns the path of a field from the root of the document.
    std::string fieldPath(const std::string &field) const;

    const nlohmann::json *m_object;
    std::string m_path;
    std::vector<Fault> *m_faults;
    std::set<std::string> m_readFields; ///< Names of the fields read so far.
};

} // namespace bramleypitch
