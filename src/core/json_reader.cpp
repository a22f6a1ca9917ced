#include "core/json_reader.h"

#include "core/error_type.h"

#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <limits>

namespace bramleypitch {

namespace {

using nlohmann::json;

constexpr unsigned char firstPrintable = ' ';
constexpr unsigned char deleteCharacter = 0x7f;
constexpr unsigned char firstNonAscii = 0x80;
constexpr std::size_t maxReasonBytes = 200;

[[noreturn]] void failDocument(const std::string &reason)
{
    throw Failure(ErrorCode::PlatformProtocol, reason.substr(0, maxReasonBytes));
}

/// The position of the quote that ends the string which begins at a position, or the end of the
/// text.
std::size_t endOfString(std::string_view text, std::size_t begin)
{
    std::size_t end = begin + 1;
    while (end < text.size() && text[end] != '"')
        end += text[end] == '\\' ? 2 : 1;
    return std::min(end, text.size());
}

/// Whether arrays and objects are nested deeper than the limit. Up to its first error, the parser
/// sees the same brackets.
bool isTooDeep(std::string_view text)
{
    int depth = 0;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const char character = text[i];
        if (character == '"') {
            i = endOfString(text, i);
        } else if (character == '[' || character == '{') {
            if (++depth > JsonBounds::depth)
                return true;
        } else if (character == ']' || character == '}') {
            --depth;
        }
    }
    return false;
}

/// Length of the JSON number that a text begins with; 0 if it begins with none.
std::size_t numberLength(std::string_view text)
{
    std::size_t length = 0;
    const auto skip = [&](std::string_view characters) {
        const bool found =
            length < text.size() && characters.find(text[length]) != std::string_view::npos;
        length += found ? 1 : 0;
        return found;
    };
    const auto skipDigits = [&] {
        const std::size_t begin = length;
        while (skip("0123456789")) { }
        return length > begin;
    };
    skip("-");
    if (!skip("0") && !skipDigits())
        return 0;
    if (skip(".") && !skipDigits())
        return 0;
    if (skip("eE")) {
        skip("+-");
        if (!skipDigits())
            return 0;
    }
    return length;
}

/// Writes a document again with the largest double for each number beyond it, which JSON allows
/// and the parser refuses. No bound of a field holds that number.
std::string withNumbersInRange(std::string_view text)
{
    static const std::string largest = json(std::numeric_limits<double>::max()).dump();
    std::string result;
    std::size_t copied = 0;
    for (std::size_t i = 0; i < text.size(); ++i) {
        const char character = text[i];
        if (character == '"') {
            i = endOfString(text, i);
            continue;
        }
        const std::size_t length = numberLength(text.substr(i));
        if (length == 0)
            continue;
        if (std::isinf(std::strtod(std::string(text.substr(i, length)).c_str(), nullptr))) {
            result.append(text.substr(copied, i - copied));
            result.append(character == '-' ? "-" : "").append(largest);
            copied = i + length;
        }
        i += length - 1;
    }
    return result.append(text.substr(copied));
}

bool isUtf8(std::string_view text)
{
    const auto isAscii = [](unsigned char byte) { return byte < firstNonAscii; };
    if (std::all_of(text.begin(), text.end(), isAscii))
        return true;
    try {
        return !json(text).dump().empty(); // Fails on text that is not UTF-8.
    } catch (const json::exception &) {
        return false;
    }
}

} // namespace

json parseJson(std::string_view text)
{
    if (text.size() > JsonBounds::documentBytes)
        failDocument("longer than " + std::to_string(JsonBounds::documentBytes) + " bytes");
    if (isTooDeep(text))
        failDocument("nested deeper than " + std::to_string(JsonBounds::depth));
    // The library's messages quote the document, which may hold secrets.
    try {
        try {
            return json::parse(text);
        } catch (const json::out_of_range &) {
            return json::parse(withNumbersInRange(text));
        }
    } catch (const json::parse_error &error) {
        failDocument("not JSON at byte " + std::to_string(error.byte));
    } catch (const json::exception &) {
        failDocument("not JSON");
    }
}

bool isName(std::string_view text)
{
    const auto isControl = [](unsigned char byte) {
        return byte < firstPrintable || byte == deleteCharacter;
    };
    return !text.empty() && text.size() <= JsonBounds::nameBytes && text.front() != ' '
        && text.back() != ' ' && std::none_of(text.begin(), text.end(), isControl) && isUtf8(text);
}

