#include "standin/platform.h"

#include "poplarspool/base/http.h"
#include "poplarspool/base/metrics.h"
#include "standin/platform_faults.h"
#include "standin/platform_instance_list.h"
#include "standin/platform_objects.h"
#include "standin/platform_paths.h"

#include <atomic>
#include <map>
#include <optional>

#include <nlohmann/json.hpp>

namespace poplarspool::standin {

namespace {

using nlohmann::json;

constexpr std::size_t maxValueBytes = 1024 * 1024;
/// JSON escapes (\u00XX) can make the text six times as long as the value.
constexpr std::size_t maxBodyBytes = 6 * maxValueBytes + 1024;
constexpr std::uint32_t maxConnections = 4096;
constexpr std::chrono::milliseconds maxWatchTime{60000};
constexpr std::uint64_t weightBytes = 16ULL * 1024 * 1024 * 1024;

/// Header of every reply after the first store rollback: the number of rollbacks.
constexpr char epochHeader[] = "Store-Epoch";

/// A reply; if empty, the connection is closed without one.
using optional_reply = std::optional<http_reply>;

http_limits httpLimits()
{
    http_limits limits = defaultHttpLimits();
    limits.bodyBytes = maxBodyBytes;
    limits.connections = maxConnections;
    return limits;
}

http_reply replyOf(int status, const json &body)
{
    http_reply reply;
    reply.status = status;
    reply.body = body.dump();
    reply.contentType = "application/json";
    return reply;
}

http_reply refusal(int status, const std::string &message)
{
    return replyOf(status, json{{"error", message}});
}

json jsonOf(const stored_object &entry)
{
    if (entry.isDeleted)
        return {{"key", entry.key}, {"version", entry.version}, {"deleted", true}};
    return {{"key", entry.key}, {"value", entry.value}, {"version", entry.version}};
}

json jsonOf(const stored_list &list)
{
    json objects = json::array();
    for (const stored_object &each : list.objects)
        objects.push_back(jsonOf(each));
    return {{"objects", std::move(objects)}, {"version", list.version}};
}

json jsonOf(const instance_entry &entry)
{
    return {{"id", entry.id},
            {"zone", entry.zone},
            {"peer", entry.peer},
            {"leaving", entry.isLeaving}};
}

instance_entry instanceEntryOf(const json &entry)
{
    return {entry.at("id").get<std::string>(), entry.at("zone").get<std::string>(),
            entry.at("peer").get<std::string>(), entry.value("leaving", false)};
}

platform_fault faultOf(const std::string &name)
{
    static const std::map<std::string, platform_fault> names{
            {"none", platform_fault::None},
            {"outage", platform_fault::Outage},
            {"slow", platform_fault::Slow},
            {"lose_answers", platform_fault::LoseAnswers}};
    return names.at(name);
}

http_reply writeReply(const write_outcome &outcome)
{
    return replyOf(outcome.isApplied ? 200 : 409, {{"version", outcome.version}});
}

} // namespace

struct platform_standin::state
{
    state(const endpoint &bind, double weightsPerSecond)
        : weightRate(weightsPerSecond),
          server(
                  "standin_platform", bind, httpLimits(),
                  [this](const http_request &request, http_sink & /*sink*/) {
                      return serve(request);
                  },
                  metrics)
    { }

    optional_reply serve(const http_request &request);
    optional_reply serveControl(const http_request &request, const request_target &target);
    std::optional<int> serveSnapshots(const http_request &request, const request_target &target);
    optional_reply serveWithinEpoch(const http_request &request, const request_target &target);
    optional_reply serveCall(const http_request &request, const request_target &target);
    optional_reply serveObject(const http_request &request, const request_target &target,
                               const std::string &key);
    optional_reply serveWrite(const http_reply &reply);
    http_reply putObject(const http_request &request, const std::string &key);
    http_reply removeObject(const request_target &target, const std::string &key);
    optional_reply serveWatch(const request_target &target);
    http_reply listInstances();
    http_reply weightsOf(const std::string &modelAndVersion);
    void setFault(const platform_fault_setting &setting);
    platform_records records() const;

