#include "soak/load.h"

#include "base/connect.h"
#include "soak/connection.h"

#include <cstdlib>
#include <map>
#include <optional>
#include <random>

namespace poplarspool::soak {

namespace {

constexpr std::chrono::seconds connectTime{1};
/// Beyond the routes' time limits and the time for which a gateway is frozen.
constexpr std::chrono::seconds answerTime{15};

struct planned_request
{
    std::string route;
    std::size_t gateway = 0;
    answer_spec spec;
    std::chrono::milliseconds pause{0}; ///< Before it is sent.
};

class request_plan
{
public:
    request_plan(const load_options &options, std::uint64_t caller)
        : options(options), caller(caller), random(options.seed * 1000 + caller)
    { }

    planned_request next()
    {
        planned_request request;
        const std::uint64_t type = below(8);
        request.route = type < 3 ? "resumable"
                : type < 5       ? "stream"
                : type < 7       ? "repeatable"
                                 : "once";
        request.gateway = chance(options.firstGatewayShare) ? 0 : below(options.gateways.size());
        request.pause = std::chrono::milliseconds(below(200));
        answer_spec &spec = request.spec;
        spec.key = "c" + std::to_string(caller) + "n" + std::to_string(++requests);
        spec.isStream = type < 5;
        const bool endsAtOnce = chance(0.25);
        spec.pieces = static_cast<std::uint32_t>(endsAtOnce ? 1 + below(3) : 6 + below(12));
        spec.gapMs = static_cast<std::uint32_t>(endsAtOnce ? 0 : 40 + below(80));
        const framing framed = chance(0.5) ? framing::Chunks : framing::Length;
        spec.framedBy = chance(options.unframedShare) ? framing::Close : framed;
        return request;
    }

private:
    std::uint64_t below(std::uint64_t bound) { return random() % bound; }
    bool chance(double share) { return static_cast<double>(below(1'000'000)) < share * 1'000'000; }

    const load_options &options;
    const std::uint64_t caller;
    std::uint64_t requests = 0;
    std::mt19937_64 random;
};

struct received_answer
{
    int status = 0;
    std::string body;
    bool isComplete = false; ///< In its framing.
    bool isReusable = false;
    steady_time lastBytes; ///< Of the body.
};

class answer_reader
{
public:
    answer_reader(connection &from, steady_time deadline) : from(from), deadline(deadline) { }

    received_answer read()
    {
        received_answer got;
        const auto head = from.receiveHead(deadline);
        if (!head)
            return got;
        got.status = head->status();
        const std::string length(headerOf(head->headers, "Content-Length"));
        if (headerOf(head->headers, "Transfer-Encoding") == "chunked")
            readChunks(got);
        else if (!length.empty())
            readBytes(got, std::strtoul(length.c_str(), nullptr, 10));
        else
            readToEnd(got);
        got.isReusable = got.isComplete && !from.isEnded()
                && headerOf(head->headers, "Connection") != "close";
        return got;
    }

private:
    void readChunks(received_answer &got)
    {
        while (true) {
            std::size_t line = 0;
            while ((line = from.buffered.find("\r\n")) == std::string::npos) {
                if (!from.receiveMore(deadline))
                    return;
            }
            const std::size_t bytes = std::strtoul(from.buffered.c_str(), nullptr, 16);
            while (from.buffered.size() < line + 2 + bytes + 2) {
                if (!from.receiveMore(deadline))
                    return;
            }
            got.body += from.take(line + 2 + bytes + 2).substr(line + 2, bytes);
            if (bytes == 0) {
                got.isComplete = true;
                return;
            }
            got.lastBytes = std::chrono::steady_clock::now();
        }
    }

    void readBytes(received_answer &got, std::size_t bytes)
    {
        while (from.buffered.size() < bytes && from.receiveMore(deadline))
            continue;
        got.isComplete = from.buffered.size() >= bytes;
        got.body = from.take(bytes);
        got.lastBytes = std::chrono::steady_clock::now();
    }

