#pragma once

#include "base/http_fixture.h"

#include <functional>
#include <set>
#include <string>

namespace poplarspool::adapter::test {

/// One attempt of a caller at a stream.
struct stream_attempt
{
    std::string id;
    std::string resumes; ///< Id of the attempt that began the stream; empty: none is named.
    int lastEvent = 0; ///< The last event that the caller has; 0: none.
    std::string timeLimitMs = "4000";
};

/// A caller of streams whose events have the version of their runner in their text.
class stream_caller
{
public:
    stream_caller(const endpoint &instance, const stream_attempt &attempt) : connection(instance)
    {
        std::string text = "POST /p/1 HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nX-Attempt-Id: "
                + attempt.id + "\r\nX-Deadline-Ms: " + attempt.timeLimitMs + "\r\n";
        if (!attempt.resumes.empty())
            text += "Resumes: " + attempt.resumes + "\r\n";
        if (attempt.lastEvent > 0)
            text += "Last-Event-Id: " + std::to_string(attempt.lastEvent) + "\r\n";
        connection.send(text + "\r\nx");
    }

    /// Reads until the event has arrived, or until the end if it doesn't.
    void readEvent(int event)
    {
        const std::string mark = "id: " + std::to_string(event) + "\n";
        readWhile([&] { return received.find("\n\n", received.find(mark)) == std::string::npos; });
    }

    void readHead()
    {
        readWhile([this] { return received.find("\r\n\r\n") == std::string::npos; });
    }

    /// Reads the whole stream, or until it breaks off or turns out to be refused.
    void readToEnd()
    {
        readHead();
        if (status() == 200)
            readWhile([this] { return !isWhole(); });
    }

    int status() const { return received.size() < 12 ? 0 : std::stoi(received.substr(9, 3)); }
    bool isWhole() const { return received.ends_with(lastChunk); }
    const std::string &text() const { return received; }

    /// @returns The versions of the runners that have written events.
    std::set<std::string> versions() const
    {
        static constexpr std::string_view mark = "data: ";
        std::set<std::string> found;
        for (auto at = received.find(mark); at != std::string::npos; at = received.find(mark, at)) {
            at += mark.size();
            found.insert(received.substr(at, received.find('\n', at) - at));
        }
        return found;
    }

private:
    /// Ends with the connection at the latest.
    void readWhile(const std::function<bool()> &isUnfinished)
    {
        while (isUnfinished()) {
            const std::string more = connection.readTo("\n");
            if (more.empty())
                return;
            received += more;
        }
    }

    static constexpr std::string_view lastChunk = "\r\n0\r\n\r\n";

    poplarspool::test::raw_caller connection;
    std::string received;
};

} // namespace poplarspool::adapter::test
