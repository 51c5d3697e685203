#include "faults/fleet.h"

#include "faults/waiting.h"
#include "poplarspool/base/hash.h"

#include <fstream>
#include <sstream>
#include <unistd.h>

namespace poplarspool::faults {

using nlohmann::json;

namespace {

constexpr std::size_t idlePerTarget = 8;
constexpr milliseconds connectTime{500};
constexpr milliseconds callTime{5000};
/// Above the time in which an instance decides on a change.
constexpr milliseconds applyTime{12000};
constexpr const char *peerKey = "only-for-fault-scenarios-on-loopback";

std::string nameOfInstance(std::size_t index)
{
    return "entry-" + std::to_string(index);
}

std::string quoted(const std::string &text)
{
    return '"' + text + '"';
}

} // namespace

fleet::fleet(const stage &place, const fleet_spec &spec)
    : place(place), spec(spec), pool(idlePerTarget, connectTime, metrics)
{
    platform = spawn("platform",
                     {"platform", "--listen", textOf(platformAddress()), "--rate", "1000"});
    for (std::size_t index = 0; index < spec.engines; ++index) {
        engines.emplace_back();
        startEngine(index);
    }
    for (std::size_t index = 0; index < spec.services; ++index) {
        services.push_back(spawn("service-" + std::to_string(index),
                                 {"service", "--listen", textOf(serviceAddress(index)), "--work-ms",
                                  std::to_string(spec.serviceWorkMs)}));
        waitFor(serviceAddress(index), "/load");
    }
    waitFor(platformAddress(), "/instances");
    for (std::size_t index = 0; index < spec.instances; ++index)
        addInstance();
    applyEverywhere({});
}

fleet::~fleet()
{
    pool.stop();
}

std::string fleet::host(std::size_t last) const
{
    // Two drivers at the same time have loopback networks of their own.
    constexpr int networks = 250;
    return "127." + std::to_string(1 + getpid() % networks) + '.' + std::to_string(place.net) + '.'
            + std::to_string(last);
}

endpoint fleet::platformAddress() const
{
    return {host(2), 7000};
}

endpoint fleet::gateAddress(std::size_t index) const
{
    return spec.isGated ? endpoint{host(40 + index), 7000} : platformAddress();
}

endpoint fleet::callerAddress(std::size_t index) const
{
    return {host(10 + index), 8080};
}

endpoint fleet::operatorAddress(std::size_t index) const
{
    return {host(10 + index), 8090};
}

endpoint fleet::peerAddress(std::size_t index) const
{
    return {host(10 + index), 7946};
}

endpoint fleet::engineAddress(std::size_t index) const
{
    return {host(100 + index), 9000};
}

endpoint fleet::serviceAddress(std::size_t index) const
{
    return {host(200 + index), 9100};
}

std::vector<endpoint> fleet::callerAddresses() const
{
    std::vector<endpoint> all;
    for (std::size_t index = 0; index < instances.size(); ++index)
        all.push_back(callerAddress(index));
    return all;
}

std::size_t fleet::numberOf(const std::string &instance)
{
    return std::stoul(instance.substr(instance.rfind('-') + 1));
}

std::unique_ptr<child_process> fleet::spawn(const std::string &name, std::vector<std::string> words)
{
    const bool isInstance = words.front() == "serve";
    words.insert(words.begin(),
                 place.build + (isInstance ? "/poplarspool" : "/poplarspool-standin"));
    return std::make_unique<child_process>(words, place.folder + '/' + name + ".log");
}

void fleet::startEngine(std::size_t index)
{
    std::vector<std::string> words{"engine",   "--listen", textOf(engineAddress(index)),
                                   "--models", "llm@1",    "--change-ms",
                                   "800"};
    if (!spec.checksFence)
        words.emplace_back("--ignore-fence");
    if (index == 0)
        words.insert(words.end(), spec.engineOptions.begin(), spec.engineOptions.end());
    engines.at(index) = spawn("engine-" + std::to_string(index), words);
    waitFor(engineAddress(index), "/load");
}

void fleet::startInstance(std::size_t index)
{
    const std::string name = nameOfInstance(index);
    const std::string file = place.folder + '/' + name + ".toml";
    std::ofstream(file) << settingsText(index);
    instances.at(index) = spawn(name, {"serve", "--settings", file});
    list(index);
    waitFor(operatorAddress(index), "/status");
}

std::size_t fleet::addInstance()
{
    const std::size_t index = instances.size();
    instances.emplace_back();
    if (spec.isGated)
        gates.push_back(std::make_unique<store_gate>(gateAddress(index), platformAddress()));
    startInstance(index);
    return index;
}

void fleet::restartInstance(std::size_t index)
{
    instances.at(index)->kill();
    startInstance(index);
}

void fleet::killInstance(std::size_t index)
{
    instances.at(index)->kill();
    unlist(index);
}

void fleet::killEngine(std::size_t index)
{
    keptRecords.push_back(engineRecords(index));
    engines.at(index)->kill();
}

void fleet::restartEngine(std::size_t index)
{
    startEngine(index);
}

void fleet::list(std::size_t index, bool isLeaving)
{
    const json line = {{"id", nameOfInstance(index)},
                       {"zone", "zone-a"},
                       {"peer", textOf(peerAddress(index))},
                       {"leaving", isLeaving}};
    call(platformAddress(), "POST", "/standin/instances", {{"set", json::array({line})}});
}

void fleet::unlist(std::size_t index)
{
    call(platformAddress(), "POST", "/standin/instances",
         {{"remove", json::array({nameOfInstance(index)})}});
}

json fleet::call(const endpoint &to, const std::string &method, const std::string &path,
                 const json &body)
{
    http_request request{method, path, {}, {}, {}};
    if (!body.is_null()) {
        request.body = body.dump();
        request.contentType = "application/json";
    }
    const auto reply = pool.send(to, request, path == "/config" ? applyTime : callTime);
    if (!succeeded(reply))
        return nullptr;
    return json::parse(valueOf(reply).body, nullptr, false);
}

void fleet::waitFor(const endpoint &to, const std::string &path)
{
    waitUntil(textOf(to) + path + " answers", [&] { return call(to, "GET", path).is_object(); });
}

void fleet::platformFault(const json &fault)
{
    call(platformAddress(), "POST", "/standin/fault", fault);
}

void fleet::platformLag(std::uint32_t ms)
{
    call(platformAddress(), "POST", "/standin/lag", {{"ms", ms}});
}

void fleet::engineFault(std::size_t index, const json &fault)
{
    call(engineAddress(index), "POST", "/standin/fault", fault);
}

void fleet::serviceFault(const json &fault)
{
    for (std::size_t index = 0; index < services.size(); ++index)
        call(serviceAddress(index), "POST", "/standin/fault", fault);
}

change_answer fleet::apply(std::size_t index, const config_choice &choice, const std::string &nonce,
                           std::optional<std::uint64_t> ifVersion)
{
    json change = {{"inventory", inventoryText(choice)},
                   {"rules", rulesText()},
                   {"nonce", nonce.empty() ? randomHex128() : nonce},
                   {"author", "operator-" + std::to_string(index)}};
    if (ifVersion)
        change["if_version"] = *ifVersion;
    const json answer = call(operatorAddress(index), "POST", "/config", change);
    if (answer.is_object() && answer.contains("version"))
        return {answer.at("version").get<std::uint64_t>(), "", ""};
    if (answer.is_object() && answer.contains("error"))
        return {0, answer.at("error").value("verdict", "may_have_run"), answer.dump()};
    return {0, "may_have_run", answer.dump()};
}

std::uint64_t fleet::applyEverywhere(const config_choice &choice)
{
    change_answer answer;
    const std::string nonce = randomHex128();
    waitUntil("a change is accepted", [&] {
        for (std::size_t index = 0; index < instances.size() && answer.version == 0; ++index)
            if (instances[index]->isRunning())
                answer = apply(index, choice, nonce);
        return answer.version != 0;
    });
    waitInForce(answer.version);
    return answer.version;
}

void fleet::waitInForce(std::uint64_t version, const std::set<std::size_t> &except)
{
    for (std::size_t index = 0; index < instances.size(); ++index) {
        if (except.count(index) != 0 || !instances[index]->isRunning())
            continue;
        waitUntil(nameOfInstance(index) + " has the configuration in force", [&] {
            const json seen = status(index);
            return seen.is_object() && seen.value("accepted_version", 0U) == version
                    && seen.value("fresh", false);
        });
    }
}

json fleet::status(std::size_t index)
{
    return call(operatorAddress(index), "GET", "/status");
}

std::string fleet::stateOf(std::size_t index, std::size_t asSeenBy)
{
    const json seen = status(asSeenBy);
    if (!seen.is_object())
        return "";
    for (const json &each : seen.at("instances"))
        if (each.at("instance") == nameOfInstance(index))
            return each.at("state").get<std::string>();
    return "";
}

bool fleet::isGone(std::size_t index, std::size_t asSeenBy)
{
    if (!status(asSeenBy).is_object())
        return false;
    const std::string state = stateOf(index, asSeenBy);
    return state.empty() || state == "dead";
}

bool fleet::hasEvent(std::size_t index, const std::string &kind)
{
    const http_request ask{"GET", "/timeline?kind=" + kind, {}, {}, {}};
    const auto reply = pool.send(operatorAddress(index), ask, callTime);
    return succeeded(reply) && valueOf(reply).body.find(kind) != std::string::npos;
}

json fleet::engineRecords(std::size_t index)
{
    json records = call(engineAddress(index), "GET", "/standin/records");
    expect(records.is_object(), "engine " + std::to_string(index) + " gives its records");
    return records;
}

std::uint64_t fleet::startedOn(std::size_t index)
{
    return engineRecords(index).at("started").get<std::uint64_t>();
}

std::vector<json> fleet::allEngineRecords()
{
    std::vector<json> all = keptRecords;
    for (std::size_t index = 0; index < engines.size(); ++index)
        if (engines[index]->isRunning())
            all.push_back(engineRecords(index));
    return all;
}

std::map<std::string, std::uint64_t> fleet::serviceRuns()
{
    std::map<std::string, std::uint64_t> runs;
    for (std::size_t index = 0; index < services.size(); ++index) {
        const json records = call(serviceAddress(index), "GET", "/standin/records");
        expect(records.is_object(), "a service gives its records");
        for (const json &each : records.at("records"))
            runs[each.at("key").get<std::string>()] += each.at("count").get<std::uint64_t>();
    }
    return runs;
}

bool fleet::hasVersion(std::size_t index, const std::string &version)
{
    const json load = call(engineAddress(index), "GET", "/load");
    if (!load.is_object() || load.value("changing", true))
        return false;
    for (const json &each : load.at("models"))
        if (each.at("version") == version)
            return true;
    return false;
}

std::string fleet::settingsText(std::size_t index) const
{
    const std::string platformText = quoted(textOf(gateAddress(index)));
    std::ostringstream text;
    text << "instance = " << quoted(nameOfInstance(index)) << "\nzone = \"zone-a\"\n"
         << "deployment = \"faults\"\n"
         << "caller.address = " << quoted(textOf(callerAddress(index))) << '\n'
         << "operator.address = " << quoted(textOf(operatorAddress(index))) << '\n'
         << "peer.address = " << quoted(textOf(peerAddress(index))) << '\n'
         << "peer.key = " << quoted(peerKey) << '\n'
         << "peer.seeds = [" << quoted(textOf(peerAddress(0))) << "]\n"
         << "platform.store = " << platformText << "\nplatform.instances = " << platformText
         << "\nplatform.weights = " << platformText << '\n'
         << "leave.grace_seconds = 2\nleave.bound_seconds = 60\n";
    return text.str();
}

std::string fleet::inventoryText(const config_choice &choice) const
{
    std::ostringstream text;
    text << "deployment = \"faults\"\nzones = [\"zone-a\"]\n"
         << "[[pools]]\nid = \"llm\"\nkind = \"engine\"\nstart_role = " << quoted(choice.role)
         << "\nserves = [{ model = \"llm\", version = " << quoted(choice.version) << " }]\n"
         << "[[pools]]\nid = \"desk\"\nkind = \"service\"\nservice = \"desk\"\n"
         << "[[runner_defaults]]\npool = \"llm\"\nchecks_fence = "
         << (spec.checksFence ? "true" : "false") << "\nmay_carry = [";
    for (const char *version : {"1", "2", "3"})
        text << "{ model = \"llm\", version = " << quoted(version) << " }, ";
    text << "]\n";
    for (std::size_t index = 0; index < spec.engines; ++index)
        text << "[[runners]]\nid = \"engine-" << index << "\"\npool = \"llm\"\nzone = \"zone-a\"\n"
             << "address = " << quoted(textOf(engineAddress(index)))
             << "\ndraining = " << (choice.draining.count(index) != 0 ? "true" : "false") << '\n';
    for (std::size_t index = 0; index < spec.services; ++index)
        text << "[[runners]]\nid = \"desk-" << index << "\"\npool = \"desk\"\nzone = \"zone-a\"\n"
             << "address = " << quoted(textOf(serviceAddress(index))) << '\n';
    return text.str();
}

std::string fleet::rulesText() const
{
    return "address_keep_seconds = 2\nretry_share = 1.0\ndrain_seconds = "
            + std::to_string(spec.drainSeconds)
            + "\n[[classes]]\nname = \"live\"\nrank = 0\n"
              "[[requests]]\nname = \"order\"\nservice = \"desk\"\nmethod = \"POST\"\n"
              "repeat = \"never\"\nneeds_key = true\n"
              "[[plans]]\npool = \"llm\"\nenabled = false\n";
}

} // namespace poplarspool::faults
