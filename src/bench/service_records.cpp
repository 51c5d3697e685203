#include "bench/service_records.h"

#include <nlohmann/json.hpp>

namespace poplarspool::bench {

namespace {

using nlohmann::json;

constexpr milliseconds fetchTimeout{10000};

void addRecords(const json &answer, run_counts &into)
{
    for (const json &record : answer.at("records"))
        into[record.at("key").get<std::string>()] += record.at("count").get<std::uint64_t>();
}

} // namespace

result<run_counts> fetchRecords(const std::vector<endpoint> &services, http_pool &pool)
{
    run_counts runs;
    for (const endpoint &service : services) {
        http_request request;
        request.path = "/standin/records";
        const result<http_reply> reply = pool.send(service, request, fetchTimeout);
        if (!succeeded(reply))
            return errorOf(reply);
        try {
            addRecords(json::parse(valueOf(reply).body), runs);
        } catch (const json::exception &fault) {
            return notRun(error_code::Broken, textOf(service) + ": " + fault.what());
        }
    }
    return runs;
}

record_faults compareRecords(const run_counts &runs, const key_outcomes &ends)
{
    record_faults faults;
    for (const auto &[key, end] : ends) {
        const auto found = runs.find(key);
        const std::uint64_t count = found == runs.end() ? 0 : found->second;
        if (count > 1)
            faults.doubled += count - 1;
        if (count == 0 && end == call_end::Whole)
            ++faults.lost;
        if (count > 0 && end == call_end::Refused)
            ++faults.falseNotRun;
    }
    return faults;
}

} // namespace poplarspool::bench
