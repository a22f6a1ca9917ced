#include "network/message_grammar.h"

#include "network/http_message.h"

#include <algorithm>
#include <array>
#include <charconv>

namespace bramleypitch {

namespace {

constexpr std::string_view lineEnd = "\r\n";
constexpr std::string_view blanks = " \t";
constexpr std::size_t maxLengthDigits = 15;
constexpr std::size_t maxChunkSizeDigits = 8;
constexpr std::size_t maxExtensionBytes = 256; ///< Of one chunk.
constexpr std::size_t maxTrailerBytes = 8 * 1024;
constexpr std::size_t statusDigits = 3;
constexpr int noContent = 204;
constexpr int firstFinalStatus = 200;

constexpr bool isAlphanumeric(unsigned char c)
{
    return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
}

/// The characters of a token (RFC 9110, 5.6.2), by their code.
constexpr std::array<bool, 256> tokenTable = [] {
    std::array<bool, 256> table {};
    for (std::size_t c = 0; c < table.size(); ++c)
        table[c] = isAlphanumeric(static_cast<unsigned char>(c));
    for (const char c : std::string_view("!#$%&'*+-.^_`|~"))
        table[static_cast<unsigned char>(c)] = true;
    return table;
}();

bool isToken(std::string_view text)
{
    return !text.empty() && std::all_of(text.begin(), text.end(), [](char c) {
        return tokenTable[static_cast<unsigned char>(c)];
    });
}

/// Whether a character may stand in a field value, a reason phrase or a chunk extension.
bool isFieldChar(char c)
{
    const auto code = static_cast<unsigned char>(c);
    return code == '\t' || (code >= ' ' && code != 0x7f);
}

bool isFieldText(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), isFieldChar);
}

bool isDigits(std::string_view text)
{
    return !text.empty()
        && std::all_of(text.begin(), text.end(), [](char c) { return c >= '0' && c <= '9'; });
}

bool isVersion(std::string_view text)
{
    return text == "HTTP/1.1" || text == "HTTP/1.0";
}

/// Whether a target has the form of a path and query, without a fragment (RFC 9112, 3.2.1).
bool isTarget(std::string_view target)
{
    return !target.empty() && target.front() == '/'
        && std::all_of(target.begin(), target.end(),
                       [](char c) { return c > ' ' && c < 0x7f && c != '#'; });
}

/// Whether a Host header names one host, with a port or without.
bool isHost(std::string_view host)
{
    return std::all_of(host.begin(), host.end(), [](char c) {
        return isAlphanumeric(static_cast<unsigned char>(c))
            || std::string_view("-._~%!$&'()*+;=:[]").find(c) != std::string_view::npos;
    });
}

/// Returns the version of a request line, or an empty text if the line is malformed.
std::string_view requestVersion(std::string_view line)
{
    const std::size_t first = line.find(' ');
    const std::size_t second = line.find(' ', std::min(first, line.size() - 1) + 1);
    if (first == std::string_view::npos || second == std::string_view::npos)
        return {};
    const std::string_view version = line.substr(second + 1);
    const bool isValid = isToken(line.substr(0, first))
        && isTarget(line.substr(first + 1, second - first - 1)) && isVersion(version);
    return isValid ? version : std::string_view();
}

/// A status line without the blank before an empty reason phrase is accepted. A status below 100
/// belongs to no class (RFC 9110, 15), so that nothing tells whether a body follows the head.
std::string_view responseVersion(std::string_view line)
{
    const std::size_t blank = std::min(line.find(' '), line.size());
    const std::string_view version = line.substr(0, blank);
    const std::string_view rest = line.substr(std::min(blank + 1, line.size()));
    const bool isValid = isVersion(version) && isDigits(rest.substr(0, statusDigits))
        && rest.front() != '0' && rest.size() >= statusDigits
        && (rest.size() == statusDigits || rest[statusDigits] == ' ') && isFieldText(rest);
    return isValid ? version : std::string_view();
}

struct Field
{
    std::string_view name;
    std::string_view value;
};

/// Splits a field line. The name is empty if the line is malformed.
Field splitField(std::string_view line)
{
    const std::size_t colon = line.find(':');
    if (colon == std::string_view::npos || !isToken(line.substr(0, colon)))
        return {};
    std::string_view value = line.substr(colon + 1);
    if (!isFieldText(value))
        return {};
    value.remove_prefix(std::min(value.find_first_not_of(blanks), value.size()));
    value = value.substr(0, value.find_last_not_of(blanks) + 1);
    return {line.substr(0, colon), value};
}

/// Whether a name begins with that of a field that delimits bodies. Some readers compare prefixes.
bool beginsLikeFraming(std::string_view name)
{
    constexpr std::string_view length = "content-length";
    constexpr std::string_view coding = "transfer-encoding";
    return sameHeader(name.substr(0, length.size()), length)
        || sameHeader(name.substr(0, coding.size()), coding);
}

int hexDigit(char c)
{
    if (c >= '0' && c <= '9')
        return c - '0';
    if (c >= 'a' && c <= 'f')
        return c - 'a' + 10;
    if (c >= 'A' && c <= 'F')
        return c - 'A' + 10;
    return -1;
}

} // namespace