std::string checkedName(std::string_view text, const std::string &what)
{
    if (!isName(text))
        failDocument(what + ": must be a name");
    return std::string(text);
}

JsonReader::JsonReader(const json &object, std::string path)
    : m_object(&object)
    , m_path(std::move(path))
{
    if (!object.is_object())
        failDocument(m_path + ": must be an object");
}

void JsonReader::fail(const char *field, const std::string &message) const
{
    failDocument(path(field) + ": " + message);
}

const json *JsonReader::find(const char *field) const
{
    const auto found = m_object->find(field);
    return found == m_object->end() || found->is_null() ? nullptr : &*found;
}

const json &JsonReader::value(const char *field) const
{
    const json *value = find(field);
    if (!value)
        fail(field, "is missing");
    return *value;
}

std::string JsonReader::text(const char *field, std::size_t maxBytes) const
{
    const json &read = value(field);
    if (!read.is_string() || read.get_ref<const std::string &>().size() > maxBytes)
        fail(field, "must be a string of at most " + std::to_string(maxBytes) + " bytes");
    return read.get<std::string>();
}

std::string JsonReader::name(const char *field) const
{
    const json &read = value(field);
    if (!read.is_string() || !isName(read.get_ref<const std::string &>()))
        fail(field, "must be a name");
    return read.get<std::string>();
}

std::int64_t JsonReader::integer(const char *field, std::int64_t minimum,
                                 std::int64_t maximum) const
{
    const json &read = value(field);
    const auto isInRange = [&](auto number) {
        return std::cmp_greater_equal(number, minimum) && std::cmp_less_equal(number, maximum);
    };
    if (read.is_number_unsigned() && isInRange(read.get<std::uint64_t>()))
        return read.get<std::int64_t>();
    if (read.is_number_integer() && !read.is_number_unsigned()
        && isInRange(read.get<std::int64_t>()))
        return read.get<std::int64_t>();
    if (read.is_number_float()) {
        const auto number = read.get<double>();
        if (std::abs(number) <= static_cast<double>(JsonBounds::integer)
            && std::trunc(number) == number && isInRange(static_cast<std::int64_t>(number)))
            return static_cast<std::int64_t>(number);
    }
    fail(field,
         "must be an integer from " + std::to_string(minimum) + " to " + std::to_string(maximum));
}

std::int64_t JsonReader::integer(const char *field, std::int64_t minimum, std::int64_t maximum,
                                 std::int64_t fallback) const
{
    return has(field) ? integer(field, minimum, maximum) : fallback;
}

double JsonReader::number(const char *field, double minimum, double maximum) const
{
    const json &read = value(field);
    if (read.is_number()) {
        const auto number = read.get<double>();
        if (number >= minimum && number <= maximum)
            return number;
    }
    fail(field,
         "must be a number from " + std::to_string(minimum) + " to " + std::to_string(maximum));
}

double JsonReader::number(const char *field, double minimum, double maximum, double fallback) const
{
    return has(field) ? number(field, minimum, maximum) : fallback;
}

bool JsonReader::boolean(const char *field) const
{
    const json &read = value(field);
    if (!read.is_boolean())
        fail(field, "must be true or false");
    return read.get<bool>();
}

bool JsonReader::boolean(const char *field, bool fallback) const
{
    return has(field) ? boolean(field) : fallback;
}

JsonReader JsonReader::object(const char *field) const
{
    return {value(field), path(field)};
}

std::vector<const json *> JsonReader::elements(const char *field) const
{
    std::vector<const json *> elements;
    const json *read = find(field);
    if (!read)
        return elements;
    if (!read->is_array() || read->size() > JsonBounds::items)
        fail(field, "must be an array of at most " + std::to_string(JsonBounds::items) + " items");
    for (const json &element : *read)
        elements.push_back(&element);
    return elements;
}

std::vector<JsonReader> JsonReader::objects(const char *field) const
{
    std::vector<JsonReader> readers;
    for (const json *element : elements(field))
        readers.emplace_back(*element, path(field) + "[" + std::to_string(readers.size()) + "]");
    return readers;
}

} // namespace bramleypitch
