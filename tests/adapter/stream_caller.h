#pragma once

#include "base/http_fixture.h"

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
        while (received.find("\n\n", received.find(mark)) == std::string::npos) {
            const std::string more = connection.readTo("\n\n");
            if (more.empty())
                return;
            received += more;
        }
    }

    /// Reads the whole answer, or until it breaks off.
    void readToEnd() { received += connection.readTo(lastChunk); }

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
    static constexpr std::string_view lastChunk = "\r\n0\r\n\r\n";

    poplarspool::test::raw_caller connection;
    std::string received;
};

} // namespace poplarspool::adapter::test