    void readToEnd(received_answer &got)
    {
        while (from.receiveMore(deadline))
            continue;
        got.isComplete = from.isEnded();
        got.body = from.take(from.buffered.size());
    }

    connection &from;
    const steady_time deadline;
};

verdict verdictOf(const received_answer &got, const std::string &expected)
{
    if (got.status != 200)
        return got.status == 0 ? verdict::Cut : verdict::Refused;
    if (got.isComplete && got.body == expected)
        return verdict::Whole;
    if (!expected.starts_with(got.body))
        return verdict::Mixed;
    return got.isComplete ? verdict::FalselyWhole : verdict::Cut;
}

std::string textOf(const planned_request &request)
{
    const std::string body = bodyOf(request.spec);
    return "POST /" + request.route + "/1 HTTP/1.1\r\nHost: soak.example\r\nX-Attempt-Id: "
            + request.spec.key + "\r\nX-Deadline-Ms: 6000\r\nContent-Length: "
            + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// The connections that one caller keeps, one for each gateway.
class kept_connections
{
public:
    explicit kept_connections(const std::vector<endpoint> &gateways) : gateways(gateways) { }

    /// @returns None if the gateway can't be reached.
    std::optional<received_answer> send(const planned_request &request)
    {
        const auto deadline = std::chrono::steady_clock::now() + answerTime;
        std::optional<connection> used = acquire(request.gateway);
        if (!used)
            return std::nullopt;
        received_answer got;
        if (used->send(textOf(request), deadline))
            got = answer_reader(*used, deadline).read();
        if (got.isReusable)
            kept.insert_or_assign(request.gateway, std::move(*used));
        return got;
    }

private:
    std::optional<connection> acquire(std::size_t gateway)
    {
        if (const auto found = kept.find(gateway); found != kept.end()) {
            connection idle = std::move(found->second);
            kept.erase(found);
            if (isIdleAndOpen(idle.descriptorNumber()))
                return idle;
        }
        auto made = connectTo(gateways[gateway], socket_clock::now() + connectTime, -1);
        if (!succeeded(made))
            return std::nullopt;
        return connection(std::move(valueOf(made)));
    }

    const std::vector<endpoint> &gateways;
    std::map<std::size_t, connection> kept;
};

} // namespace

std::string_view nameOf(verdict one)
{
    switch (one) {
    case verdict::Whole:
        return "whole";
    case verdict::Cut:
        return "cut";
    case verdict::Refused:
        return "refused";
    case verdict::FalselyWhole:
        return "falsely_whole";
    case verdict::Mixed:
        break;
    }
    return "mixed";
}

load::load(load_options given) : options(std::move(given))
{
    for (std::size_t i = 0; i < options.callers; ++i)
        callers.emplace_back([this, i] { runCaller(i); });
}

std::vector<answer_record> load::stop()
{
    isStopping = true;
    for (std::thread &one : callers)
        one.join();
    callers.clear();
    return std::move(answers);
}

void load::runCaller(std::uint64_t index)
{
    request_plan plan(options, index);
    kept_connections connections(options.gateways);
    while (!isStopping) {
        const planned_request request = plan.next();
        std::this_thread::sleep_for(request.pause);
        answer_record record;
        record.begin = std::chrono::steady_clock::now();
        const auto got = connections.send(request);
        record.done = std::chrono::steady_clock::now();
        const answer_spec &spec = request.spec;
        record.key = spec.key;
        record.route = request.route;
        record.framedBy = spec.framedBy;
        record.endsAtOnce = spec.gapMs == 0;
        record.gateway = poplarspool::textOf(options.gateways[request.gateway]);
        if (got) {
            record.status = got->status;
            record.end = verdictOf(*got, soak::textOf(spec));
            const auto work = std::chrono::milliseconds(spec.pieces * spec.gapMs);
            record.delay = spec.isStream ? record.done - got->lastBytes
                                         : record.done - record.begin - work;
        }
        const std::lock_guard lock(mutex);
        answers.push_back(std::move(record));
    }
}

} // namespace poplarspool::soak
