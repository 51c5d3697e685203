#include "faults/test_fleet.h"

#include "faults/waiting.h"
#include "poplarspool/base/hash.h"

#include <fstream>
#include <sstream>
#include <unistd.h>

namespace poplarspool::faults {

using nlohmann::json;

namespace {

constexpr std::size_t idlePerTarget = 8;
constexpr milliseconds connectTimeout{500};
constexpr milliseconds callTimeout{5000};
/// Longer than the maximum time that an instance takes to decide on a change.
constexpr milliseconds applyTimeout{12000};
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

test_fleet::test_fleet(const scenario_environment &environment, const fleet_spec &spec)
    : environment(environment), spec(spec), pool(idlePerTarget, connectTimeout, metrics)
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
        waitUntilAnswering(serviceAddress(index), "/load");
    }
    waitUntilAnswering(platformAddress(), "/instances");
    for (std::size_t index = 0; index < spec.instances; ++index)
        addInstance();
    applyAndWait({});
}

test_fleet::~test_fleet()
{
    pool.stop();
}

std::string test_fleet::hostAddress(std::size_t last) const
{
    // Concurrent runs of this program use different loopback networks, chosen by process id.
    constexpr int networks = 250;
    return "127." + std::to_string(1 + getpid() % networks) + '.'
            + std::to_string(environment.subnet) + '.' + std::to_string(last);
}

endpoint test_fleet::platformAddress() const
{
    return {hostAddress(2), 7000};
}

endpoint test_fleet::storeProxyAddress(std::size_t index) const
{
    return spec.hasStoreProxies ? endpoint{hostAddress(40 + index), 7000} : platformAddress();
}

endpoint test_fleet::callerAddress(std::size_t index) const
{
    return {hostAddress(10 + index), 8080};
}

endpoint test_fleet::operatorAddress(std::size_t index) const
{
    return {hostAddress(10 + index), 8090};
}

endpoint test_fleet::peerAddress(std::size_t index) const
{
    return {hostAddress(10 + index), 7946};
}

endpoint test_fleet::engineAddress(std::size_t index) const
{
    return {hostAddress(100 + index), 9000};
}

endpoint test_fleet::serviceAddress(std::size_t index) const
{
    return {hostAddress(200 + index), 9100};
}

std::vector<endpoint> test_fleet::callerAddresses() const
{
    std::vector<endpoint> all;
    for (std::size_t index = 0; index < instances.size(); ++index)
        all.push_back(callerAddress(index));
    return all;
}

std::size_t test_fleet::indexInName(const std::string &name)
{
    return std::stoul(name.substr(name.rfind('-') + 1));
}

std::unique_ptr<child_process> test_fleet::spawn(const std::string &name,
                                                 std::vector<std::string> arguments)
{
    const bool isInstance = arguments.front() == "serve";
    arguments.insert(arguments.begin(),
                     environment.build + (isInstance ? "/poplarspool" : "/poplarspool-standin"));
    return std::make_unique<child_process>(arguments, environment.folder + '/' + name + ".log");
}

void test_fleet::startEngine(std::size_t index)
{
    std::vector<std::string> arguments{"engine",   "--listen", textOf(engineAddress(index)),
                                       "--models", "llm@1",    "--change-ms",
                                       "800"};
    if (!spec.checksFence)
        arguments.emplace_back("--ignore-fence");
    if (index == 0)
        arguments.insert(arguments.end(), spec.engineOptions.begin(), spec.engineOptions.end());
    engines.at(index) = spawn("engine-" + std::to_string(index), arguments);
    waitUntilAnswering(engineAddress(index), "/load");
}

void test_fleet::startInstance(std::size_t index)
{
    const std::string name = nameOfInstance(index);
    const std::string file = environment.folder + '/' + name + ".toml";
    std::ofstream(file) << settingsText(index);
    instances.at(index) = spawn(name, {"serve", "--settings", file});
    addToInstanceList(index);
    waitUntilAnswering(operatorAddress(index), "/status");
}

