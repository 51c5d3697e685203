#include "poplarspool/base/journal.h"

#include "base/log_rate_limiter.h"
#include "poplarspool/base/limits.h"

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cstdio>
#include <ctime>
#include <deque>
#include <fcntl.h>
#include <mutex>
#include <poll.h>
#include <unistd.h>

namespace poplarspool {

namespace {

// Checked before a line is formatted, so that a disabled level costs one atomic load per event. Off
// until setUpLog(), because log4cxx would otherwise search for a configuration file and print a
// warning if there is none.
std::atomic<int> logThreshold{log4cxx::Level::OFF_INT};

const log4cxx::LoggerPtr &eventLogger()
{
    static const log4cxx::LoggerPtr logger = log4cxx::Logger::getLogger("poplarspool");
    return logger;
}

std::atomic<int> logDescriptor{-1};

/// Writes without log4cxx, which takes locks. The rest of a line that can't be written within
/// config::finalLogLineTimeout is lost.
void writeDirectly(std::string_view line)
{
    const int fd = logDescriptor;
    if (fd < 0 || logThreshold.load(std::memory_order_relaxed) == log4cxx::Level::OFF_INT)
        return;
    pollfd writable{fd, POLLOUT, 0};
    while (!line.empty()
           && poll(&writable, 1, static_cast<int>(config::finalLogLineTimeout.count())) == 1) {
        const ssize_t written = write(fd, line.data(), line.size());
        if (written <= 0)
            return;
        line.remove_prefix(static_cast<std::size_t>(written));
    }
}

bool hasField(const event &entry, std::string_view key)
{
    return std::ranges::any_of(entry.fields, [key](const auto &field) { return field.key == key; });
}

/// Events with an error code report a failure.
log4cxx::LevelPtr levelOf(const event &entry)
{
    return hasField(entry, "code") ? log4cxx::Level::getWarn() : log4cxx::Level::getInfo();
}

void writeLine(const event &entry)
{
    static log_rate_limiter budget(config::maxLogLinesPerSecond);
    const int threshold = logThreshold.load(std::memory_order_relaxed);
    if (threshold > log4cxx::Level::WARN_INT)
        return;
    const log4cxx::LevelPtr level = levelOf(entry);
    if (level->toInt() < threshold)
        return;
    std::uint64_t droppedLines = 0;
    if (!budget.tryAcquire(entry.at.wallMs / 1000, droppedLines))
        return;
    if (droppedLines > 0) {
        const event droppedNotice{entry.at,
                                  entry.instance,
                                  "log_left_out",
                                  {{"lines", std::to_string(droppedLines)}}};
        eventLogger()->forcedLog(log4cxx::Level::getWarn(), lineOf(droppedNotice));
    }
    eventLogger()->forcedLog(level, lineOf(entry));
}

/// Makes the log descriptor non-blocking: if the reader of the log stalls, lines are lost, but
/// requests are not delayed.
void setNonBlocking(int fd)
{
    const int flags = fcntl(fd, F_GETFL);
    if (flags >= 0)
        fcntl(fd, F_SETFL, flags | O_NONBLOCK);
}

int thresholdOf(std::string_view level)
{
    if (level == "debug")
        return log4cxx::Level::DEBUG_INT;
    if (level == "warn")
        return log4cxx::Level::WARN_INT;
    if (level == "error")
        return log4cxx::Level::ERROR_INT;
    if (level == "off")
        return log4cxx::Level::OFF_INT;
    return log4cxx::Level::INFO_INT;
}

bool needsQuotes(std::string_view value)
{
    const auto isSpecial = [](unsigned char c) {
        return c <= ' ' || c == 0x7F || c == '"' || c == '=' || c == '\\';
    };
    return value.empty() || std::ranges::any_of(value, isSpecial);
}

void appendEscaped(std::string &line, unsigned char c)
{
    if (c == '"' || c == '\\') {
        line += '\\';
        line += static_cast<char>(c);
        return;
    }
    if (c >= ' ' && c != 0x7F) {
        line += static_cast<char>(c);
        return;
    }
    std::array<char, 8> code{};
    std::snprintf(code.data(), code.size(), "\\x%02x", c);
    line += code.data();
}

// Values may contain text of callers. With an unescaped line break, a caller could forge log lines.
void appendValue(std::string &line, std::string_view value)
{
    if (!needsQuotes(value)) {
        line += value;
        return;
    }
    line += '"';
    for (const char c : value)
        appendEscaped(line, static_cast<unsigned char>(c));
    line += '"';
}

void appendField(std::string &line, std::string_view key, std::string_view value)
{
    line += ' ';
    line += key;
    line += '=';
    appendValue(line, value);
}

/// @returns UTC in ISO 8601 format and the counter, such as "2026-01-31T08:15:00.250Z/3".
std::string textOf(hybrid_time at)
{
    const std::time_t seconds = at.wallMs / 1000;
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    std::array<char, 32> date{};
    std::strftime(date.data(), date.size(), "%Y-%m-%dT%H:%M:%S", &parts);
    std::array<char, 80> text{};
    std::snprintf(text.data(), text.size(), "%s.%03dZ/%u", date.data(),
                  static_cast<int>(at.wallMs % 1000), at.count);
    return text.data();
}

bool matchesField(const event &entry, std::string_view key, const std::string &wanted)
{
    if (wanted.empty())
        return true;
    return std::ranges::any_of(entry.fields, [&](const event_field &field) {
        return field.key == key && field.value == wanted;
    });
}

} // namespace

std::string lineOf(const event &entry)
{
    std::string line = "at=" + textOf(entry.at);
    appendField(line, "instance", entry.instance.text);
    appendField(line, "event", entry.kind);
    for (const event_field &field : entry.fields)
        appendField(line, field.key, field.value);
    return line;
}

bool matches(const event &entry, const event_filter &filter)
{
    if (!filter.kind.empty() && entry.kind != filter.kind)
        return false;
    return matchesField(entry, "request", filter.request)
            && matchesField(entry, "runner", filter.runner);
}

struct journal::state
{
    instance_id self;
    clock_source clock;
    std::size_t ringSize;
    mutable std::mutex mutex;
    hybrid_time last;
    std::deque<event> ring;

