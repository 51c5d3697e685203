#include "soak/report.h"

#include "bench/sample_stats.h"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <map>
#include <set>
#include <sstream>

namespace poplarspool::soak {

namespace {

using counts = std::map<verdict, std::uint64_t>;

std::string lineOf(counts all)
{
    std::string line;
    for (const verdict one : allVerdicts)
        line += " " + std::string(nameOf(one)) + "=" + std::to_string(all[one]);
    return line;
}

std::string describe(const answer_record &answer)
{
    return " key=" + answer.key + " route=" + answer.route
            + " framing=" + std::string(nameOf(answer.framedBy))
            + " ends_at_once=" + std::to_string(answer.endsAtOnce)
            + " status=" + std::to_string(answer.status) + " gateway=" + answer.gateway;
}

bool isQuiet(const answer_record &answer, const std::vector<disturbance> &disturbances)
{
    return std::ranges::none_of(disturbances, [&answer](const disturbance &one) {
        return one.first < answer.done && answer.begin < one.second;
    });
}

/// Counts the answers of which the runners have not sent all.
std::uint64_t countInterrupted(const std::string &folder)
{
    std::multiset<std::string> open;
    for (const auto &file : std::filesystem::directory_iterator(folder)) {
        if (file.path().extension() != ".runs")
            continue;
        std::ifstream in(file.path());
        for (std::string what, key, framed; in >> what >> key;) {
            if (what == "begin" && in >> framed && framed == nameOf(framing::Close))
                open.insert(key);
            else if (const auto found = open.find(key); what == "end" && found != open.end())
                open.erase(found);
        }
    }
    return open.size();
}

/// Connections that runners have reset since they had no process left.
std::uint64_t countResets(const std::string &folder)
{
    std::uint64_t count = 0;
    for (const auto &file : std::filesystem::directory_iterator(folder)) {
        std::ifstream in(file.path());
        for (std::string line; file.path().extension() == ".runs" && std::getline(in, line);)
            count += line.starts_with("full ") ? 1 : 0;
    }
    return count;
}

/// @returns The value of a field of a line of a gateway's log; empty if there is none.
std::string fieldOf(const std::string &line, const std::string &name)
{
    for (const std::string &begin : {"\"" + name + "\":\"", " " + name + "="}) {
        const std::size_t at = line.find(begin);
        if (at != std::string::npos)
            return line.substr(at + begin.size(),
                               line.find_first_of("\" ", at + begin.size()) - at - begin.size());
    }
    return {};
}

/// Prints by what proof answers ended that the connection ends, as the gateways have logged it.
void printProofs(const std::string &folder)
{
    std::map<std::string, std::uint64_t> proofs;
    for (const auto &file : std::filesystem::directory_iterator(folder)) {
        if (file.path().extension() != ".log")
            continue;
        std::ifstream in(file.path());
        for (std::string line; std::getline(in, line);) {
            if (line.find("send_end") == std::string::npos || fieldOf(line, "ends_by") != "close")
                continue;
            ++proofs["way=" + fieldOf(line, "way") + " end_proof=" + fieldOf(line, "end_proof")
                     + " fault=" + fieldOf(line, "fault")];
        }
    }
    for (const auto &[proof, count] : proofs)
        std::cout << "send_end ends_by=close " << proof << " count=" << count << '\n';
}

void printDelays(const std::vector<const answer_record *> &answers, const std::string &name)
{
    for (const framing framed : allFramings) {
        bench::durations delays;
        for (const answer_record *one : answers) {
            if (one->framedBy == framed && one->end == verdict::Whole)
                delays.push_back(one->delay);
        }
        std::cout << "quiet delay " << name << " framing=" << nameOf(framed)
                  << " answers=" << delays.size() << " median_ms="
                  << bench::formatFixed(bench::inMilliseconds(bench::quantileOf(delays, 0.5)), 1)
                  << " p99_ms="
                  << bench::formatFixed(bench::inMilliseconds(bench::quantileOf(delays, 0.99)), 1)
                  << '\n';
    }
}

/// @returns The share of answers without a length that passed as whole.
double printQuiet(const std::vector<const answer_record *> &answers)
{
    std::map<framing, counts> framed;
    std::map<bool, counts> unframed;
    for (const answer_record *one : answers) {
        ++framed[one->framedBy][one->end];
        if (one->framedBy != framing::Close)
            continue;
        ++unframed[one->endsAtOnce][one->end];
        if (one->end != verdict::Whole)
            std::cout << "quiet loss " << nameOf(one->end) << describe(*one) << '\n';
    }
    for (auto &[name, all] : framed)
        std::cout << "quiet framing=" << nameOf(name) << lineOf(all) << '\n';
    for (auto &[endsAtOnce, all] : unframed)
        std::cout << "quiet framing=close ends_at_once=" << endsAtOnce << lineOf(all) << '\n';
    counts &all = framed[framing::Close];
    std::uint64_t sum = 0;
    for (const auto &[end, count] : all)
        sum += count;
    std::vector<const answer_record *> streams;
    std::vector<const answer_record *> others;
    for (const answer_record *one : answers)
        (one->route == "stream" || one->route == "resumable" ? streams : others).push_back(one);
    printDelays(streams, "last_chunk_of_stream");
    printDelays(others, "plain_answer");
    return sum == 0 ? 1 : static_cast<double>(all[verdict::Whole]) / static_cast<double>(sum);
}

} // namespace

soak_result report(const std::vector<answer_record> &answers,
                   const std::vector<disturbance> &disturbances, const std::string &folder)
{
    soak_result result;
    std::map<std::pair<std::string, framing>, counts> table;
    std::vector<const answer_record *> quiet;
    for (const answer_record &one : answers) {
        ++table[{one.route, one.framedBy}][one.end];
        if (isQuiet(one, disturbances))
            quiet.push_back(&one);
        if (one.end != verdict::FalselyWhole && one.end != verdict::Mixed)
            continue;
        ++result.wrong;
        std::cout << "WRONG " << nameOf(one.end) << describe(one) << '\n';
    }
    for (const auto &[key, all] : table)
        std::cout << "all route=" << key.first << " framing=" << nameOf(key.second) << lineOf(all)
                  << '\n';
    result.interrupted = countInterrupted(folder);
    result.quietWholeShare = printQuiet(quiet);
    printProofs(folder);
    std::cout << "answers=" << answers.size() << " interrupted_at_runners=" << result.interrupted
              << " resets_of_full_runners=" << countResets(folder)
              << " quiet_whole_share=" << bench::formatFixed(result.quietWholeShare, 4)
              << " wrong=" << result.wrong << std::endl;
    return result;
}

} // namespace poplarspool::soak
