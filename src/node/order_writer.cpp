#include "node/order_writer.h"

#include "poplarspool/base/hash.h"
#include "poplarspool/base/limits.h"
#include "poplarspool/node/limits.h"
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

order_writer::order_writer(order_context &context, runner_id runner)
    : context(context), runner(std::move(runner)),
      key(operators::orderKey(context.deployment, this->runner.text))
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
        drainStartedAt.reset();
        idle.reset();
    }
    if (!isSameOrder)
        sent.reset();
    // Another writer's window is counted from before its write, so from before the record is first
    // seen here.
    if (!isOwn && record.phase == order_phase::Open)
        inFlightUntil = context.clock.mono() + config::orderWindow + config::orderMargin;
    if (record.phase != order_phase::Settled)
        emit("order_found");
}

void order_writer::adoptMissing()
{
    known = true;
}

void order_writer::emit(std::string_view event)
{
    context.metrics.counterOf("poplarspool_orders_total{event=\"" + std::string(event) + "\"}")
            .add();
    context.events.emit(event,
                        {{"runner", runner.text},
                         {"fence", std::to_string(present.fence)},
                         {"role", std::string(policy::nameOf(present.wanted.role))},
                         {"version", std::to_string(presentVersion)}});
}

bool order_writer::writeRecord(order_record next)
{
    next.writer = context.self;
    next.wallMs = context.clock.wall().time_since_epoch().count();
    const auto deadline = context.clock.mono() + config::storeCallTimeout;
    const auto version = context.store.put(key, textOf(next), presentVersion, deadline);
    if (succeeded(version)) {
        present = std::move(next);
        presentVersion = valueOf(version);
        return true;
    }
    // The record is still as known here only if the write certainly did not run and did not
    // conflict with another.
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
        const auto manifest = context.weights.manifest(each.model, each.version);
        if (succeeded(manifest))
            continue;
        const auto wait = errorOf(manifest).retryAfter.value_or(config::orderHoldTime);
        backoffUntil = context.clock.mono() + wait;
        context.events.emit("order_weights_missing",
                            {{"runner", runner.text},
                             {"model", each.model},
                             {"version", each.version},
                             {"code", std::string(nameOf(errorOf(manifest).code))}});
        return false;
    }
    return true;
}

// The weight store is queried before the engine is drained: the store limits its call rate, and an
// engine that waited for it while drained would serve no callers meanwhile.
bool order_writer::mayBegin(const policy::wanted_engine &wanted, const policy::load_report &seen)
{
    return known && !isBusy() && context.clock.mono() >= backoffUntil && hasWeights(wanted, seen);
}

