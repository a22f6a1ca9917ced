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
constexpr std::size_t maxHeadBytes = 80 * 1024;
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
    BodyEnd bodyEnd = BodyEnd::Unknown;
    std::string headBytes; ///< The head as received, until it is complete.
    HeadFraming framing;
    ChunkChecker chunks;
    const char *fault = "";

    static State &of(http_parser *parser) { return *static_cast<State *>(parser->data); }

    static BodyEnd bodyEndOf(const http_parser &parser, const State &state)
    {
        const auto status = parser.status_code;
        const bool isResponse = state.kind == Kind::Response;
        if (state.withoutBody
            || (isResponse
                && (status < firstFinalStatus || status == noContent || status == notModified)))
            return BodyEnd::NoBody;
        if (state.framing.isChunked)
            return BodyEnd::LastChunk;
        if (state.framing.length)
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
        constexpr int error = -1;
        constexpr int skipBody = 1;
        State &state = of(parser);
        state.framing = checkHead(state.headBytes, state.kind);
        const bool isChunked = (parser->flags & F_CHUNKED) != 0;
        const std::uint64_t length =
            state.framing.length.value_or(std::numeric_limits<std::uint64_t>::max());
        if (!state.framing.fault
            && (isChunked != state.framing.isChunked || length != parser->content_length))
            state.framing.fault = "framing";
        if (state.framing.fault)
            return error;
        state.headComplete = true;
        state.head.status = static_cast<int>(parser->status_code);
        if (state.kind == Kind::Request)
            state.head.method = http_method_str(static_cast<http_method>(parser->method));
        state.head.keepAlive = http_should_keep_alive(parser) != 0;
        state.bodyEnd = bodyEndOf(*parser, state);
        return state.bodyEnd == BodyEnd::NoBody && state.kind == Kind::Response ? skipBody : 0;
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
    state.bodyEnd = BodyEnd::Unknown;
    state.headBytes.clear();
    state.framing = HeadFraming();
    state.chunks = ChunkChecker();
    state.fault = "";
}

std::size_t MessageParser::feed(std::string_view bytes)
{
    const State &state = *m_state;
    if (state.complete || state.failed || bytes.empty())
        return 0;
    std::size_t consumed = 0;
    if (!state.headComplete) {
        consumed = feedHead(bytes);
        if (state.failed || state.complete || !state.headComplete || consumed == bytes.size())
            return consumed;
    }
    return consumed + feedBody(bytes.substr(consumed));
}

std::size_t MessageParser::feedHead(std::string_view bytes)
{
    State &state = *m_state;
    const std::size_t before = state.headBytes.size();
    const std::size_t searchFrom = before - std::min(before, headTerminator.size() - 1);
    state.headBytes.append(bytes);
    const std::size_t end = state.headBytes.find(headTerminator, searchFrom);
    const bool isWhole = end != std::string::npos;
    if (isWhole)
        state.headBytes.resize(end + headTerminator.size());
    const std::size_t taken = state.headBytes.size() - before;
    if (state.headBytes.size() > maxHeadBytes) {
        fail("head_bytes");
        return taken;
    }
    execute(bytes.substr(0, taken));
    if (isWhole && !state.failed && !state.headComplete)
        fail("head");
    if (isWhole)
        state.headBytes.clear();
    return taken;
}

std::size_t MessageParser::feedBody(std::string_view bytes)
{
    State &state = *m_state;
    std::size_t taken = bytes.size();
    if (state.framing.isChunked) {
        taken = state.chunks.feed(bytes);
        if (state.chunks.failed()) {
            fail("chunks");
            return taken;
        }
    } else if (state.framing.length) {
        taken = std::min<std::uint64_t>(taken, state.parser.content_length);
    }
    execute(bytes.substr(0, taken));
    if (state.framing.isChunked && state.complete != state.chunks.complete())
        fail("chunks");
    return taken;
}

void MessageParser::execute(std::string_view bytes)
{
    State &state = *m_state;
    http_parser_execute(&state.parser, &state.settings, bytes.data(), bytes.size());
    const http_errno error = HTTP_PARSER_ERRNO(&state.parser);
    if (state.framing.fault)
        fail(state.framing.fault);
    else if ((error != HPE_OK && error != HPE_PAUSED) || state.parser.upgrade)
        fail("syntax");
}

void MessageParser::fail(const char *fault)
{
    m_state->failed = true;
    m_state->fault = fault;
}

void MessageParser::close()
{
    State &state = *m_state;
    if (state.complete || state.failed)
        return;
    http_parser_execute(&state.parser, &state.settings, nullptr, 0);
    if (!state.complete)
        fail("incomplete");
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

const char *MessageParser::fault() const
{
    return m_state->fault;
}

bool MessageParser::idle() const
{
    return !m_state->begun;
}

std::optional<std::size_t> MessageParser::declaredLength() const
{
    return m_state->framing.length;
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
