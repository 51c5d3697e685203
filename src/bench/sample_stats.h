#pragma once

#include <chrono>
#include <cmath>
#include <cstdint>
#include <string>
#include <vector>

namespace poplarspool::bench {

using durations = std::vector<std::chrono::nanoseconds>;

/// @returns The smallest sample that at least that share of all does not exceed; 0 where there are
///          none.
std::chrono::nanoseconds quantileOf(durations samples, double share);

double inMilliseconds(std::chrono::nanoseconds time);

/// @returns With that many digits behind the point.
std::string fixedText(double value, int digits);

/// One figure of a summary line.
struct figure
{
    std::string name;
    double value = 0;
    int digits = 0; ///< Behind the point.

    bool operator==(const figure &) const = default;
};

using figures = std::vector<figure>;

/// @returns `name=value name=value …`
std::string lineOf(const figures &all);

/// @returns One JSON object.
std::string jsonOf(const figures &all);

/// A straight line through points.
struct line_fit
{
    double atZero = 0;
    double slope = 0;

    bool operator==(const line_fit &) const = default;
};

struct point
{
    double x = 0;
    double y = 0;
};

/// Least squares; a flat line where all x are the same.
line_fit fitLine(const std::vector<point> &points);

} // namespace poplarspool::bench
