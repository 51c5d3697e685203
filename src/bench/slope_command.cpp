#include "bench/command.h"
#include "bench/sample_stats.h"

#include <iostream>
#include <map>

namespace poplarspool::bench {

namespace {

using row = std::map<std::string, double>;

/// @returns The figures of a line of NAME=NUMBER words; other words are left out.
row rowIn(const std::string &line)
{
    row figuresByName;
    for (const std::string &word : partsOf(line, ' ')) {
        const std::size_t equals = word.find('=');
        if (equals != std::string::npos)
            figuresByName[word.substr(0, equals)] = numberIn(word.substr(equals + 1));
    }
    return figuresByName;
}

std::vector<row> readRows(std::istream &input, const std::string &by)
{
    std::vector<row> rows;
    for (std::string line; std::getline(input, line);) {
        row one = rowIn(line);
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
        std::cerr << "a slope needs two lines with " << by << "= at least\n";
        return exitWrong;
    }
    for (const auto &[name, value] : rows.front()) {
        if (name == by)
            continue;
        const line_fit fit = fitLine(pointsOf(rows, by, name));
        std::cout << "figure=" << name << " at_zero=" << fixedText(fit.atZero, 4) << " per_" << by
                  << '=' << fixedText(fit.slope, 4) << " at_" << fixedText(at, 0) << '='
                  << fixedText(fit.atZero + at * fit.slope, 4) << '\n';
    }
    return exitDone;
}

} // namespace

int slopeCommand(const words &arguments)
{
    cxxopts::Options options("poplarspool-bench slope",
                             "Reads lines of NAME=NUMBER words, such as the means of idle, from "
                             "standard input and fits each figure to a straight line.");
    auto add = options.add_options();
    add("by", "The figure that was varied",
        cxxopts::value<std::string>()->default_value("instances"));
    add("at", "Where to extend the lines to", cxxopts::value<double>()->default_value("330"));
    return runParsed(options, arguments, runFrom);
}

} // namespace poplarspool::bench
