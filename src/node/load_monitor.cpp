#include "node/load_monitor.h"

#include "poplarspool/base/bounded_json.h"
#include "poplarspool/node/limits.h"
#include "poplarspool/policy/role_owner.h"

#include <nlohmann/json.hpp>

namespace poplarspool::node {

namespace {

using json = nlohmann::json;

/// @returns Whether this instance polls that runner: it has the highest rendezvous weight among the
///          live instances of the runner's zone, or among all if the zone has none.
bool isPollerOf(const policy::view &now, const instance_id &self, const policy::runner_spec &spec)
{
    const policy::member *owner = policy::ownerOf(now.members, "poll/" + spec.id.text, spec.zone);
    return !owner || owner->id == self;
}

} // namespace

std::string textOf(const load_rumor &load)
{
    const policy::load_report &report = load.report;
    json models = json::array();
    for (const policy::model_version &entry : report.models)
        models.push_back({entry.model, entry.version});
    const json text = {load.isUp,
                       report.incarnation,
                       report.sequence,
                       static_cast<int>(report.role),
                       report.isChanging,
                       report.running,
                       report.queued,
                       report.kvPiecesUsed,
                       report.kvPiecesTotal,
                       report.prefillTokensQueued,
                       report.lastFence,
                       models};
    return text.dump();
}

result<load_rumor> parseLoadRumor(std::string_view text)
{
    const json parsed = parseJson(text);
    try {
        load_rumor load;
        load.isUp = parsed.at(0).get<bool>();
        load.report.incarnation = parsed.at(1).get<incarnation_number>();
        load.report.sequence = parsed.at(2).get<std::uint64_t>();
        const int role = parsed.at(3).get<int>();
        if (role < 0 || role > static_cast<int>(policy::engine_role::Decode))
            return notRun(error_code::Broken, "load rumor has an unknown role");
        load.report.role = static_cast<policy::engine_role>(role);
        load.report.isChanging = parsed.at(4).get<bool>();
        load.report.running = parsed.at(5).get<std::uint32_t>();
        load.report.queued = parsed.at(6).get<std::uint32_t>();
        load.report.kvPiecesUsed = parsed.at(7).get<std::uint32_t>();
        load.report.kvPiecesTotal = parsed.at(8).get<std::uint32_t>();
        load.report.prefillTokensQueued = parsed.at(9).get<std::uint64_t>();
        load.report.lastFence = parsed.at(10).get<std::uint64_t>();
        for (const json &entry : parsed.at(11))
            load.report.models.push_back(
                    {entry.at(0).get<std::string>(), entry.at(1).get<std::string>()});
        return load;
    } catch (const json::exception &failure) {
        return notRun(error_code::Broken, failure.what());
    }
}

load_monitor::load_monitor(load_monitor_dependencies dependencies, view_publisher &views,
                           sent_work_table &sentWork, runner::engine_api engines,
                           runner::service_api services, clock_source clock,
                           metrics_registry &metrics, journal &events)
    : dependencies(std::move(dependencies)), views(views), sentWork(sentWork),
      engines(std::move(engines)), services(std::move(services)), clock(std::move(clock)),
      events(events), polls(metrics.counterOf("poplarspool_runner_polls_total"))
{ }

load_monitor::~load_monitor()
{
    stop();
}

void load_monitor::start()
{
    poller = std::thread([this] { loop(); });
}

void load_monitor::stop()
{
    {
        const std::lock_guard lock(guard);
        isStopping = true;
    }
    wake.notify_all();
    if (poller.joinable())
        poller.join();
}

void load_monitor::onRumor(const peer::rumor &rumor)
{
    const auto load = parseLoadRumor(rumor.payload);
    if (!succeeded(load))
        return;
    const runner_id runner{rumor.key.substr(loadRumorPrefix.size())};
    const std::lock_guard lock(guard);
    received[runner] = {valueOf(load), clock.mono()};
}

void load_monitor::loop()
{
    for (;;) {
        pollAll();
        publish();
        std::unique_lock lock(guard);
        wake.wait_for(lock, dependencies.pollTime, [this] { return isStopping; });
        if (isStopping)
            return;
    }
}

void load_monitor::pollAll()
{
    const policy::view_ptr now = views.current();
    if (!now->fleet)
        return;
    for (std::size_t i = 0; i < now->fleet->runners.size(); ++i) {
        if (isPollerOf(*now, dependencies.self, now->fleet->runners[i]))
            pollOne(*now, i);
    }
}

void load_monitor::pollOne(const policy::view &now, std::size_t index)
{
    const policy::runner_spec &spec = now.fleet->runners[index];
    const policy::pool_spec *pool = policy::findPool(*now.fleet, spec.pool);
    const bool isEngine = pool && pool->kind == policy::runner_kind::Engine;
    polls.add();
    const auto report = isEngine ? engines.load(spec.address) : services.load(spec.address);
    poll_state &state = pollStates[spec.id];
    state.failures = succeeded(report) ? 0 : state.failures + 1;
    load_rumor load = state.announced;
    if (succeeded(report))
        load = {true, valueOf(report)};
    else if (state.failures >= config::pollFailuresToDown)
        load.isUp = false;
    else
        return;
    {
        const std::lock_guard lock(guard);
        received[spec.id] = {load, clock.mono()};
    }
    announce(spec.id, load);
}

/// Spreads changed load, at most once in minLoadRumorInterval: gossip has little bandwidth beyond
/// that, and rumors above it would all be delayed. Changes that take a runner out of service, or
/// back into it, are spread at once.
void load_monitor::announce(const runner_id &runner, const load_rumor &load)
{
    poll_state &state = pollStates[runner];
    load_rumor withSameSequence = load;
    withSameSequence.report.sequence = state.announced.report.sequence;
    const mono_time now = clock.mono();
    const milliseconds age = std::chrono::duration_cast<milliseconds>(now - state.announcedAt);
    const bool isUrgent = load.isUp != state.announced.isUp
            || load.report.isChanging != state.announced.report.isChanging
            || load.report.incarnation != state.announced.report.incarnation;
    const milliseconds pause = withSameSequence == state.announced
            ? config::loadRumorRefreshInterval
            : config::minLoadRumorInterval;
    if (!isUrgent && age < pause)
        return;
    if (load.isUp != state.announced.isUp)
        events.emit(load.isUp ? "runner_up" : "runner_down", {{"runner", runner.text}});
    state.announced = load;
    state.announcedAt = now;
    const auto version = static_cast<std::uint64_t>(clock.wall().time_since_epoch().count());
    dependencies.spread({std::string(loadRumorPrefix) + runner.text, version, textOf(load)});
}

void load_monitor::publish()
{
    std::map<runner_id, std::pair<load_rumor, mono_time>> updates;
    {
        const std::lock_guard lock(guard);
        updates.swap(received);
    }
    if (updates.empty())
        return;
    const policy::view_ptr after = views.update([&](policy::view &draft) {
        if (!draft.fleet)
            return false;
        for (const auto &[runner, entry] : updates) {
            const runner_handle handle = policy::findRunner(*draft.fleet, runner);
            if (!handle.isValid())
                continue;
            policy::runner_state &state = draft.runners[handle.index];
            state.health =
                    entry.first.isUp ? policy::runner_health::Up : policy::runner_health::Down;
            state.report = entry.first.report;
            state.reportedAt = entry.second;
        }
        return true;
    });
    if (!after->fleet)
        return;
    for (const auto &[runner, entry] : updates) {
        const runner_handle handle = policy::findRunner(*after->fleet, runner);
        if (handle.isValid())
            sentWork.onReport(*after, handle);
    }
}

} // namespace poplarspool::node
