#include "poplarspool/base/metrics.h"

#include <boost/histogram.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <functional>
#include <map>
#include <mutex>

namespace poplarspool {

namespace {

namespace bh = boost::histogram;

constexpr double lowestSeconds = 1e-5;
constexpr double highestSeconds = 1e3;
constexpr int decades = 8;
constexpr int binsPerDecade = 20;
/// Number of histogram bins per bucket of the text format, which has 5 buckets per decade.
constexpr int binsPerBucket = 4;

using log_axis = bh::axis::regular<double, bh::axis::transform::log>;
// Atomic counters on an axis of fixed size, so that threads record without a lock.
using atomic_storage = bh::dense_storage<bh::accumulators::thread_safe<std::uint64_t>>;
using time_histogram = bh::histogram<std::tuple<log_axis>, atomic_storage>;

std::string textOf(double value)
{
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.6g", value);
    return text.data();
}

/// @param labels Labels without braces; may be empty.
/// @param extraLabel Another label, such as `le="0.1"`; may be empty.
std::string seriesName(std::string_view family, std::string_view suffix, std::string_view labels,
                       std::string_view extraLabel = {})
{
    std::string name(family);
    name += suffix;
    if (labels.empty() && extraLabel.empty())
        return name;
    name += '{';
    name += labels;
    if (!labels.empty() && !extraLabel.empty())
        name += ',';
    name += extraLabel;
    name += '}';
    return name;
}

struct metric_name
{
    std::string_view family;
    std::string_view labels; ///< Without braces.
};

metric_name split(std::string_view name)
{
    const std::size_t brace = name.find('{');
    if (brace == std::string_view::npos)
        return {name, {}};
    std::string_view labels = name.substr(brace + 1);
    if (labels.ends_with('}'))
        labels.remove_suffix(1);
    return {name.substr(0, brace), labels};
}

/// Metric families with their series. The address of a metric never changes.
template <class Metric>
using families = std::map<std::string, std::map<std::string, std::unique_ptr<Metric>, std::less<>>,
                          std::less<>>;

template <class Metric>
Metric &findOrCreate(families<Metric> &all, std::string_view name)
{
    const metric_name parsed = split(name);
    std::unique_ptr<Metric> &slot = all[std::string(parsed.family)][std::string(parsed.labels)];
    if (!slot)
        slot = std::make_unique<Metric>();
    return *slot;
}

void appendType(std::string &text, std::string_view family, std::string_view type)
{
    text += "# TYPE ";
    text += family;
    text += ' ';
    text += type;
    text += '\n';
}

void appendSample(std::string &text, const std::string &series, const std::string &value)
{
    text += series;
    text += ' ';
    text += value;
    text += '\n';
}

template <class Metric>
void appendNumbers(std::string &text, const families<Metric> &all, std::string_view type)
{
    for (const auto &[family, series] : all) {
        appendType(text, family, type);
        for (const auto &[labels, metric] : series)
            appendSample(text, seriesName(family, "", labels), std::to_string(metric->get()));
    }
}

} // namespace

struct latency_histogram::state
{
    time_histogram bins{
            std::make_tuple(log_axis(decades * binsPerDecade, lowestSeconds, highestSeconds))};
    std::atomic<std::uint64_t> sumNs{0};

    std::uint64_t total() const
    {
        std::uint64_t sum = 0;
        for (int bin = -1; bin <= bins.axis().size(); ++bin)
            sum += bins.at(bin);
        return sum;
    }

    void appendText(std::string &text, std::string_view family, std::string_view labels) const
    {
        // Each bin is read once, in ascending order, so that the cumulative counts never decrease
        // even if other threads record meanwhile.
        std::uint64_t sum = bins.at(-1);
        for (int bin = 0; bin < bins.axis().size(); ++bin) {
            sum += bins.at(bin);
            if ((bin + 1) % binsPerBucket != 0)
                continue;
            const std::string edge = "le=\"" + textOf(bins.axis().value(bin + 1)) + "\"";
            appendSample(text, seriesName(family, "_bucket", labels, edge), std::to_string(sum));
        }
        sum += bins.at(bins.axis().size());
        appendSample(text, seriesName(family, "_bucket", labels, "le=\"+Inf\""),
                     std::to_string(sum));
        const double seconds = static_cast<double>(sumNs.load(std::memory_order_relaxed)) * 1e-9;
        appendSample(text, seriesName(family, "_sum", labels), textOf(seconds));
        appendSample(text, seriesName(family, "_count", labels), std::to_string(sum));
    }
};

latency_histogram::latency_histogram() : inner(std::make_unique<state>()) { }

latency_histogram::~latency_histogram() = default;

void latency_histogram::record(std::chrono::nanoseconds elapsed)
{
    const std::int64_t nanoseconds = std::max<std::int64_t>(elapsed.count(), 0);
    inner->bins(static_cast<double>(nanoseconds) * 1e-9);
    inner->sumNs.fetch_add(static_cast<std::uint64_t>(nanoseconds), std::memory_order_relaxed);
}

std::uint64_t latency_histogram::count() const
{
    return inner->total();
}

std::chrono::nanoseconds latency_histogram::quantile(double share) const
{
    const std::uint64_t total = inner->total();
    if (total == 0)
        return std::chrono::nanoseconds(0);
    const double rank = std::max(1.0, std::ceil(share * static_cast<double>(total)));
    const log_axis &axis = inner->bins.axis();
    std::uint64_t sum = 0;
    int bin = -1;
    for (; bin < axis.size(); ++bin) {
        sum += inner->bins.at(bin);
        if (static_cast<double>(sum) >= rank)
            break;
    }
    const double edge = axis.value(std::min(bin + 1, axis.size()));
    return std::chrono::nanoseconds(std::llround(edge * 1e9));
}

struct metrics_registry::state
{
    mutable std::mutex mutex;
    families<counter> counters;
    families<gauge> gauges;
    families<latency_histogram> latencies;
};

metrics_registry::metrics_registry() : inner(std::make_unique<state>()) { }

metrics_registry::~metrics_registry() = default;

counter &metrics_registry::counterOf(std::string_view name)
{
    const std::lock_guard lock(inner->mutex);
    return findOrCreate(inner->counters, name);
}

gauge &metrics_registry::gaugeOf(std::string_view name)
{
    const std::lock_guard lock(inner->mutex);
    return findOrCreate(inner->gauges, name);
}

latency_histogram &metrics_registry::latencyOf(std::string_view name)
{
    const std::lock_guard lock(inner->mutex);
    return findOrCreate(inner->latencies, name);
}

std::string metrics_registry::text() const
{
    const std::lock_guard lock(inner->mutex);
    std::string text;
    appendNumbers(text, inner->counters, "counter");
    appendNumbers(text, inner->gauges, "gauge");
    for (const auto &[family, series] : inner->latencies) {
        appendType(text, family, "histogram");
        for (const auto &[labels, metric] : series)
            metric->inner->appendText(text, family, labels);
    }
    return text;
}

} // namespace poplarspool
