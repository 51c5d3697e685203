#include "node/order_writer.h"

#include "poplarspool/base/hash.h"
#include "poplarspool/config.h"
#include "poplarspool/operators/config_store.h"

#include <algorithm>
#include <utility>

namespace poplarspool::node {

namespace {

using std::ranges::find;

bool contains(const std::vector<policy::model_version> &models, const policy::model_version &one)
{
    return find(models, one) != models.end();
}

} // namespace

std::string orderNonceOf(const order_record &record)
{
    order_record order = record;
    order.phase = order_phase::Open;
    order.nonce.clear();
    order.writer.text.clear();
    order.wallMs = 0;
    return sha256Hex(textOf(order));
}

order_writer::order_writer(order_tools &tools, runner_id runner)
    : tools(tools), runner(std::move(runner)),
      key(operators::orderKey(tools.deployment, this->runner.text))
{
    present.runner = this->runner;
}

void order_writer::adopt(const order_record &record, std::uint64_t version)
{
    known = true;
    if (version == presentVersion)
        return;
    const bool isSameOrder = record.fence == present.fence && record.wanted == present.wanted;
    present = record;
    presentVersion = version;
    const bool isOwn = window && window->nonce == record.nonce;
    if (!isOwn) {
        window.reset();
        drainBegan.reset();
        idle.reset();
    }
    if (!isSameOrder)
        sent.reset();
    // Another's window is counted from before its write, so before this first sight of it.
    if (!isOwn && record.phase == order_phase::Open)
        unsafeUntil = tools.clock.mono() + config::orderWindow + config::orderMargin;
    if (record.phase != order_phase::Settled)
        emit("order_found");
}

void order_writer::adoptNone()
{
    known = true;
}

void order_writer::emit(std::string_view event)
{
    tools.metrics.counterOf("poplarspool_orders_total{event=\"" + std::string(event) + "\"}").add();
    tools.events.emit(event,
                      {{"runner", runner.text},
                       {"fence", std::to_string(present.fence)},
                       {"role", std::string(policy::nameOf(present.wanted.role))},
                       {"version", std::to_string(presentVersion)}});
}

bool order_writer::writeRecord(order_record next)
{
    next.writer = tools.self;
    next.wallMs = tools.clock.wall().time_since_epoch().count();
    const auto deadline = tools.clock.mono() + config::storeCallTime;
    const auto version = tools.store.put(key, textOf(next), presentVersion, deadline);
    if (succeeded(version)) {
        present = std::move(next);
        presentVersion = valueOf(version);
        return true;
    }
    // Only a write that was truly not run and met no other leaves the record as it is known here.
    const error &fault = errorOf(version);
    known = fault.ran == verdict::NotRun && fault.code != error_code::Conflict;
    return false;
}

bool order_writer::write(order_phase phase)
{
    order_record next = present;
    next.phase = phase;
    next.nonce = randomHex128();
    return writeRecord(std::move(next));
}

bool order_writer::hasWeights(const policy::wanted_engine &wanted, const policy::load_report &seen)
{
    for (const policy::model_version &each : wanted.models) {
        if (contains(seen.models, each))
            continue;
        const auto manifest = tools.weights.manifest(each.model, each.version);
        if (succeeded(manifest))
            continue;
        const auto wait = errorOf(manifest).retryAfter.value_or(config::orderHoldTime);
        holdUntil = tools.clock.mono() + wait;
        tools.events.emit("order_weights_missing",
                          {{"runner", runner.text},
                           {"model", each.model},
                           {"version", each.version},
                           {"code", std::string(nameOf(errorOf(manifest).code))}});
        return false;
    }
    return true;
}

// The weight store is asked before the engine is drained: it limits its rate, and an engine that
// waited drained for it would be lost to callers meanwhile.
bool order_writer::mayBegin(const policy::wanted_engine &wanted, const policy::load_report &seen)
{
    return known && !isBusy() && tools.clock.mono() >= holdUntil && hasWeights(wanted, seen);
}

void order_writer::begin(const policy::wanted_engine &wanted, const policy::load_report &seen)
{
    if (!mayBegin(wanted, seen))
        return;
    order_record next = present;
    next.fence = std::max({present.fence, seen.lastFence, fenceFloor}) + 1;
    next.phase = order_phase::Draining;
    next.wanted = wanted;
    next.nonce = randomHex128();
    window.reset();
    sent.reset();
    idle.reset();
    drainBegan.reset();
    if (writeRecord(std::move(next)))
        emit("order_draining");
}

void order_writer::step(const policy::runner_spec &spec, milliseconds drainTime)
{
    if (!known)
        return;
    if (present.phase == order_phase::Draining)
        stepDraining(spec, drainTime);
    if (known && present.phase == order_phase::Open)
        stepOpen(spec);
}

// An engine says that it is idle with a lag, so one report may be older than the last request that
// was sent to it; an order on the strength of it would cut that request. Nothing new is sent once
// all instances have applied the reservation, so an idle engine that stays idle for longer than the
// lag has nothing left.
bool order_writer::isIdle(const policy::runner_spec &spec)
{
    const std::optional<idle_sight> before = std::exchange(idle, std::nullopt);
    if (!tools.appliedEverywhere(presentVersion))
        return false;
    const auto report = tools.load(spec.address);
    if (!succeeded(report))
        return false;
    const policy::load_report &seen = valueOf(report);
    if (seen.running != 0 || seen.queued != 0 || seen.isChanging)
        return false;
    const mono_time now = tools.clock.mono();
    const bool goesOn = before && before->life == seen.life;
    idle = goesOn ? *before : idle_sight{seen.life, now};
    return now - idle->since >= config::orderIdleTime;
}

void order_writer::stepDraining(const policy::runner_spec &spec, milliseconds drainTime)
{
    const mono_time now = tools.clock.mono();
    if (!drainBegan)
        drainBegan = now;
    if (isIdle(spec)) {
        openWindow();
        return;
    }
    if (now - *drainBegan < drainTime)
        return;
    // Nothing was sent under this number, and nothing will be: Open is written only on top of the
    // version that this write replaces.
    holdUntil = now + config::orderHoldTime;
    settle("order_withdrawn");
}

bool order_writer::hasWindow() const
{
    return window && window->nonce == present.nonce && tools.clock.mono() < window->end;
}

/// Writes Open, for the first time or to get a new window for the same order.
bool order_writer::openWindow()
{
    order_record next = present;
    next.phase = order_phase::Open;
    next.nonce = randomHex128();
    // Counted from before the write: whoever sees the record can only see it later.
    window = send_window{next.nonce, tools.clock.mono() + config::orderWindow};
    if (!writeRecord(std::move(next)))
        return false;
    emit("order_open");
    return true;
}

bool order_writer::hasReached(const policy::runner_spec &spec,
                              const policy::load_report &report) const
{
    const bool knowsFence = !spec.checksFence || report.lastFence >= present.fence;
    const auto isLoaded = [&](const policy::model_version &each) {
        return contains(report.models, each);
    };
    return knowsFence && !report.isChanging && report.role == present.wanted.role
            && std::ranges::all_of(present.wanted.models, isLoaded);
}

bool order_writer::isSendDue(const policy::load_report &report) const
{
    // A crash in the middle of a change loses the order: the new life gets it again.
    if (!sent || report.life != sent->life)
        return true;
    return !report.isChanging && tools.clock.mono() - sent->at >= config::orderResendTime;
}

void order_writer::stepOpen(const policy::runner_spec &spec)
{
    const auto report = tools.load(spec.address);
    if (!succeeded(report))
        return;
    // An order that arrives late, after the engine is back in service, cuts what runs there: one
    // that ignores fencing numbers obeys it even after the next order, and one that checks them may
    // have restarted without its number. So no order is settled while a copy may still arrive, and
    // one of an engine that ignores numbers is not taken over either.
    const bool isQuiet = tools.clock.mono() >= unsafeUntil;
    if (hasReached(spec, valueOf(report))) {
        if (isQuiet)
            settle("order_settled");
        return;
    }
    if (!isSendDue(valueOf(report)))
        return;
    if (!hasWindow() && (spec.checksFence || isQuiet))
        openWindow();
    if (hasWindow())
        send(spec, valueOf(report));
}

void order_writer::send(const policy::runner_spec &spec, const policy::load_report &report)
{
    const mono_time end = window->end;
    sent = sent_order{report.life, tools.clock.mono()};
    fenceFloor = std::max(fenceFloor, report.lastFence);
    emit("order_sent");
    const runner::engine_order order{present.fence, orderNonceOf(present), present.wanted};
    const auto outcome = tools.send(spec.address, order, end);
    if (!succeeded(outcome))
        onSendFailed(errorOf(outcome));
}

void order_writer::onSendFailed(const error &fault)
{
    tools.events.emit("order_unanswered",
                      {{"runner", runner.text},
                       {"fence", std::to_string(present.fence)},
                       {"code", std::string(nameOf(fault.code))},
                       {"verdict", std::string(nameOf(fault.ran))}});
    if (fault.code == error_code::Stale) {
        // The engine has obeyed a higher number, so it will never obey this one.
        fenceFloor = std::max(fenceFloor, present.fence);
        settle("order_stale");
        return;
    }
    if (fault.ran == verdict::MayHaveRun)
        unsafeUntil = std::max(unsafeUntil, window->end + config::orderMargin);
}

void order_writer::settle(std::string_view event)
{
    // The write may take effect after we gave up on its answer. With the window still open this
    // order could then be sent once more, after a successor saw it settled and sent the next one.
    window.reset();
    if (write(order_phase::Settled))
        emit(event);
}

} // namespace poplarspool::node
