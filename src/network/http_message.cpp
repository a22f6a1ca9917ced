#include "network/http_message.h"

#include <http_parser.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <limits>

namespace bramleypitch {

namespace {

constexpr unsigned firstFinalStatus = 200;
constexpr unsigned noContent = 204;
constexpr unsigned notModified = 304;
constexpr std::string_view headTerminator = "\r\n\r\n";
constexpr std::array<std::string_view, 9> hopByHopHeaders {"connection",
                                                           "keep-alive",
                                                           "proxy-authenticate",
                                                           "proxy-authorization",
                                                           "proxy-connection",
                                                           "te",
                                                           "trailer",
                                                           "transfer-encoding",
                                                           "upgrade"};

bool isSpace(char c)
{
    return c == ' ' || c == '\t';
}

std::string_view trim(std::string_view text)
{
    while (!text.empty() && isSpace(text.front()))
        text.remove_prefix(1);
    while (!text.empty() && isSpace(text.back()))
        text.remove_suffix(1);
    return text;
}

} // namespace

bool sameHeader(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && std::equal(a.begin(), a.end(), b.begin(), [](char x, char y) {
               return std::tolower(static_cast<unsigned char>(x))
                   == std::tolower(static_cast<unsigned char>(y));
           });
}

const std::string *MessageHead::find(std::string_view name) const
{
    for (const auto &[header, value] : headers) {
        if (sameHeader(header, name))
            return &value;
    }
    return nullptr;
}

std::string MessageHead::value(std::string_view name) const
{
    const std::string *found = find(name);
    return found ? *found : std::string();
}

bool isHopByHop(const MessageHead &head, std::string_view name)
{
    if (std::any_of(hopByHopHeaders.begin(), hopByHopHeaders.end(),
                    [&](std::string_view header) { return sameHeader(header, name); }))
        return true;
    const std::string *connection = head.find("connection");
    if (!connection)
        return false;
    std::string_view rest = *connection;
    while (!rest.empty()) {
        const std::size_t comma = std::min(rest.find(','), rest.size());
        if (sameHeader(trim(rest.substr(0, comma)), name))
            return true;
        rest.remove_prefix(std::min(comma + 1, rest.size()));
    }
    return false;
}

std::optional<std::size_t> headLength(std::string_view bytes)
{
    const std::size_t end = bytes.find(headTerminator);
    if (end == std::string_view::npos)
        return std::nullopt;
    return end + headTerminator.size();
}

bool hasAmbiguousLines(std::string_view bytes)
{
    for (std::size_t i = 0; i < bytes.size(); ++i) {
        const char c = bytes[i];
        const bool afterCarriageReturn = i > 0 && bytes[i - 1] == '\r';
        if (c == '\0' || (c == '\n' && !afterCarriageReturn))
            return true;
        if (c == '\r' && i + 1 < bytes.size() && bytes[i + 1] != '\n')
            return true;
        if (c == '\n' && i + 1 < bytes.size() && isSpace(bytes[i + 1]))
            return true;
    }
    return false;
}

const char *bodyEndName(BodyEnd end)
{
    switch (end) {
    case BodyEnd::Unknown:
        return "unknown";
    case BodyEnd::NoBody:
        return "no_body";
    case BodyEnd::Length:
        return "length";
    case BodyEnd::LastChunk:
        return "last_chunk";
    case BodyEnd::ConnectionClose:
        return "connection_close";
    }
    return "unknown";
}

/// The parser and the parts of the message that its callbacks collect.
struct MessageParser::State
{
    http_parser parser {};
    http_parser_settings settings {};
    Kind kind = Kind::Request;
    MessageHead head;
    std::string body;
    bool begun = false;
    bool headComplete = false;
    bool complete = false;
    bool failed = false;
    bool withoutBody = false;
    bool inValue = false;
    std::optional<std::size_t> declaredBodyLength;
    BodyEnd bodyEnd = BodyEnd::Unknown;

    static State &of(http_parser *parser) { return *static_cast<State *>(parser->data); }

