#include "bench/metrics_text.h"

#include "bench/command.h"

namespace poplarspool::bench {

namespace {

constexpr milliseconds fetchTimeout{5000};

} // namespace

metric_samples parseMetrics(std::string_view text)
{
    metric_samples samples;
    for (const std::string &line : splitNonEmpty(text, '\n')) {
        const std::size_t space = line.rfind(' ');
        if (line.front() == '#' || space == std::string::npos)
            continue;
        samples[line.substr(0, space)] = parseNumber(line.substr(space + 1));
    }
    return samples;
}

double sumBySuffix(const metric_samples &samples, std::string_view suffix)
{
    double sum = 0;
    for (const auto &[series, value] : samples) {
        const std::string_view name = std::string_view(series).substr(0, series.find('{'));
        if (name.ends_with(suffix))
            sum += value;
    }
    return sum;
}

result<metric_samples> fetchMetrics(const endpoint &from, const std::string &bearerKey,
                                    http_pool &pool)
{
    http_request request;
    request.path = "/metrics";
    if (!bearerKey.empty())
        request.headers.emplace_back("Authorization", "Bearer " + bearerKey);
    const result<http_reply> reply = pool.send(from, request, fetchTimeout);
    if (!succeeded(reply))
        return errorOf(reply);
    if (valueOf(reply).status != 200) {
        return notRun(error_code::Broken,
                      "/metrics returned status " + std::to_string(valueOf(reply).status));
    }
    return parseMetrics(valueOf(reply).body);
}

} // namespace poplarspool::bench
