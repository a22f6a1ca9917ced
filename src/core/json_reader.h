#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace bramleypitch {

/// Limits on JSON that other processes write.
struct JsonBounds
{
    static constexpr std::size_t documentBytes = 16 * 1024 * 1024; ///< As a reply to a call.
    static constexpr int depth = 64; ///< Nested arrays and objects.
    static constexpr std::size_t nameBytes = 255;
    static constexpr std::size_t textBytes = 4'096;
    static constexpr std::size_t items = 100'000; ///< Elements of an array.
    static constexpr std::int64_t count = 1'000'000; ///< Slots, members, connections and attempts.
    /// Any time in milliseconds, about a month. Far from an overflow when it is added to a clock.
    static constexpr std::int64_t milliseconds = std::int64_t {1} << 31U;
    /// Largest integer that JSON numbers represent exactly in all programs.
    static constexpr std::int64_t integer = (std::int64_t {1} << 53U) - 1;
    static constexpr double number = 1e12; ///< Rates, weights and figures of engines.
};

/// Parses a document. Throws Failure(PlatformProtocol) if it is not JSON, or too large or too deep
/// for JsonBounds. Functions that recurse over the result thus need little stack. A number beyond
/// the range of a double is read as the largest or lowest one, which no field of JsonReader holds.
nlohmann::json parseJson(std::string_view text);

/// Whether a text can be a name in headers, messages and logs: neither empty nor longer than
/// JsonBounds::nameBytes, valid UTF-8, and without control characters or blanks at its ends.
bool isName(std::string_view text);
/// Throws Failure(PlatformProtocol) unless `text` is a name. `what` names it in the message.
std::string checkedName(std::string_view text, const std::string &what);

/// Reads the fields of a JSON object, each as one type and within bounds. A field that is null
/// counts as missing. Every function throws Failure(PlatformProtocol) with the path of the field
/// if the field does not fit; those with a fallback return it if the field is missing.
class JsonReader
{
public:
    /// `object` must outlive the reader. Throws if it is not an object.
    JsonReader(const nlohmann::json &object, std::string path);

    bool has(const char *field) const { return find(field) != nullptr; }
    std::string text(const char *field, std::size_t maxBytes = JsonBounds::textBytes) const;
    std::string name(const char *field) const;
    /// Reads an integer, which may also be written like 8.0. The bounds are inclusive.
    std::int64_t integer(const char *field, std::int64_t minimum, std::int64_t maximum) const;
    std::int64_t integer(const char *field, std::int64_t minimum, std::int64_t maximum,
                         std::int64_t fallback) const;
    /// The bounds are inclusive.
    double number(const char *field, double minimum, double maximum) const;
    double number(const char *field, double minimum, double maximum, double fallback) const;
    bool boolean(const char *field) const;
    bool boolean(const char *field, bool fallback) const;
    JsonReader object(const char *field) const;
    /// Reads an array of objects; empty if the field is missing.
    std::vector<JsonReader> objects(const char *field) const;
    /// Returns the elements of an array; none if the field is missing.
    std::vector<const nlohmann::json *> elements(const char *field) const;
    const nlohmann::json &value(const char *field) const;
    /// The path of a field in messages.
    std::string path(const char *field) const { return m_path + "." + field; }
    [[noreturn]] void fail(const char *field, const std::string &message) const;

private:
    /// Returns the value of a field, or null if it is missing or null.
    const nlohmann::json *find(const char *field) const;

    const nlohmann::json *m_object;
    std::string m_path;
};

} // namespace bramleypitch