std::size_t test_fleet::addInstance()
{
    const std::size_t index = instances.size();
    instances.emplace_back();
    if (spec.hasStoreProxies)
        storeProxies.push_back(
                std::make_unique<store_fault_proxy>(storeProxyAddress(index), platformAddress()));
    startInstance(index);
    return index;
}

void test_fleet::restartInstance(std::size_t index)
{
    instances.at(index)->kill();
    startInstance(index);
}

void test_fleet::killInstance(std::size_t index)
{
    instances.at(index)->kill();
    removeFromInstanceList(index);
}

void test_fleet::killEngine(std::size_t index)
{
    savedRecords.push_back(engineRecords(index));
    engines.at(index)->kill();
}

void test_fleet::restartEngine(std::size_t index)
{
    startEngine(index);
}

void test_fleet::addToInstanceList(std::size_t index, bool isLeaving)
{
    const json line = {{"id", nameOfInstance(index)},
                       {"zone", "zone-a"},
                       {"peer", textOf(peerAddress(index))},
                       {"leaving", isLeaving}};
    call(platformAddress(), "POST", "/standin/instances", {{"set", json::array({line})}});
}

void test_fleet::removeFromInstanceList(std::size_t index)
{
    call(platformAddress(), "POST", "/standin/instances",
         {{"remove", json::array({nameOfInstance(index)})}});
}

json test_fleet::call(const endpoint &to, const std::string &method, const std::string &path,
                      const json &body)
{
    http_request request{method, path, {}, {}, {}};
    if (!body.is_null()) {
        request.body = body.dump();
        request.contentType = "application/json";
    }
    const auto reply = pool.send(to, request, path == "/config" ? applyTimeout : callTimeout);
    if (!succeeded(reply))
        return nullptr;
    return json::parse(valueOf(reply).body, nullptr, false);
}

void test_fleet::waitUntilAnswering(const endpoint &to, const std::string &path)
{
    waitUntil(textOf(to) + path + " answers", [&] { return call(to, "GET", path).is_object(); });
}

void test_fleet::injectPlatformFault(const json &fault)
{
    call(platformAddress(), "POST", "/standin/fault", fault);
}

void test_fleet::setInstanceListLag(std::uint32_t ms)
{
    call(platformAddress(), "POST", "/standin/lag", {{"ms", ms}});
}

void test_fleet::injectEngineFault(std::size_t index, const json &fault)
{
    call(engineAddress(index), "POST", "/standin/fault", fault);
}

void test_fleet::injectServiceFault(const json &fault)
{
    for (std::size_t index = 0; index < services.size(); ++index)
        call(serviceAddress(index), "POST", "/standin/fault", fault);
}

