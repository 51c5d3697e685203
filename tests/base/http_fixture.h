#pragma once

#include "poplarspool/base/http.h"

#include "base/connect.h"

#include <array>
#include <cppunit/extensions/HelperMacros.h>
#include <future>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <thread>

/// HTTP peers for tests, which send exactly the given bytes.
namespace poplarspool::test {

using namespace std::chrono_literals;

/// Time limit of every wait for an expected event. The test fails when it expires.
constexpr milliseconds testTimeout = 20s;

inline socket_deadline testDeadline()
{
    return socket_clock::now() + testTimeout;
}

template <class T>
T await(std::future<T> &future)
{
    if (future.wait_for(testTimeout) != std::future_status::ready)
        CPPUNIT_FAIL("no result within the test timeout");
    return future.get();
}

/// Reads until the text has been received or the connection ends.
/// @param isReset Set to whether the connection ended with a reset.
inline std::string readUntil(int fd, std::string_view text, bool *isReset = nullptr)
{
    std::string all;
    std::array<char, 4096> bytes{};
    while (text.empty() || all.find(text) == std::string::npos) {
        const receive_result some = receiveSome(fd, bytes.data(), bytes.size(), testDeadline(), -1);
        CPPUNIT_ASSERT(some.fault != socket_fault::TimedOut);
        if (isReset != nullptr)
            *isReset = some.fault == socket_fault::Closed && !some.isEnd;
        if (some.fault != socket_fault::None)
            break;
        all.append(bytes.data(), some.bytes);
    }
    return all;
}

/// Client that sends exactly the given bytes on one connection.
class raw_caller
{
public:
    explicit raw_caller(const endpoint &to)
    {
        auto outcome = connectTo(to, testDeadline(), -1);
        CPPUNIT_ASSERT(succeeded(outcome));
        connection = std::move(valueOf(outcome));
    }

    void send(std::string_view bytes) { sendAll(connection.get(), bytes, testDeadline(), -1); }

    void endSending() { shutdown(connection.get(), SHUT_WR); }
    std::string readToEnd() { return readUntil(connection.get(), {}, &isReset); }
    std::string readTo(std::string_view text) { return readUntil(connection.get(), text); }
    int fd() const { return connection.get(); }
    /// @returns Whether readToEnd() ended with a connection reset.
    bool wasReset() const { return isReset; }

private:
    bool isReset = false;
    descriptor connection;
};

/// @param bound Set to the address.
/// @returns A socket that listens on a free port of the loopback interface.
inline descriptor listenOnLoopback(endpoint &bound)
{
    constexpr int backlog = 16;
    descriptor listener(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    auto *raw = reinterpret_cast<sockaddr *>(&address);
    socklen_t size = sizeof address;
    CPPUNIT_ASSERT(bind(listener.get(), raw, size) == 0);
    CPPUNIT_ASSERT(listen(listener.get(), backlog) == 0);
    getsockname(listener.get(), raw, &size);
    bound = {"127.0.0.1", ntohs(address.sin_port)};
    return listener;
}

/// Server that replies to one request with the given bytes and closes the connection.
class scripted_server
{
public:
    explicit scripted_server(std::string reply) : listener(listenOnLoopback(at))
    {
        thread = std::thread([this, reply = std::move(reply)] { answer(reply); });
    }

    ~scripted_server()
    {
        shutdown(listener.get(), SHUT_RDWR);
        thread.join();
    }

    const endpoint &address() const { return at; }

private:
    void answer(const std::string &reply)
    {
        const descriptor connection(accept(listener.get(), nullptr, nullptr));
        if (!connection.isOpen())
            return;
        readUntil(connection.get(), "\r\n\r\n");
        sendAll(connection.get(), reply, testDeadline(), -1);
    }

    endpoint at;
    descriptor listener;
    std::thread thread;
};

} // namespace poplarspool::test
