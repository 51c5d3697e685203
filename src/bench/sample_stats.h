#pragma once

#include <chrono>
#include <cmath>
#include <cstdint>
#include <string>
#include <vector>

namespace poplarspool::bench {

using durations = std::vector<std::chrono::nanoseconds>;

/// Nearest-rank quantile.
/// @param share From 0 to 1.
/// @returns The smallest sample such that at least that share of all samples does not exceed it; 0
///          without samples.
std::chrono::nanoseconds quantileOf(durations samples, double share);

double inMilliseconds(std::chrono::nanoseconds time);

/// @returns The value with that many decimal places.
std::string formatFixed(double value, int digits);

/// One named value of a summary line.
struct figure
{
    std::string name;
    double value = 0;
    int digits = 0; ///< Decimal places.

    bool operator==(const figure &) const = default;
};

using figures = std::vector<figure>;

/// @returns `name=value name=value …`
std::string lineOf(const figures &all);

/// @returns One JSON object.
std::string jsonOf(const figures &all);

/// A fitted straight line: y = intercept + slope * x.
struct line_fit
{
    double intercept = 0;
    double slope = 0;

    bool operator==(const line_fit &) const = default;
};

struct point
{
    double x = 0;
    double y = 0;
};

/// Least-squares fit; a horizontal line at the mean of y if all x are equal.
line_fit fitLine(const std::vector<point> &points);

} // namespace poplarspool::bench