    static BodyEnd bodyEndOf(const http_parser &parser, const State &state)
    {
        const auto status = parser.status_code;
        const bool isResponse = state.kind == Kind::Response;
        if (state.withoutBody
            || (isResponse
                && (status < firstFinalStatus || status == noContent || status == notModified)))
            return BodyEnd::NoBody;
        if ((parser.flags & F_CHUNKED) != 0)
            return BodyEnd::LastChunk;
        if (state.declaredBodyLength)
            return BodyEnd::Length;
        return isResponse ? BodyEnd::ConnectionClose : BodyEnd::NoBody;
    }
    static int onMessageBegin(http_parser *parser)
    {
        of(parser).begun = true;
        return 0;
    }
    static int onUrl(http_parser *parser, const char *at, std::size_t length)
    {
        of(parser).head.target.append(at, length);
        return 0;
    }
    static int onHeaderField(http_parser *parser, const char *at, std::size_t length)
    {
        State &state = of(parser);
        if (state.headComplete) // Trailer fields are not forwarded.
            return 0;
        if (state.inValue || state.head.headers.empty())
            state.head.headers.emplace_back();
        state.inValue = false;
        state.head.headers.back().first.append(at, length);
        return 0;
    }
    static int onHeaderValue(http_parser *parser, const char *at, std::size_t length)
    {
        State &state = of(parser);
        if (state.headComplete || state.head.headers.empty())
            return 0;
        state.inValue = true;
        state.head.headers.back().second.append(at, length);
        return 0;
    }
    static int onHeadersComplete(http_parser *parser)
    {
        State &state = of(parser);
        state.headComplete = true;
        state.head.status = static_cast<int>(parser->status_code);
        if (state.kind == Kind::Request)
            state.head.method = http_method_str(static_cast<http_method>(parser->method));
        state.head.keepAlive = http_should_keep_alive(parser) != 0;
        if (parser->content_length != std::numeric_limits<std::uint64_t>::max())
            state.declaredBodyLength = parser->content_length;
        state.bodyEnd = bodyEndOf(*parser, state);
        return state.withoutBody ? 1 : 0;
    }
    static int onBody(http_parser *parser, const char *at, std::size_t length)
    {
        of(parser).body.append(at, length);
        return 0;
    }
    static int onMessageComplete(http_parser *parser)
    {
        of(parser).complete = true;
        http_parser_pause(parser, 1);
        return 0;
    }
};

MessageParser::MessageParser(Kind kind)
    : m_state(std::make_unique<State>())
{
    m_state->kind = kind;
    http_parser_settings_init(&m_state->settings);
    m_state->settings.on_message_begin = State::onMessageBegin;
    m_state->settings.on_url = State::onUrl;
    m_state->settings.on_header_field = State::onHeaderField;
    m_state->settings.on_header_value = State::onHeaderValue;
    m_state->settings.on_headers_complete = State::onHeadersComplete;
    m_state->settings.on_body = State::onBody;
    m_state->settings.on_message_complete = State::onMessageComplete;
    reset();
}

MessageParser::~MessageParser() = default;

void MessageParser::reset(bool withoutBody)
{
    State &state = *m_state;
    http_parser_init(&state.parser, state.kind == Kind::Request ? HTTP_REQUEST : HTTP_RESPONSE);
    state.parser.data = &state;
    state.head = MessageHead();
    state.body.clear();
    state.begun = state.headComplete = state.complete = state.failed = state.inValue = false;
    state.withoutBody = withoutBody;
    state.declaredBodyLength.reset();
    state.bodyEnd = BodyEnd::Unknown;
}

std::size_t MessageParser::feed(std::string_view bytes)
{
    State &state = *m_state;
    if (state.complete || state.failed || bytes.empty())
        return 0;
    const std::size_t consumed =
        http_parser_execute(&state.parser, &state.settings, bytes.data(), bytes.size());
    const http_errno error = HTTP_PARSER_ERRNO(&state.parser);
    if ((error != HPE_OK && error != HPE_PAUSED) || state.parser.upgrade)
        state.failed = true;
    return consumed;
}

void MessageParser::close()
{
    State &state = *m_state;
    if (state.complete || state.failed)
        return;
    http_parser_execute(&state.parser, &state.settings, nullptr, 0);
    if (!state.complete)
        state.failed = true;
}

const MessageHead &MessageParser::head() const
{
    return m_state->head;
}

bool MessageParser::headComplete() const
{
    return m_state->headComplete;
}

bool MessageParser::complete() const
{
    return m_state->complete;
}

bool MessageParser::failed() const
{
    return m_state->failed;
}

bool MessageParser::idle() const
{
    return !m_state->begun;
}

std::optional<std::size_t> MessageParser::declaredLength() const
{
    return m_state->declaredBodyLength;
}

BodyEnd MessageParser::bodyEnd() const
{
    return m_state->bodyEnd;
}

std::string MessageParser::takeBody()
{
    return std::exchange(m_state->body, std::string());
}

} // namespace bramleypitch