void order_writer::begin(const policy::wanted_engine &wanted, const policy::load_report &seen)
{
    if (!mayBegin(wanted, seen))
        return;
    order_record next = present;
    next.fence = std::max({present.fence, seen.lastFence, highestSeenFence}) + 1;
    next.phase = order_phase::Draining;
    next.wanted = wanted;
    next.nonce = randomHex128();
    window.reset();
    sent.reset();
    idle.reset();
    drainStartedAt.reset();
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

// An engine's reports lag behind, so one idle report may be older than the last request sent to it;
// an order sent on that basis would abort the request. No new work is sent once all instances have
// applied the reservation, so an engine that stays idle for longer than the lag has no work left.
bool order_writer::isIdle(const policy::runner_spec &spec)
{
    const std::optional<idle_observation> before = std::exchange(idle, std::nullopt);
    if (!context.appliedEverywhere(presentVersion))
        return false;
    const auto report = context.load(spec.address);
    if (!succeeded(report))
        return false;
    const policy::load_report &seen = valueOf(report);
    if (seen.running != 0 || seen.queued != 0 || seen.isChanging)
        return false;
    const mono_time now = context.clock.mono();
    const bool isContinued = before && before->engineIncarnation == seen.incarnation;
    idle = isContinued ? *before : idle_observation{seen.incarnation, now};
    return now - idle->since >= config::requiredIdleTime;
}

void order_writer::stepDraining(const policy::runner_spec &spec, milliseconds drainTime)
{
    const mono_time now = context.clock.mono();
    if (!drainStartedAt)
        drainStartedAt = now;
    if (isIdle(spec)) {
        openWindow();
        return;
    }
    if (now - *drainStartedAt < drainTime)
        return;
    // No order was sent under this fencing token, and none will be: Open is only written over the
    // version that this write replaces.
    backoffUntil = now + config::orderHoldTime;
    settle("order_withdrawn");
}

bool order_writer::hasWindow() const
{
    return window && window->nonce == present.nonce && context.clock.mono() < window->end;
}

/// Writes phase Open, either for the first time or to get a new send window for the same order.
bool order_writer::openWindow()
{
    order_record next = present;
    next.phase = order_phase::Open;
    next.nonce = randomHex128();
    // Counted from before the write: other instances can see the record only later.
    window = send_window{next.nonce, context.clock.mono() + config::orderWindow};
    if (!writeRecord(std::move(next)))
        return false;
    emit("order_open");
    return true;
}

bool order_writer::hasApplied(const policy::runner_spec &spec,
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
    // A crash during the change loses the order, so the engine's new incarnation is sent the order
    // again.
    if (!sent || report.incarnation != sent->engineIncarnation)
        return true;
    return !report.isChanging && context.clock.mono() - sent->at >= config::orderResendInterval;
}

void order_writer::stepOpen(const policy::runner_spec &spec)
{
    const auto report = context.load(spec.address);
    if (!succeeded(report))
        return;
    // An order that arrives late, after the engine is back in service, aborts the work that runs
    // there. An engine that ignores fencing tokens applies it even after the next order, and one
    // that checks them may have restarted without its token. So no order is settled while a copy
    // may still arrive, and an order to an engine that ignores fencing tokens is not taken over
    // during that time either.
    const bool isNoneInFlight = context.clock.mono() >= inFlightUntil;
    if (hasApplied(spec, valueOf(report))) {
        if (isNoneInFlight)
            settle("order_settled");
        return;
    }
    if (!isSendDue(valueOf(report)))
        return;
    if (!hasWindow() && (spec.checksFence || isNoneInFlight))
        openWindow();
    if (hasWindow())
        send(spec, valueOf(report));
}

void order_writer::send(const policy::runner_spec &spec, const policy::load_report &report)
{
    const mono_time end = window->end;
    sent = sent_order{report.incarnation, context.clock.mono()};
    highestSeenFence = std::max(highestSeenFence, report.lastFence);
    emit("order_sent");
    const runner::engine_order order{present.fence, orderNonceOf(present), present.wanted};
    const auto outcome = context.send(spec.address, order, end);
    if (!succeeded(outcome))
        onSendFailed(errorOf(outcome));
}

void order_writer::onSendFailed(const error &fault)
{
    context.events.emit("order_unanswered",
                        {{"runner", runner.text},
                         {"fence", std::to_string(present.fence)},
                         {"code", std::string(nameOf(fault.code))},
                         {"verdict", std::string(nameOf(fault.ran))}});
    if (fault.code == error_code::Stale) {
        // The engine has accepted a higher fencing token, so it will never apply this order.
        highestSeenFence = std::max(highestSeenFence, present.fence);
        settle("order_stale");
        return;
    }
    if (fault.ran == verdict::MayHaveRun)
        inFlightUntil = std::max(inFlightUntil, window->end + config::orderMargin);
}

void order_writer::settle(std::string_view event)
{
    // The write may take effect after its answer was given up on. If the send window were still
    // open, this order could then be sent once more, after a successor saw it settled and sent the
    // next one.
    window.reset();
    if (write(order_phase::Settled))
        emit(event);
}

} // namespace poplarspool::node