    metrics_registry metrics;
    object_table objects;
    delayed_instance_list instanceList;
    fault_injector faults;
    rate_limit weightRate;
    std::atomic<std::uint64_t> gets{0};
    std::atomic<std::uint64_t> lists{0};
    std::atomic<std::uint64_t> puts{0};
    std::atomic<std::uint64_t> removes{0};
    std::atomic<std::uint64_t> watches{0};
    std::atomic<std::uint64_t> instanceLists{0};
    std::atomic<std::uint64_t> weights{0};
    http_server server; ///< Declared last, because its threads use all other members.
};

optional_reply platform_standin::state::serve(const http_request &request)
{
    const request_target target = parseTarget(request.path);
    try {
        if (target.path.starts_with("/standin/"))
            return serveControl(request, target);
        faults.delay();
        if (faults.isOutage())
            return std::nullopt;
        return serveWithinEpoch(request, target);
    } catch (const json::exception &fault) {
        return refusal(400, fault.what());
    } catch (const std::out_of_range &) {
        return refusal(400, "unknown name");
    }
}

optional_reply platform_standin::state::serveControl(const http_request &request,
                                                     const request_target &target)
{
    if (target.path == "/standin/records") {
        const platform_records counts = records();
        return replyOf(200,
                       {{"get", counts.gets},
                        {"list", counts.lists},
                        {"put", counts.puts},
                        {"remove", counts.removes},
                        {"watch", counts.watches},
                        {"instances", counts.instanceLists},
                        {"weights", counts.weights}});
    }
    if (const auto status = serveSnapshots(request, target))
        return replyOf(*status, json::object());
    const json body = json::parse(request.body);
    if (target.path == "/standin/fault") {
        setFault({faultOf(body.at("mode").get<std::string>()), body.value("slow_ms", 0U),
                  body.value("count", 1U)});
    } else if (target.path == "/standin/lag") {
        instanceList.setLag(std::chrono::milliseconds(body.at("ms").get<std::uint32_t>()));
    } else if (target.path == "/standin/instances") {
        for (const json &entry : body.value("set", json::array()))
            instanceList.set(instanceEntryOf(entry));
        for (const json &id : body.value("remove", json::array()))
            instanceList.remove(id.get<std::string>());
    } else {
        return refusal(404, "unknown control path");
    }
    return replyOf(200, json::object());
}

/// Serves the calls that take and restore snapshots and replay lost writes.
/// @returns The status; nothing if the path is none of them.
std::optional<int> platform_standin::state::serveSnapshots(const http_request &request,
                                                           const request_target &target)
{
    if (target.path == "/standin/copy") {
        objects.takeSnapshot();
        return 200;
    }
    if (target.path == "/standin/go_back")
        return objects.restoreSnapshot() ? 200 : 409;
    if (target.path != "/standin/write_again")
        return std::nullopt;
    const json body = json::parse(request.body);
    for (const json &prefix : body.at("prefixes"))
        objects.replayLostWrites(prefix.get<std::string>());
    return 200;
}

/// Serves a call, but closes its connection if the store is rolled back meanwhile: the reply would
/// name versions of one epoch as those of another.
optional_reply platform_standin::state::serveWithinEpoch(const http_request &request,
                                                         const request_target &target)
{
    const std::uint64_t epoch = objects.epoch();
    optional_reply reply = serveCall(request, target);
    if (objects.epoch() != epoch)
        return std::nullopt;
    if (reply && epoch > 0)
        reply->headers.emplace_back(epochHeader, std::to_string(epoch));
    return reply;
}

optional_reply platform_standin::state::serveCall(const http_request &request,
                                                  const request_target &target)
{
    if (const auto key = pathAfter(target, "/objects/"))
        return serveObject(request, target, *key);
    if (request.method != "GET")
        return refusal(405, "only GET is allowed");
    if (target.path == "/list") {
        ++lists;
        const auto prefix = target.query.find("prefix");
        return replyOf(200,
                       jsonOf(objects.list(prefix == target.query.end() ? "" : prefix->second)));
    }
    if (target.path == "/watch")
        return serveWatch(target);
    if (target.path == "/instances")
        return listInstances();
    if (const auto rest = pathAfter(target, "/weights/"))
        return weightsOf(*rest);
    return refusal(404, "no such path");
}

optional_reply platform_standin::state::serveObject(const http_request &request,
                                                    const request_target &target,
                                                    const std::string &key)
{
    if (request.method == "PUT")
        return serveWrite(putObject(request, key));
    if (request.method == "DELETE")
        return serveWrite(removeObject(target, key));
    if (request.method != "GET")
        return refusal(405, "only GET, PUT and DELETE are allowed");
    ++gets;
    const auto found = objects.get(key);
    return found ? replyOf(200, jsonOf(*found)) : refusal(404, "no such object");
}

optional_reply platform_standin::state::serveWrite(const http_reply &reply)
{
    if (faults.takeLostAnswer())
        return std::nullopt;
    return reply;
}

http_reply platform_standin::state::putObject(const http_request &request, const std::string &key)
{
    ++puts;
    const json body = json::parse(request.body);
    const auto value = body.at("value").get<std::string>();
    if (value.size() > maxValueBytes)
        return refusal(413, "value exceeds 1 MiB");
    return writeReply(objects.put(key, value, body.at("if_version").get<std::uint64_t>()));
}

http_reply platform_standin::state::removeObject(const request_target &target,
                                                 const std::string &key)
{
    ++removes;
    const auto ifVersion = numberOf(target, "if_version");
    if (!ifVersion || *ifVersion == 0)
        return refusal(400, "if_version is missing");
    return writeReply(objects.remove(key, *ifVersion));
}

optional_reply platform_standin::state::serveWatch(const request_target &target)
{
    ++watches;
    const auto prefix = target.query.find("prefix");
    const auto after = numberOf(target, "after");
    const auto wait = numberOf(target, "wait_ms");
    if (prefix == target.query.end() || !after || !wait)
        return refusal(400, "prefix, after and wait_ms are required");
    const auto waitMs = std::min<std::uint64_t>(*wait, maxWatchTime.count());
    const auto changes = objects.watch(prefix->second, *after, std::chrono::milliseconds(waitMs));
    if (faults.isOutage())
        return std::nullopt;
    if (changes.isVersionUnknown)
        return refusal(410, "no such version in this epoch");
    return replyOf(200, jsonOf(changes));
}

http_reply platform_standin::state::listInstances()
{
    ++instanceLists;
    json entries = json::array();
    for (const instance_entry &entry : instanceList.visible())
        entries.push_back(jsonOf(entry));
    return replyOf(200, {{"instances", std::move(entries)}});
}

http_reply platform_standin::state::weightsOf(const std::string &modelAndVersion)
{
    ++weights;
    const auto slash = modelAndVersion.rfind('/');
    if (slash == std::string::npos)
        return refusal(404, "MODEL/VERSION is required");
    if (!weightRate.tryTake()) {
        http_reply reply = refusal(429, "rate limit of the weight store exceeded");
        reply.headers.emplace_back("Retry-After", std::to_string(weightRate.secondsLeft()));
        return reply;
    }
    return replyOf(200,
                   {{"model", modelAndVersion.substr(0, slash)},
                    {"version", modelAndVersion.substr(slash + 1)},
                    {"bytes", weightBytes}});
}

void platform_standin::state::setFault(const platform_fault_setting &setting)
{
    faults.set(setting);
    objects.wakeWatches();
}

platform_records platform_standin::state::records() const
{
    return {gets, lists, puts, removes, watches, instanceLists, weights};
}

platform_standin::platform_standin(const endpoint &bind, double weightsPerSecond)
    : inner(std::make_unique<state>(bind, weightsPerSecond))
{ }

platform_standin::~platform_standin()
{
    stop();
}

result<endpoint> platform_standin::start()
{
    return inner->server.start();
}

void platform_standin::stop()
{
    inner->faults.shutDown();
    inner->objects.shutDown();
    inner->server.stop();
}

void platform_standin::setFault(const platform_fault_setting &setting)
{
    inner->setFault(setting);
}

void platform_standin::setLag(std::uint32_t lagMs)
{
    inner->instanceList.setLag(std::chrono::milliseconds(lagMs));
}

platform_records platform_standin::records() const
{
    return inner->records();
}

} // namespace poplarspool::standin
