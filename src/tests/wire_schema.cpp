#include "wire_schema.h"

#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <memory>
#include <regex>
#include <sstream>
#include <stdexcept>

namespace bramleypitch::test {

namespace {

using namespace apache::thrift::protocol;

void addField(WireSchema &schema, const std::string &name, int id, const WireField &field)
{
    if (!schema[name].emplace(id, field).second)
        throw std::runtime_error(name + " has two fields " + std::to_string(id));
}

/// The parts of a container type between its angle brackets.
std::vector<std::string> elementTypes(const std::string &type)
{
    const std::size_t open = type.find('<');
    if (open == std::string::npos)
        return {};
    const std::string inner = type.substr(open + 1, type.size() - open - 2);
    if (type.compare(0, open, "map") != 0)
        return {inner};
    const std::size_t comma = inner.find(','); // A key is never a container.
    return {inner.substr(0, comma), inner.substr(comma + 1)};
}

TType wireType(const std::string &type)
{
    static const std::map<std::string, TType> simpleTypes {
        {"bool", T_BOOL},     {"i32", T_I32},       {"i64", T_I64},
        {"double", T_DOUBLE}, {"string", T_STRING}, {"binary", T_STRING}};
    const auto found = simpleTypes.find(type);
    if (found != simpleTypes.end())
        return found->second;
    if (type.compare(0, 4, "map<") == 0)
        return T_MAP;
    if (type.compare(0, 5, "list<") == 0)
        return T_LIST;
    return type.compare(0, 4, "set<") == 0 ? T_SET : T_STRUCT;
}

class SchemaReader
{
public:
    SchemaReader(const WireSchema &schema, TCompactProtocol &protocol)
        : m_schema(schema)
        , m_protocol(protocol)
    {
    }

    std::string readStruct(const std::string &structName)
    {
        const std::map<int, WireField> &fields = m_schema.at(structName);
        std::map<int, std::string> values;
        std::string name;
        m_protocol.readStructBegin(name);
        while (true) {
            TType type = T_STOP;
            std::int16_t id = 0;
            m_protocol.readFieldBegin(name, type, id);
            if (type == T_STOP)
                break;
            const auto field = fields.find(id);
            if (field != fields.end() && wireType(field->second.type) == type)
                values[id] = field->second.name + "=" + readValue(field->second.type);
            else
                m_protocol.skip(type);
            m_protocol.readFieldEnd();
        }
        m_protocol.readStructEnd();
        std::string text = "{";
        for (const auto &[id, value] : values)
            text += std::to_string(id) + ":" + value + "\n";
        return text + "}";
    }

private:
    std::string readValue(const std::string &type)
    {
        switch (wireType(type)) {
        case T_BOOL: {
            bool value = false;
            m_protocol.readBool(value);
            return value ? "true" : "false";
        }
        case T_I32: {
            std::int32_t value = 0;
            m_protocol.readI32(value);
            return std::to_string(value);
        }
        case T_I64: {
            std::int64_t value = 0;
            m_protocol.readI64(value);
            return std::to_string(value);
        }
        case T_DOUBLE: {
            double value = 0;
            m_protocol.readDouble(value);
            return std::to_string(value);
        }
        case T_STRING: {
            std::string value;
            m_protocol.readBinary(value);
            return "\"" + value + "\"";
        }
        case T_STRUCT:
            return readStruct(type);
        default:
            return readContainer(type);
        }
    }

    std::string readContainer(const std::string &type)
    {
        const std::vector<std::string> elements = elementTypes(type);
        TType first = T_STOP;
        TType second = T_STOP;
        std::uint32_t size = 0;
        if (wireType(type) == T_MAP)
            m_protocol.readMapBegin(first, second, size);
        else if (wireType(type) == T_LIST)
            m_protocol.readListBegin(first, size);
        else
            m_protocol.readSetBegin(first, size);
        // Generated code reads the elements by its own types, without regard to these.
        const bool isMap = elements.size() == 2;
        if (size > 0
            && (first != wireType(elements[0]) || (isMap && second != wireType(elements[1]))))
            throw TProtocolException(TProtocolException::INVALID_DATA, "elements of " + type);
        std::string text = "[";
        for (std::uint32_t i = 0; i < size; ++i) {
            for (const std::string &element : elements)
                text += readValue(element) + " ";
        }
        return text + "]";
    }