    /// @attention Call with the mutex locked.
    hybrid_time next()
    {
        const std::int64_t now = clock.wall().time_since_epoch().count();
        if (now > last.wallMs)
            last = {now, 0};
        else if (last.count < UINT32_MAX)
            ++last.count;
        else
            last = {last.wallMs + 1, 0};
        return last;
    }

    /// @attention Call with the mutex locked.
    void append(const event &entry)
    {
        if (ringSize == 0)
            return;
        if (ring.size() >= ringSize)
            ring.pop_front();
        ring.push_back(entry);
    }
};

journal::journal(instance_id self, clock_source clock, std::size_t ringSize)
    : inner(std::make_unique<state>())
{
    inner->self = std::move(self);
    inner->clock = std::move(clock);
    inner->ringSize = ringSize;
}

journal::~journal() = default;

hybrid_time journal::emit(std::string_view kind, std::vector<event_field> fields)
{
    event entry{{}, inner->self, std::string(kind), std::move(fields)};
    {
        const std::lock_guard lock(inner->mutex);
        entry.at = inner->next();
        inner->append(entry);
    }
    writeLine(entry);
    return entry.at;
}

void journal::emitLast(std::string_view kind, std::vector<event_field> fields) const
{
    const hybrid_time at{systemClock().wall().time_since_epoch().count(), 0};
    writeDirectly(lineOf({at, inner->self, std::string(kind), std::move(fields)}) + '\n');
}

void journal::observe(hybrid_time remote)
{
    const std::lock_guard lock(inner->mutex);
    // A peer whose wall clock is years ahead would permanently advance the clocks of all instances.
    // Timestamps beyond config::maxClockLead are ignored, so that only this peer's own events are
    // ordered wrongly.
    const std::int64_t now = inner->clock.wall().time_since_epoch().count();
    if (remote.wallMs > now + config::maxClockLead.count())
        return;
    inner->last = std::max(inner->last, remote);
}

hybrid_time journal::stamp()
{
    const std::lock_guard lock(inner->mutex);
    return inner->next();
}

std::vector<event> journal::events(const event_filter &filter) const
{
    const std::lock_guard lock(inner->mutex);
    std::vector<event> found;
    for (const event &entry : inner->ring) {
        if (matches(entry, filter))
            found.push_back(entry);
    }
    return found;
}

void setUpLog(std::string_view level, log_stream stream)
{
    const int threshold = thresholdOf(level);
    const int fd = stream == log_stream::Output ? STDOUT_FILENO : STDERR_FILENO;
    setNonBlocking(fd);
    logDescriptor = fd;
    const auto layout = std::make_shared<log4cxx::PatternLayout>("%m%n");
    const auto appender = std::make_shared<log4cxx::ConsoleAppender>(
            layout,
            stream == log_stream::Output ? log4cxx::ConsoleAppender::getSystemOut()
                                         : log4cxx::ConsoleAppender::getSystemErr());
    log4cxx::BasicConfigurator::resetConfiguration();
    log4cxx::BasicConfigurator::configure(appender);
    log4cxx::Logger::getRootLogger()->setLevel(log4cxx::Level::toLevel(threshold));
    logThreshold.store(threshold, std::memory_order_relaxed);
}

} // namespace poplarspool
