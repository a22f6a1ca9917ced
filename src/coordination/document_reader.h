#pragma once

#include "core/error_type.h"

#include <nlohmann/json.hpp>

#include <set>
#include <string>
#include <vector>

namespace bramleypitch {

/// Reads the fields of one JSON object and notes each fault with its path. Fields that nobody
/// asked for are faults when the reader is finished.
class DocumentReader
{
public:
    DocumentReader(const nlohmann::json &object, std::string path, std::vector<Fault> &faults);

    /// A text field that is not empty; `required` fields must be there.
    std::string text(const char *field, bool required = true, const std::string &fallback = {});
    /// A whole number within bounds, both included.
    std::int64_t integer(const char *field, std::int64_t fallback, std::int64_t least,
                         std::int64_t most);
    /// A number within bounds, both included.
    double number(const char *field, double fallback, double least, double most);
    bool boolean(const char *field, bool fallback);
    /// A list of texts, each not empty and none twice.
    std::vector<std::string> texts(const char *field, bool required);
    /// A list of objects: one reader each.
    std::vector<DocumentReader> objects(const char *field, bool required);
    /// Notes a fault at a field of this object.
    void fault(const std::string &field, const std::string &message);
    /// Notes every field that was not asked for.
    void finish();

    const std::string &path() const { return m_path; }

private:
    const nlohmann::json *find(const char *field, bool required);
    std::string fieldPath(const std::string &field) const;

    const nlohmann::json *m_object;
    std::string m_path;
    std::vector<Fault> *m_faults;
    std::set<std::string> m_known;
};

} // namespace bramleypitch