    const WireSchema &m_schema;
    TCompactProtocol &m_protocol;
};

} // namespace

WireSchema parseWireSchema(const std::string &text)
{
    static const std::regex block(R"((struct|service) (\w+) \{)");
    static const std::regex field(R"((\d+): ((required|optional) )?([\w<>, ]+) (\w+)( = \S+)?)");
    static const std::regex function(R"(([\w<>, ]+) (\w+)\((.*)\))");
    WireSchema schema;
    std::string blockName;
    bool isService = false;
    const auto add = [&](const std::string &owner, const std::smatch &match) {
        std::string type = match[4];
        std::erase(type, ' ');
        addField(schema, owner, std::stoi(match[1]), {type, match[5], match[3] == "required"});
    };
    std::istringstream lines(text);
    for (std::string line; std::getline(lines, line);) {
        line = line.substr(0, line.find("//"));
        line.erase(0, line.find_first_not_of(' '));
        line.erase(line.find_last_not_of(' ') + 1);
        std::smatch match;
        if (line.empty() || line.compare(0, 10, "namespace ") == 0)
            continue;
        if (std::regex_match(line, match, block)) {
            isService = match[1] == "service";
            blockName = match[2];
            if (!isService && !schema.emplace(blockName, WireSchema::mapped_type()).second)
                throw std::runtime_error("two structs " + blockName);
        } else if (line == "}") {
            blockName.clear();
        } else if (!blockName.empty() && !isService && std::regex_match(line, match, field)) {
            add(blockName, match);
        } else if (isService && std::regex_match(line, match, function)) {
            const std::string name = blockName + "." + std::string(match[2]);
            addField(schema, name, 0, {match[1], "result", false});
            const std::string parameters = match[3];
            std::smatch parameter;
            if (!parameters.empty() && !std::regex_match(parameters, parameter, field))
                throw std::runtime_error("not understood: " + line);
            if (!parameters.empty())
                add(name, parameter);
        } else {
            throw std::runtime_error("not understood: " + line);
        }
    }
    return schema;
}

std::vector<std::string> incompatibleChanges(const WireSchema &earlier, const WireSchema &later)
{
    std::vector<std::string> changes;
    for (const auto &[structName, fields] : earlier) {
        const auto laterStruct = later.find(structName);
        for (const auto &[id, field] : fields) {
            const std::string name = structName + "." + field.name;
            if (laterStruct == later.end() || !laterStruct->second.contains(id)) {
                changes.push_back(name + " is removed");
                continue;
            }
            const WireField &now = laterStruct->second.at(id);
            if (now.type != field.type)
                changes.push_back(name + " has another type");
            if (now.name != field.name)
                changes.push_back(name + " has another name"); // Its id may be used again.
        }
    }
    for (const auto &[structName, fields] : later) {
        for (const auto &[id, field] : fields) {
            if (field.required)
                changes.push_back(structName + "." + field.name + " is required");
        }
    }
    return changes;
}

std::string readBySchema(const WireSchema &schema, const std::string &structName,
                         std::string_view bytes)
{
    auto *data = reinterpret_cast<std::uint8_t *>(const_cast<char *>(bytes.data()));
    const auto buffer = std::make_shared<apache::thrift::transport::TMemoryBuffer>(
        data, static_cast<std::uint32_t>(bytes.size()));
    TCompactProtocol protocol(buffer);
    return SchemaReader(schema, protocol).readStruct(structName);
}

} // namespace bramleypitch::test
