#include "bench/sample_stats.h"

#include <algorithm>
#include <array>
#include <cstdio>

#include <nlohmann/json.hpp>

namespace poplarspool::bench {

std::chrono::nanoseconds quantileOf(durations samples, double share)
{
    if (samples.empty())
        return std::chrono::nanoseconds(0);
    const auto rank = static_cast<std::size_t>(std::ceil(share * double(samples.size())));
    const std::size_t index = std::clamp<std::size_t>(rank, 1, samples.size()) - 1;
    const auto wanted = samples.begin() + std::ptrdiff_t(index);
    std::nth_element(samples.begin(), wanted, samples.end());
    return *wanted;
}

double inMilliseconds(std::chrono::nanoseconds time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

std::string formatFixed(double value, int digits)
{
    std::array<char, 64> text{};
    std::snprintf(text.data(), text.size(), "%.*f", digits, value);
    return text.data();
}

std::string lineOf(const figures &all)
{
    std::string line;
    for (const figure &one : all) {
        if (!line.empty())
            line += ' ';
        line += one.name + '=' + formatFixed(one.value, one.digits);
    }
    return line;
}

std::string jsonOf(const figures &all)
{
    nlohmann::ordered_json object = nlohmann::ordered_json::object();
    for (const figure &one : all)
        object[one.name] = nlohmann::ordered_json::parse(formatFixed(one.value, one.digits));
    return object.dump();
}

line_fit fitLine(const std::vector<point> &points)
{
    if (points.empty())
        return {};
    double sumX = 0;
    double sumY = 0;
    for (const point &one : points) {
        sumX += one.x;
        sumY += one.y;
    }
    const double meanX = sumX / double(points.size());
    const double meanY = sumY / double(points.size());
    double varianceSum = 0;
    double covarianceSum = 0;
    for (const point &one : points) {
        varianceSum += (one.x - meanX) * (one.x - meanX);
        covarianceSum += (one.x - meanX) * (one.y - meanY);
    }
    const double slope = varianceSum > 0 ? covarianceSum / varianceSum : 0;
    return {meanY - slope * meanX, slope};
}

} // namespace poplarspool::bench
