// Tests of further ways in which a request that was accepted could end without an answer.

#include "network/caller_connections.h"
#include "network/event_loop.h"
#include "request_fixture.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <thread>

namespace bramleypitch {

namespace {

constexpr const char *request = "GET /x HTTP/1.1\r\nHost: a\r\n\r\n";
constexpr std::size_t largeBody = 8 * 1024 * 1024; // More than the buffers of the kernel.

/// A listening server of callers and one caller, which reads only what a test takes.
class CallerTest : public testing::Test
{
protected:
    CallerTest()
        : m_callers(m_loop,
                    CallerHooks {[this](ExchangeId id, const MessageHead &, const std::string &) {
                                     m_requests.push_back(id);
                                 },
                                 [](ExchangeId) {}, [](ExchangeId) {}, [](int, const char *) {}})
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t length = sizeof(address);
        const int probe = socket(AF_INET, SOCK_STREAM, 0);
        EXPECT_EQ(bind(probe, reinterpret_cast<sockaddr *>(&address), length), 0);
        getsockname(probe, reinterpret_cast<sockaddr *>(&address), &length);
        ::close(probe);
        m_callers.listen(Address("127.0.0.1:" + std::to_string(ntohs(address.sin_port))));
        m_caller = socket(AF_INET, SOCK_STREAM, 0);
        EXPECT_EQ(connect(m_caller, reinterpret_cast<sockaddr *>(&address), length), 0);
    }
    ~CallerTest() override { ::close(m_caller); }

    void send(const std::string &bytes)
    {
        EXPECT_EQ(::send(m_caller, bytes.data(), bytes.size(), MSG_NOSIGNAL),
                  static_cast<ssize_t>(bytes.size()));
    }

    /// Handles events for a while.
    void run(int rounds = 50)
    {
        for (int i = 0; i < rounds; ++i) {
            event_base_loop(m_loop.base(), EVLOOP_NONBLOCK);
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
        }
    }

    /// All that the caller receives until the connection ends or nothing more arrives.
    std::string receive()
    {
        std::string bytes;
        std::array<char, 65'536> part {};
        for (int idle = 0; idle < 50;) {
            event_base_loop(m_loop.base(), EVLOOP_NONBLOCK);
            const ssize_t size = recv(m_caller, part.data(), part.size(), MSG_DONTWAIT);
            if (size == 0)
                break;
            if (size > 0) {
                bytes.append(part.data(), static_cast<std::size_t>(size));
                idle = 0;
                continue;
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
            ++idle;
        }
        return bytes;
    }

    EventLoop m_loop;
    CallerConnections m_callers;
    std::vector<ExchangeId> m_requests;
    int m_caller = -1;
};

std::size_t count(const std::string &text, const std::string &part)
{
    std::size_t found = 0;
    for (std::size_t at = text.find(part); at != std::string::npos; at = text.find(part, at + 1))
        ++found;
    return found;
}

TEST_F(CallerTest, RequestBehindOneThatIsAnsweredWhileStoppingIsAnswered)
{
    // Guards against LOST: the response announced that the connection closes, and the request that
    // had been received behind it was dropped.
    send(std::string(request) + request);
    run();
    ASSERT_EQ(m_requests.size(), 1U);
    m_callers.setClosing();
    m_callers.reply(m_requests[0], 200, {}, "first");
    run();
    ASSERT_EQ(m_requests.size(), 2U);
    m_callers.reply(m_requests[1], 200, {}, "second");
    const std::string responses = receive();
    EXPECT_EQ(count(responses, "HTTP/1.1 200"), 2U);
    EXPECT_EQ(count(responses, "Connection: close"), 1U);
    EXPECT_GT(responses.find("Connection: close"), responses.find("first"));
    EXPECT_EQ(m_callers.open(), 0U);
}

TEST_F(CallerTest, RequestBehindAStreamThatStartsWhileStoppingIsAnswered)
{
    send(std::string(request) + request);
    run();
    ASSERT_EQ(m_requests.size(), 1U);
    m_callers.setClosing();
    m_callers.startChunkedResponse(m_requests[0], 200, {});
    m_callers.sendChunk(m_requests[0], "first");
    m_callers.endChunkedResponse(m_requests[0]);
    run();
    ASSERT_EQ(m_requests.size(), 2U);
    m_callers.reply(m_requests[1], 200, {}, "second");
    const std::string responses = receive();
    EXPECT_EQ(count(responses, "HTTP/1.1 200"), 2U);
    EXPECT_GT(responses.find("Connection: close"), responses.find("first"));
    EXPECT_EQ(m_callers.open(), 0U);
}

TEST_F(CallerTest, LineEndsBehindARequestAreNoNextRequest)
{
    send(std::string(request) + "\r\n");
    run();
    ASSERT_EQ(m_requests.size(), 1U);
    m_callers.setClosing();
    m_callers.reply(m_requests[0], 200, {}, "first");
    EXPECT_EQ(count(receive(), "Connection: close"), 1U);
    EXPECT_EQ(m_callers.open(), 0U);
}

TEST_F(CallerTest, IdleTimeoutDoesNotCutOffAResponseThatIsBeingRead)
{
    // Guards against LOST: the connection counted as idle from the end of the response, although
    // its caller had not received all of it.
    send(request);
    run();
    ASSERT_EQ(m_requests.size(), 1U);
    m_callers.reply(m_requests[0], 200, {}, std::string(largeBody, 'x'));
    run();
    const Duration longTime(60'000);
    m_callers.sweep(m_loop.now() + longTime);
    run();
    EXPECT_GT(receive().size(), largeBody);
    EXPECT_EQ(m_callers.open(), 1U);
    m_callers.sweep(m_loop.now() + longTime);
    EXPECT_EQ(m_callers.open(), 0U);
}

TEST_F(CallerTest, StopDoesNotCutOffAResponseThatIsBeingRead)
{
    send(request);
    run();
    ASSERT_EQ(m_requests.size(), 1U);
    m_callers.reply(m_requests[0], 200, {}, std::string(largeBody, 'x'));
    m_callers.setClosing();
    run();
    m_callers.stopListening();
    run();
    EXPECT_EQ(m_callers.open(), 1U);
    EXPECT_GT(receive().size(), largeBody);
    m_callers.stopListening();
    EXPECT_EQ(m_callers.open(), 0U);
}

} // namespace

} // namespace bramleypitch