change_result test_fleet::apply(std::size_t index, const config_variant &variant,
                                const std::string &nonce, std::optional<std::uint64_t> ifVersion)
{
    json change = {{"inventory", inventoryText(variant)},
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

std::uint64_t test_fleet::applyAndWait(const config_variant &variant)
{
    change_result answer;
    const std::string nonce = randomHex128();
    waitUntil("a configuration change is accepted", [&] {
        for (std::size_t index = 0; index < instances.size() && answer.version == 0; ++index)
            if (instances[index]->isRunning())
                answer = apply(index, variant, nonce);
        return answer.version != 0;
    });
    waitInForce(answer.version);
    return answer.version;
}

void test_fleet::waitInForce(std::uint64_t version, const std::set<std::size_t> &except)
{
    for (std::size_t index = 0; index < instances.size(); ++index) {
        if (except.count(index) != 0 || !instances[index]->isRunning())
            continue;
        waitUntil(nameOfInstance(index) + " has the configuration in force", [&] {
            const json report = status(index);
            return report.is_object() && report.value("accepted_version", 0U) == version
                    && report.value("fresh", false);
        });
    }
}

json test_fleet::status(std::size_t index)
{
    return call(operatorAddress(index), "GET", "/status");
}

std::string test_fleet::stateOf(std::size_t index, std::size_t observer)
{
    const json report = status(observer);
    if (!report.is_object())
        return "";
    for (const json &each : report.at("instances"))
        if (each.at("instance") == nameOfInstance(index))
            return each.at("state").get<std::string>();
    return "";
}

bool test_fleet::isDeadOrUnknown(std::size_t index, std::size_t observer)
{
    if (!status(observer).is_object())
        return false;
    const std::string state = stateOf(index, observer);
    return state.empty() || state == "dead";
}

bool test_fleet::hasEvent(std::size_t index, const std::string &kind)
{
    const http_request request{"GET", "/timeline?kind=" + kind, {}, {}, {}};
    const auto reply = pool.send(operatorAddress(index), request, callTimeout);
    return succeeded(reply) && valueOf(reply).body.find(kind) != std::string::npos;
}

json test_fleet::engineRecords(std::size_t index)
{
    json records = call(engineAddress(index), "GET", "/standin/records");
    expect(records.is_object(), "engine " + std::to_string(index) + " returns its records");
    return records;
}

std::uint64_t test_fleet::startedRequests(std::size_t index)
{
    return engineRecords(index).at("started").get<std::uint64_t>();
}

std::vector<json> test_fleet::allEngineRecords()
{
    std::vector<json> all = savedRecords;
    for (std::size_t index = 0; index < engines.size(); ++index)
        if (engines[index]->isRunning())
            all.push_back(engineRecords(index));
    return all;
}

std::map<std::string, std::uint64_t> test_fleet::serviceRuns()
{
    std::map<std::string, std::uint64_t> runs;
    for (std::size_t index = 0; index < services.size(); ++index) {
        const json records = call(serviceAddress(index), "GET", "/standin/records");
        expect(records.is_object(), "a service returns its records");
        for (const json &each : records.at("records"))
            runs[each.at("key").get<std::string>()] += each.at("count").get<std::uint64_t>();
    }
    return runs;
}

bool test_fleet::hasVersion(std::size_t index, const std::string &version)
{
    const json load = call(engineAddress(index), "GET", "/load");
    if (!load.is_object() || load.value("changing", true))
        return false;
    for (const json &each : load.at("models"))
        if (each.at("version") == version)
            return true;
    return false;
}

std::string test_fleet::settingsText(std::size_t index) const
{
    const std::string platformText = quoted(textOf(storeProxyAddress(index)));
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

std::string test_fleet::inventoryText(const config_variant &variant) const
{
    std::ostringstream text;
    text << "deployment = \"faults\"\nzones = [\"zone-a\"]\n"
         << "[[pools]]\nid = \"llm\"\nkind = \"engine\"\nstart_role = " << quoted(variant.role)
         << "\nserves = [{ model = \"llm\", version = " << quoted(variant.version) << " }]\n"
         << "[[pools]]\nid = \"desk\"\nkind = \"service\"\nservice = \"desk\"\n"
         << "[[runner_defaults]]\npool = \"llm\"\nchecks_fence = "
         << (spec.checksFence ? "true" : "false") << "\nmay_carry = [";
    for (const char *version : {"1", "2", "3"})
        text << "{ model = \"llm\", version = " << quoted(version) << " }, ";
    text << "]\n";
    for (std::size_t index = 0; index < spec.engines; ++index)
        text << "[[runners]]\nid = \"engine-" << index << "\"\npool = \"llm\"\nzone = \"zone-a\"\n"
             << "address = " << quoted(textOf(engineAddress(index)))
             << "\ndraining = " << (variant.draining.count(index) != 0 ? "true" : "false") << '\n';
    for (std::size_t index = 0; index < spec.services; ++index)
        text << "[[runners]]\nid = \"desk-" << index << "\"\npool = \"desk\"\nzone = \"zone-a\"\n"
             << "address = " << quoted(textOf(serviceAddress(index))) << '\n';
    return text.str();
}

std::string test_fleet::rulesText() const
{
    return "address_keep_seconds = 2\nretry_share = 1.0\ndrain_seconds = "
            + std::to_string(spec.drainSeconds)
            + "\n[[classes]]\nname = \"live\"\nrank = 0\n"
              "[[requests]]\nname = \"order\"\nservice = \"desk\"\nmethod = \"POST\"\n"
              "repeat = \"never\"\nneeds_key = true\n"
              "[[plans]]\npool = \"llm\"\nenabled = false\n";
}

} // namespace poplarspool::faults
