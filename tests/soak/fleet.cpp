#include "soak/fleet.h"

#include "base/connect.h"
#include "faults/waiting.h"
#include "soak/connection.h"

#include <filesystem>
#include <fstream>
#include <utility>

namespace poplarspool::soak {

namespace {

constexpr std::uint16_t runnerPort = 8080;
constexpr std::uint32_t storeConnections = 256;
constexpr int streamTimeLimitMs = 6000;
const char *const zones[] = {"zone-a", "zone-b"};

/// A part of the loopback range for this process.
std::string ownNet()
{
    const auto pid = static_cast<unsigned>(getpid());
    return "127." + std::to_string(20 + pid % 200) + "." + std::to_string(pid / 200 % 250) + ".";
}

nlohmann::json routeOf(const std::string &name, const std::string &kind, const std::string &service,
                       bool isResumable)
{
    nlohmann::json route{
            {"name", name},           {"host", "soak.example"}, {"pathPrefix", "/" + name + "/"},
            {"service", service},     {"kind", kind},           {"timeoutMs", streamTimeLimitMs},
            {"targetLatencyMs", 500}, {"priority", 1},          {"attempts", 2}};
    if (isResumable)
        route["resumable"] = true;
    return route;
}

} // namespace

fleet::fleet(fleet_options given)
    : options(std::move(given)), net(ownNet()), store(storeConnections)
{
    for (std::size_t i = 0; i < options.gateways; ++i) {
        gateway_process one;
        one.name = "gateway-" + std::to_string(i);
        one.host = net + std::to_string(10 + i);
        gateways.push_back(std::move(one));
    }
    for (const auto &[service, count] : {std::pair("streams", 4), std::pair("plain", 2)}) {
        for (int i = 0; i < count; ++i) {
            runner_place place;
            place.name = service + std::to_string(i);
            place.service = service;
            place.at = {net + std::to_string(100 + places.size()), runnerPort};
            place.hasProcesses = i % 2 == 1;
            place.zone = static_cast<std::size_t>(i) / 2 % std::size(zones);
            places.push_back(std::move(place));
        }
    }
}

void fleet::start()
{
    putConfig();
    for (runner_place &place : places)
        startRun(place);
    for (gateway_process &one : gateways)
        startGateway(one);
    for (const gateway_process &one : gateways)
        faults::waitUntil(one.name + " is ready", [&one] { return isReady(one); });
}

void fleet::putConfig()
{
    const nlohmann::json config{{"version", 1},
                                {"routes",
                                 {routeOf("resumable", "streaming", "streams", true),
                                  routeOf("stream", "streaming", "streams", false),
                                  routeOf("repeatable", "idempotent", "plain", false),
                                  routeOf("once", "non_idempotent", "plain", false)}},
                                {"services", {{{"name", "streams"}}, {{"name", "plain"}}}},
                                {"limits",
                                 {{"maxHeaderBytes", 16384},
                                  {"maxBodyBytes", 1048576},
                                  {"headerTimeoutMs", 5000},
                                  {"idleTimeoutMs", 10000}}}};
    store.put("config", "main", config.dump());
}

std::string fleet::settingsOf(const gateway_process &one) const
{
    const std::size_t index = static_cast<std::size_t>(&one - gateways.data());
    return "instance = \"" + one.name + "\"\nzone = \"" + zones[index % std::size(zones)]
            + "\"\n[caller]\naddress = \"" + textOf(one.callers()) + "\"\n[readiness]\naddress = \""
            + textOf(one.readiness()) + "\"\n[directory]\naddress = \"" + one.host
            + ":8143\"\nkeep_seconds = 2\n[peer]\naddress = \"" + one.host
            + ":7380\"\nload_address = \"" + one.host
            + ":7395\"\nshare_store_news = true\n[metrics]\naddress = \"" + one.host
            + ":9464\"\n[store]\naddress = \"" + textOf(store.address())
            + "\"\nsettle_ms = 3000\nrunners_ms = 2000\nroutes_ms = 2000\n"
              "[retries]\nshare = 0.2\nextra = 52\n[orders]\nlease_ms = 3000\n[workspaces]\n"
              "[duties]\nkinds = []\n[leave]\nseconds = 8\n";
}

void fleet::startGateway(gateway_process &one)
{
    const std::string file = options.folder + "/" + one.name + ".toml";
    std::ofstream(file) << settingsOf(one);
    std::vector<std::string> command{options.gateway, "gateway", "--settings", file};
    if (&one == gateways.data())
        command.insert(command.begin(),
                       {"/usr/bin/env", "LD_PRELOAD=" + options.refusedLinks,
                        "SOAK_REFUSED_LINKS=" + refusedFile()});
    one.process.reset(); // Its address is free once it has ended.
    one.process = std::make_unique<faults::child_process>(command,
                                                          options.folder + "/" + one.name + ".log");
}

bool fleet::isReady(const gateway_process &one)
{
    const auto deadline = socket_clock::now() + std::chrono::seconds(1);
    auto made = connectTo(one.readiness(), deadline, -1);
    if (!succeeded(made))
        return false;
    connection caller(std::move(valueOf(made)));
    if (!caller.send("GET /api/readiness HTTP/1.1\r\nHost: soak.example\r\n\r\n", deadline))
        return false;
    const auto head = caller.receiveHead(deadline);
    return head && head->status() == 200;
}

std::unique_ptr<faults::child_process> fleet::startRun(runner_place &place, bool servesOn)
{
    place.id = place.name + "-" + std::to_string(++place.runs);
    const auto now = std::chrono::system_clock::now().time_since_epoch();
    place.bornMs = std::chrono::duration_cast<std::chrono::milliseconds>(now).count();
    std::vector<std::string> command{options.ownProgram, "runner", "--id",
                                     place.id,           "--at",   textOf(place.at)};
    if (place.hasProcesses)
        command.emplace_back("--processes");
    if (servesOn)
        command.emplace_back("--serves-on");
    auto before = std::exchange(place.process,
                                std::make_unique<faults::child_process>(
                                        command, options.folder + "/" + place.name + ".runs"));
    putEntry(place, "in_service");
    return before;
}

void fleet::putEntry(const runner_place &place, const std::string &state)
{
    const nlohmann::json entry{{"service", place.service},
                               {"address", textOf(place.at)},
                               {"zone", zones[place.zone]},
                               {"version", 1},
                               {"slots", 64},
                               {"state", state},
                               {"coldLeftMs", 0},
                               {"seq", state == "in_service" ? 1 : 2},
                               {"born", place.bornMs}};
    store.put("servers", place.id, entry.dump());
}

void fleet::setRefusedLinks(bool areRefused) const
{
    if (areRefused)
        std::ofstream(refusedFile()) << "refused\n";
    else
        std::filesystem::remove(refusedFile());
}

} // namespace poplarspool::soak
