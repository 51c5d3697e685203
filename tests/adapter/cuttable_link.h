#pragma once

#include "base/connect.h"

#include <array>
#include <atomic>
#include <cppunit/extensions/HelperMacros.h>
#include <list>
#include <mutex>
#include <netinet/in.h>
#include <sys/socket.h>
#include <thread>
#include <vector>

namespace poplarspool::adapter::test {

/// How a link behaves while it is cut.
enum class cut_kind {
    Reset, ///< Connections are reset, and new ones are refused.
    Refused, ///< Connections stay, and new ones are refused.
    Silent, ///< Nothing is carried, and new connections get no answer.
};

/// A network link to one server: carries the bytes of connections to its own address until it is
/// cut.
class cuttable_link
{
public:
    explicit cuttable_link(endpoint to) : target(std::move(to)) { listen(0); }

    ~cuttable_link()
    {
        stopAccepting();
        resetAll();
        for (std::thread &each : carriers)
            each.join();
    }

    const endpoint &address() const { return boundAddress; }

    void cut(cut_kind kind)
    {
        isSilent = kind == cut_kind::Silent;
        stopAccepting();
        if (kind == cut_kind::Reset)
            resetAll();
        if (kind == cut_kind::Silent)
            fillBacklog();
    }

    void heal()
    {
        isSilent = false;
        listener.reset();
        waiting.clear();
        resetAll();
        listen(boundAddress.port);
    }

private:
    using connection_pair = std::array<descriptor, 2>;

    descriptor bound(std::uint16_t port, int backlog)
    {
        descriptor made(::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
        const int yes = 1;
        setsockopt(made.get(), SOL_SOCKET, SO_REUSEADDR, &yes, sizeof yes);
        sockaddr_in at{};
        at.sin_family = AF_INET;
        at.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        at.sin_port = htons(port);
        auto *raw = reinterpret_cast<sockaddr *>(&at);
        socklen_t size = sizeof at;
        CPPUNIT_ASSERT(bind(made.get(), raw, size) == 0);
        CPPUNIT_ASSERT(::listen(made.get(), backlog) == 0);
        getsockname(made.get(), raw, &size);
        boundAddress = {"127.0.0.1", ntohs(at.sin_port)};
        return made;
    }

    void listen(std::uint16_t port)
    {
        listener = bound(port, 64);
        acceptor = std::thread([this, fd = listener.get()] { acceptLoop(fd); });
    }

    void stopAccepting()
    {
        if (!acceptor.joinable())
            return;
        shutdown(listener.get(), SHUT_RDWR);
        acceptor.join();
        listener.reset();
    }

    /// With a full backlog the kernel drops the packets of further connections.
    void fillBacklog()
    {
        listener = bound(boundAddress.port, 0);
        const auto soon = [] { return socket_clock::now() + std::chrono::milliseconds(100); };
        for (auto made = connectTo(boundAddress, soon(), -1); succeeded(made);
             made = connectTo(boundAddress, soon(), -1))
            waiting.push_back(std::move(valueOf(made)));
    }

    void acceptLoop(int fd)
    {
        while (true) {
            descriptor from(accept4(fd, nullptr, nullptr, SOCK_CLOEXEC));
            if (!from.isOpen())
                return;
            auto to = connectTo(target, socket_clock::now() + std::chrono::seconds(1), -1);
            if (!succeeded(to))
                continue;
            const std::lock_guard lock(guard);
            connection_pair &pair =
                    pairs.emplace_back(connection_pair{std::move(from), std::move(valueOf(to))});
            carriers.emplace_back([this, &pair] { carry(pair); });
        }
    }

    void carry(connection_pair &pair)
    {
        std::array<char, 4096> bytes; // NOLINT: filled before it is read
        bool isOpen = true;
        while (isOpen) {
            std::array<pollfd, 2> watched{pollfd{pair[0].get(), POLLIN, 0},
                                          pollfd{pair[1].get(), POLLIN, 0}};
            poll(watched.data(), watched.size(), 20);
            for (std::size_t i = 0; i < watched.size() && isOpen && !isSilent; ++i) {
                if (watched[i].revents == 0)
                    continue;
                const ssize_t count = recv(pair[i].get(), bytes.data(), bytes.size(), 0);
                isOpen = count > 0
                        && send(pair[1 - i].get(), bytes.data(), static_cast<std::size_t>(count),
                                MSG_NOSIGNAL)
                                == count;
            }
            if (isSilent)
                std::this_thread::sleep_for(std::chrono::milliseconds(5));
            isOpen = isOpen && !isResetting;
        }
        const std::lock_guard lock(guard);
        for (descriptor &each : pair)
            each.reset();
    }

    void resetAll()
    {
        isResetting = true;
        {
            const std::lock_guard lock(guard);
            for (connection_pair &pair : pairs) {
                if (pair[0].isOpen())
                    abortOnClose(pair[0].get());
            }
        }
        for (std::thread &each : carriers)
            each.join();
        carriers.clear();
        pairs.clear();
        isResetting = false;
    }

    const endpoint target;
    endpoint boundAddress;
    descriptor listener;
    std::vector<descriptor> waiting; ///< Fill the backlog.
    std::thread acceptor;
    std::mutex guard;
    std::list<connection_pair> pairs;
    std::vector<std::thread> carriers;
    std::atomic<bool> isSilent{false};
    std::atomic<bool> isResetting{false};
};

} // namespace poplarspool::adapter::test
