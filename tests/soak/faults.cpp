#include "soak/faults.h"

#include <csignal>
#include <iostream>
#include <memory>
#include <thread>

namespace poplarspool::soak {

namespace {

constexpr std::uint32_t outlivingTimesMs[] = {10, 50, 100, 300, 1000, 2000};
/// From the end of a run until the next one serves at its address.
constexpr milliseconds downTime{1000};
constexpr milliseconds freezeTime{2250};
constexpr milliseconds leaveTime{300};
/// Not in a mix: the run goes on, and nothing that is sent tells the end of an answer of a process
/// that was killed from the end of a whole one.
constexpr char partOfRun[] = "part-of-run";
constexpr milliseconds refusedTime{8000};
/// After a fault, until its effects on the gateways are over.
constexpr milliseconds settleTime{2000};
constexpr milliseconds readyPollTime{100};
constexpr milliseconds faultPause{2000};
/// In a mix, since the faults of all kinds overlap.
constexpr milliseconds mixedFaultPause{8000};
constexpr milliseconds retryPause{300};

} // namespace

void schedule::after(milliseconds delay, std::function<void()> step)
{
    steps.emplace(std::chrono::steady_clock::now() + delay, std::move(step));
}

void schedule::runUntil(steady_time end)
{
    while (true) {
        const bool hasStep = !steps.empty() && steps.begin()->first < end;
        std::this_thread::sleep_until(hasStep ? steps.begin()->first : end);
        if (!hasStep)
            return;
        const auto step = std::move(steps.extract(steps.begin()).mapped());
        step();
    }
}

fault_series::fault_series(fleet &processes, std::uint64_t seed)
    : processes(processes), random(seed)
{ }

const std::map<std::string, fault_series::strike> &fault_series::strikes()
{
    static const std::map<std::string, strike> all{
            {"kill", &fault_series::killRun},
            {"outlive", &fault_series::killRunBeforeListener},
            {"successor", &fault_series::replaceRun},
            {"leave", &fault_series::leave},
            {"freeze", &fault_series::freezeGateway},
            {"carrier-kill", &fault_series::killCarrier},
            {"carrier-drain", &fault_series::drainCarrier},
            {"refused-links", &fault_series::refuseLinks},
            {partOfRun, &fault_series::killPartOfRun}};
    return all;
}

std::vector<std::string> fault_series::kinds()
{
    std::vector<std::string> names;
    for (const auto &[name, one] : strikes())
        names.push_back(name);
    return names;
}

void fault_series::run(const std::string &kind, std::uint32_t givenOutliveMs, milliseconds time)
{
    outliveMs = givenOutliveMs;
    kindPause = kind == "mixed" ? mixedFaultPause : faultPause;
    end = std::chrono::steady_clock::now() + time;
    if (kind.starts_with("carrier-"))
        processes.setRefusedLinks(true);
    if (kind == "mixed") {
        for (const auto &[name, one] : strikes()) {
            if (name != partOfRun)
                repeat(name, kindPause);
        }
    } else if (kind != "none") {
        repeat(kind, kindPause);
    }
    steps.runUntil(end);
}

/// Strikes now and then, on average every one and a half pauses.
void fault_series::repeat(const std::string &kind, milliseconds pause)
{
    const auto most = static_cast<std::uint32_t>(2 * pause.count());
    steps.after(between(static_cast<std::uint32_t>(pause.count()), most), [this, kind] {
        if ((this->*strikes().at(kind))())
            repeat(kind, kindPause);
        else // All that it could use is disturbed.
            repeat(kind, retryPause);
    });
}

bool fault_series::killRun()
{
    runner_place *place = choosePlace();
    if (place == nullptr)
        return false;
    note("kill " + place->id);
    place->process->kill();
    restoreRun(*place);
    return true;
}

bool fault_series::killRunBeforeListener()
{
    runner_place *place = choosePlace(true);
    if (place == nullptr)
        return false;
    const std::uint32_t outlives =
            outliveMs > 0 ? outliveMs : outlivingTimesMs[random() % std::size(outlivingTimesMs)];
    note("outlive " + place->id + " ms=" + std::to_string(outlives));
    place->process->send(SIGUSR1);
    steps.after(milliseconds(outlives), [this, place] {
        place->process->kill();
        restoreRun(*place);
    });
    return true;
}

bool fault_series::killPartOfRun()
{
    runner_place *place = choosePlace(true);
    if (place == nullptr)
        return false;
    note("part-of-run " + place->id);
    place->process->send(SIGHUP);
    place->isDisturbed = false;
    return true;
}

bool fault_series::replaceRun()
{
    runner_place *place = choosePlace();
    if (place == nullptr)
        return false;
    const std::string gone = place->id;
    const std::shared_ptr<faults::child_process> before = processes.startRun(*place);
    note("successor " + gone + " by " + place->id);
    // The successor waits for the address.
    steps.after(between(30, 100), [this, place, before, gone] {
        before->kill();
        disturb(settleTime);
        steps.after(between(0, 1000), [this, place, gone] {
            processes.removeEntry(gone);
            place->isDisturbed = false;
        });
    });
    return true;
}

bool fault_series::leave()
{
    runner_place *place = choosePlace();
    if (place == nullptr)
        return false;
    note("leave " + place->id);
    processes.putEntry(*place, "draining");
    place->process->send(SIGUSR2);
    steps.after(leaveTime, [this, place] {
        place->process->terminate();
        restoreRun(*place);
    });
    return true;
}

/// A run dies while a gateway is frozen; in half of the cases another one is at its address when
/// the gateway goes on.
bool fault_series::freezeGateway()
{
    gateway_process *one = chooseGateway(0);
    if (one == nullptr)
        return false;
    note("freeze " + one->name);
    disturb(freezeTime);
    one->process->freeze();
    steps.after(between(50, 400), [this] {
        if (random() % 2 == 0)
            killRun();
        else
            replaceRun();
    });
    steps.after(freezeTime, [this, one] {
        one->process->unfreeze();
        one->isDisturbed = false;
        disturb(settleTime);
    });
    return true;
}

bool fault_series::killCarrier()
{
    gateway_process *one = chooseGateway(1);
    if (one == nullptr)
        return false;
    note("carrier-kill " + one->name);
    one->process->kill();
    restartGateway(*one);
    return true;
}

bool fault_series::drainCarrier()
{
    gateway_process *one = chooseGateway(1);
    if (one == nullptr)
        return false;
    note("carrier-drain " + one->name);
    one->process->terminate();
    restartGateway(*one);
    return true;
}

bool fault_series::refuseLinks()
{
    note("refused-links");
    disturb(refusedTime);
    processes.setRefusedLinks(true);
    steps.after(refusedTime, [this] { processes.setRefusedLinks(false); });
    return true;
}

/// @returns An undisturbed place whose service keeps another one; null if there is none.
runner_place *fault_series::choosePlace(bool needsProcesses)
{
    const auto isFree = [](const runner_place &one) { return !one.isDisturbed; };
    std::vector<runner_place *> possible;
    for (runner_place &one : processes.places) {
        const auto others = std::ranges::count_if(processes.places, [&](const auto &other) {
            return &other != &one && other.service == one.service && isFree(other);
        });
        if (isFree(one) && others > 0 && (one.hasProcesses || !needsProcesses))
            possible.push_back(&one);
    }
    if (possible.empty())
        return nullptr;
    runner_place *chosen = possible[random() % possible.size()];
    chosen->isDisturbed = true;
    return chosen;
}

/// @returns An undisturbed gateway from that index on; null if another one is disturbed.
gateway_process *fault_series::chooseGateway(std::size_t from)
{
    for (const gateway_process &one : processes.gateways) {
        if (one.isDisturbed)
            return nullptr;
    }
    gateway_process &chosen =
            processes.gateways[from + random() % (processes.gateways.size() - from)];
    chosen.isDisturbed = true;
    return &chosen;
}

/// Another run begins after a while at the place of one that has ended.
void fault_series::restoreRun(runner_place &place)
{
    disturb(downTime + settleTime);
    steps.after(downTime, [this, &place] {
        processes.removeEntry(place.id);
        processes.startRun(place, random() % 2 == 0);
        place.isDisturbed = false;
    });
}

void fault_series::restartGateway(gateway_process &one)
{
    disturb(downTime);
    // One that drains is given the time for its callers; its restart waits until it is no longer
    // ready.
    constexpr milliseconds drainTime{8000};
    const auto drainedAt = std::chrono::steady_clock::now() + drainTime;
    const auto poll = std::make_shared<std::function<void()>>();
    *poll = [this, &one, drainedAt, poll] {
        if (!one.process->hasEnded() && std::chrono::steady_clock::now() < drainedAt) {
            disturb(settleTime);
            steps.after(readyPollTime, *poll);
            return;
        }
        processes.startGateway(one);
        steps.after(between(2000, 4000), [this, &one] {
            one.isDisturbed = false;
            disturb(settleTime);
        });
    };
    steps.after(downTime, *poll);
}

void fault_series::note(const std::string &text)
{
    ++struck[text.substr(0, text.find(' '))];
    std::cout << "fault " << text << std::endl;
    disturb(settleTime);
}

void fault_series::disturb(milliseconds time)
{
    const auto now = std::chrono::steady_clock::now();
    disturbed.emplace_back(now, now + time);
}

milliseconds fault_series::between(std::uint32_t least, std::uint32_t most)
{
    return milliseconds(least + random() % (most - least + 1));
}

} // namespace poplarspool::soak