HeadFraming checkHead(std::string_view head, MessageKind kind)
{
    const auto fault = [](const char *cause) {
        HeadFraming framing;
        framing.fault = cause;
        return framing;
    };
    HeadFraming framing;
    const bool isRequest = kind == MessageKind::Request;
    std::size_t end = head.find(lineEnd);
    if (end == std::string_view::npos || end == 0)
        return fault("start_line");
    const std::string_view startLine = head.substr(0, end);
    const std::string_view version =
        isRequest ? requestVersion(startLine) : responseVersion(startLine);
    if (version.empty())
        return fault("start_line");
    std::size_t hosts = 0;
    std::size_t codings = 0;
    for (std::size_t begin = end + lineEnd.size(); begin < head.size();
         begin = end + lineEnd.size()) {
        end = head.find(lineEnd, begin);
        if (end == std::string_view::npos)
            return fault("line_end");
        if (end == begin) {
            if (end + lineEnd.size() != head.size())
                return fault("line_end");
            break;
        }
        const std::string_view line = head.substr(begin, end - begin);
        const Field field = splitField(line);
        if (field.name.empty())
            return fault("field");
        if (beginsLikeFraming(field.name) && line.find('\t') != std::string_view::npos)
            return fault("field"); // Readers differ on whether tabs belong to the value.
        if (isRequest && sameHeader(field.name, "host")) {
            ++hosts;
            if (!isHost(field.value))
                return fault("host");
        } else if (sameHeader(field.name, "content-length")) {
            std::uint64_t length = 0;
            if (framing.length || !isDigits(field.value) || field.value.size() > maxLengthDigits)
                return fault("content_length");
            std::from_chars(field.value.data(), field.value.data() + field.value.size(), length);
            framing.length = length;
        } else if (sameHeader(field.name, "transfer-encoding")) {
            ++codings;
            framing.isChunked = sameHeader(field.value, "chunked");
            // Servers of earlier versions of HTTP state "identity" before a body without an end.
            if (!framing.isChunked && (isRequest || !sameHeader(field.value, "identity")))
                return fault("transfer_encoding");
        } else if (beginsLikeFraming(field.name)) {
            return fault("field");
        }
    }
    if (isRequest && hosts != 1)
        return fault("host");
    if (codings > 1 || (codings > 0 && framing.length)
        || (framing.isChunked && version == "HTTP/1.0"))
        return fault("transfer_encoding");
    if (!isRequest && framing.isChunked) {
        int status = 0;
        const char *digits = startLine.data() + version.size() + 1;
        std::from_chars(digits, digits + statusDigits, status);
        if (status < firstFinalStatus || status == noContent)
            return fault("transfer_encoding");
    }
    return framing;
}

std::size_t ChunkChecker::feed(std::string_view bytes)
{
    std::size_t position = 0;
    while (position < bytes.size() && !complete() && !failed()) {
        if (m_state == State::Data) {
            const std::size_t taken = std::min<std::uint64_t>(m_left, bytes.size() - position);
            position += taken;
            m_left -= taken;
            if (m_left == 0)
                m_state = State::DataEnd;
            continue;
        }
        m_state = next(bytes[position]);
        if (!failed())
            ++position;
    }
    return position;
}

ChunkChecker::State ChunkChecker::next(char c)
{
    switch (m_state) {
    case State::Size:
        return nextInSize(c);
    case State::Extension:
        if (c == '\r')
            return State::SizeEnd;
        return isFieldChar(c) && ++m_lineBytes <= maxExtensionBytes ? State::Extension
                                                                    : State::Failed;
    case State::SizeEnd:
        if (c != '\n')
            return State::Failed;
        m_sizeDigits = m_lineBytes = 0;
        return m_left > 0 ? State::Data : State::Trailer;
    case State::DataEnd:
        return c == '\r' ? State::DataLineEnd : State::Failed;
    case State::DataLineEnd:
        return c == '\n' ? State::Size : State::Failed;
    case State::Trailer:
        return nextInTrailer(c);
    default:
        return State::Failed;
    }
}

ChunkChecker::State ChunkChecker::nextInSize(char c)
{
    constexpr std::uint64_t base = 16;
    if (const int digit = hexDigit(c); digit >= 0) {
        if (++m_sizeDigits > maxChunkSizeDigits)
            return State::Failed;
        m_left = base * m_left + static_cast<std::uint64_t>(digit);
        return State::Size;
    }
    if (m_sizeDigits == 0)
        return State::Failed;
    if (c == ';')
        return State::Extension;
    return c == '\r' ? State::SizeEnd : State::Failed;
}

ChunkChecker::State ChunkChecker::nextInTrailer(char c)
{
    if (++m_lineBytes > maxTrailerBytes)
        return State::Failed;
    const bool endsLine = !m_line.empty() && m_line.back() == '\r';
    if (endsLine != (c == '\n'))
        return State::Failed;
    if (!endsLine) {
        m_line += c;
        return State::Trailer;
    }
    m_line.pop_back();
    if (m_line.empty())
        return State::Complete;
    const std::string_view name = splitField(m_line).name;
    const bool isValid = !name.empty() && !beginsLikeFraming(name) && !sameHeader(name, "host");
    m_line.clear();
    return isValid ? State::Trailer : State::Failed;
}

} // namespace bramleypitch
