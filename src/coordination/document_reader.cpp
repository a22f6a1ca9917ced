#include "coordination/document_reader.h"

#include <algorithm>

namespace bramleypitch {

DocumentReader::DocumentReader(const nlohmann::json &object, std::string path,
                               std::vector<Fault> &faults)
    : m_object(&object)
    , m_path(std::move(path))
    , m_faults(&faults)
{
    if (!object.is_object())
        m_faults->push_back({m_path.empty() ? "document" : m_path, "must be an object"});
}

std::string DocumentReader::fieldPath(const std::string &field) const
{
    return m_path.empty() ? field : m_path + "." + field;
}

void DocumentReader::addFault(const std::string &field, const std::string &message)
{
    m_faults->push_back({fieldPath(field), message});
}

const nlohmann::json *DocumentReader::find(const char *field, bool required)
{
    m_readFields.insert(field);
    if (!m_object->is_object())
        return nullptr;
    const auto found = m_object->find(field);
    if (found != m_object->end())
        return &*found;
    if (required)
        addFault(field, "is missing");
    return nullptr;
}

std::string DocumentReader::text(const char *field, bool required, const std::string &fallback)
{
    const nlohmann::json *value = find(field, required);
    if (!value)
        return fallback;
    if (!value->is_string() || value->get_ref<const std::string &>().empty()) {
        addFault(field, "must be a non-empty string");
        return fallback;
    }
    return value->get<std::string>();
}

std::int64_t DocumentReader::integer(const char *field, std::int64_t fallback, std::int64_t minimum,
                                     std::int64_t maximum)
{
    const nlohmann::json *value = find(field, false);
    if (!value)
        return fallback;
    if (!value->is_number_integer()) {
        addFault(field, "must be an integer");
        return fallback;
    }
    const auto read = value->get<std::int64_t>();
    if (read >= minimum && read <= maximum)
        return read;
    addFault(field, "must be from " + std::to_string(minimum) + " to " + std::to_string(maximum));
    return fallback;
}

double DocumentReader::number(const char *field, double fallback, double minimum, double maximum)
{
    const nlohmann::json *value = find(field, false);
    if (!value)
        return fallback;
    if (!value->is_number()) {
        addFault(field, "must be a number");
        return fallback;
    }
    const auto read = value->get<double>();
    if (read >= minimum && read <= maximum)
        return read;
    addFault(field,
             "must be from " + nlohmann::json(minimum).dump() + " to "
                 + nlohmann::json(maximum).dump());
    return fallback;
}

bool DocumentReader::boolean(const char *field, bool fallback)
{
    const nlohmann::json *value = find(field, false);
    if (!value)
        return fallback;
    if (value->is_boolean())
        return value->get<bool>();
    addFault(field, "must be true or false");
    return fallback;
}

std::vector<std::string> DocumentReader::texts(const char *field, bool required)
{
    std::vector<std::string> read;
    const nlohmann::json *value = find(field, required);
    if (!value)
        return read;
    if (!value->is_array()) {
        addFault(field, "must be an array");
        return read;
    }
    for (std::size_t i = 0; i < value->size(); ++i) {
        const nlohmann::json &item = (*value)[i];
        const std::string itemPath = std::string(field) + "[" + std::to_string(i) + "]";
        if (!item.is_string() || item.get_ref<const std::string &>().empty()) {
            addFault(itemPath, "must be a non-empty string");
            continue;
        }
        if (std::find(read.begin(), read.end(), item.get<std::string>()) != read.end()) {
            addFault(itemPath, "is a duplicate");
            continue;
        }
        read.push_back(item.get<std::string>());
    }
    return read;
}

std::vector<DocumentReader> DocumentReader::objects(const char *field, bool required)
{
    std::vector<DocumentReader> readers;
    const nlohmann::json *value = find(field, required);
    if (!value)
        return readers;
    if (!value->is_array()) {
        addFault(field, "must be an array");
        return readers;
    }
    for (std::size_t i = 0; i < value->size(); ++i)
        readers.emplace_back((*value)[i], fieldPath(field) + "[" + std::to_string(i) + "]",
                             *m_faults);
    return readers;
}

void DocumentReader::reportUnknownFields()
{
    if (!m_object->is_object())
        return;
    for (const auto &item : m_object->items()) {
        if (!m_readFields.count(item.key()))
            addFault(item.key(), "is not a known field");
    }
}

} // namespace bramleypitch
