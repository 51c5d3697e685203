#include "bench/command.h"
#include "bench/sample_stats.h"

#include <iostream>
#include <map>

namespace poplarspool::bench {

namespace {

using row = std::map<std::string, double>;

/// @returns The values of a line of NAME=NUMBER fields by name; other fields are skipped.
row parseRow(const std::string &line)
{
    row valuesByName;
    for (const std::string &field : splitNonEmpty(line, ' ')) {
        const std::size_t equals = field.find('=');
        if (equals != std::string::npos)
            valuesByName[field.substr(0, equals)] = parseNumber(field.substr(equals + 1));
    }
    return valuesByName;
}

std::vector<row> readRows(std::istream &input, const std::string &by)
{
    std::vector<row> rows;
    for (std::string line; std::getline(input, line);) {
        row one = parseRow(line);
        if (one.count(by) > 0)
            rows.push_back(std::move(one));
    }
    return rows;
}

std::vector<point> pointsOf(const std::vector<row> &rows, const std::string &by,
                            const std::string &name)
{
    std::vector<point> points;
    for (const row &one : rows) {
        const auto found = one.find(name);
        if (found != one.end())
            points.push_back({one.at(by), found->second});
    }
    return points;
}

int runFrom(const cxxopts::ParseResult &parsed)
{
    const auto by = parsed["by"].as<std::string>();
    const auto at = parsed["at"].as<double>();
    const std::vector<row> rows = readRows(std::cin, by);
    if (rows.size() < 2) {
        std::cerr << "a fit needs at least two lines with " << by << "=\n";
        return exitFailure;
    }
    for (const auto &[name, value] : rows.front()) {
        if (name == by)
            continue;
        const line_fit fit = fitLine(pointsOf(rows, by, name));
        std::cout << "figure=" << name << " at_zero=" << formatFixed(fit.intercept, 4) << " per_"
                  << by << '=' << formatFixed(fit.slope, 4) << " at_" << formatFixed(at, 0) << '='
                  << formatFixed(fit.intercept + at * fit.slope, 4) << '\n';
    }
    return exitSuccess;
}

} // namespace

int slopeCommand(const argument_list &arguments)
{
    cxxopts::Options options("poplarspool-bench slope",
                             "Reads lines of NAME=NUMBER fields, for example the means of idle, "
                             "from standard input and fits a straight line to each value.");
    auto add = options.add_options();
    add("by", "Name of the independent variable",
        cxxopts::value<std::string>()->default_value("instances"));
    add("at", "Value of it to extrapolate the lines to",
        cxxopts::value<double>()->default_value("330"));
    return parseAndRun(options, arguments, runFrom);
}

} // namespace poplarspool::bench
