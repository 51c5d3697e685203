#pragma once

#include "poplarspool/base/clock.h"
#include "poplarspool/base/journal.h"
#include "poplarspool/base/metrics.h"
#include "poplarspool/node/orders.h"
#include "poplarspool/platform/object_store.h"
#include "poplarspool/platform/weight_store.h"
#include "poplarspool/runner/engine.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

/// Writes the order record of one engine and takes it through its phases step by step. No member
/// function blocks for longer than one call to the store, the weight store or the engine. See
/// docs/design/orders.md.
namespace poplarspool::node {

/// Shared by all order writers of one planner.
struct order_context
{
    instance_id self;
    std::string deployment;
    std::function<bool(std::uint64_t version)> appliedEverywhere;
    platform::object_store &store;
    platform::weight_store weights;
    std::function<result<policy::load_report>(const endpoint &)> load;
    /// Sends one order. No byte of it may be sent after `windowEnd`.
    std::function<result<unit>(const endpoint &, const runner::engine_order &, mono_time windowEnd)>
            send;
    clock_source clock;
    metrics_registry &metrics;
    journal &events;
};

class order_writer
{
public:
    order_writer(order_context &context, runner_id runner);

    /// Adopts the record that the store holds.
    void adopt(const order_record &record, std::uint64_t version);
    /// Marks the engine as having no record in the store.
    void adoptMissing();

    /// @returns False if the record must be read, or read again, first.
    bool isKnown() const { return known; }
    /// @returns Whether an order is in progress.
    bool isBusy() const { return known && present.phase != order_phase::Settled; }
    std::uint64_t version() const { return presentVersion; }

    /// Begins an order by reserving the engine, if no order is in progress and the weights are
    /// available.
    /// @param seen The engine's latest report.
    void begin(const policy::wanted_engine &wanted, const policy::load_report &seen);

    /// Advances the order in progress, if any, by one step.
    void step(const policy::runner_spec &spec, milliseconds drainTime);

private:
    /// Authority to send the current order.
    struct send_window
    {
        std::string nonce; ///< Nonce of the write that granted it.
        mono_time end;
    };

    /// The first of consecutive idle reports: incarnation of the engine, and when it was received.
    struct idle_observation
    {
        incarnation_number engineIncarnation = 0;
        mono_time since;
    };

    struct sent_order
    {
        /// Incarnation of the engine before the order was sent.
        incarnation_number engineIncarnation = 0;
        mono_time at;
    };

    bool write(order_phase phase);
    bool writeRecord(order_record next);
    bool mayBegin(const policy::wanted_engine &wanted, const policy::load_report &seen);
    bool hasWeights(const policy::wanted_engine &wanted, const policy::load_report &seen);
    void stepDraining(const policy::runner_spec &spec, milliseconds drainTime);
    void stepOpen(const policy::runner_spec &spec);
    bool isIdle(const policy::runner_spec &spec);
    bool hasApplied(const policy::runner_spec &spec, const policy::load_report &report) const;
    bool isSendDue(const policy::load_report &report) const;
    bool hasWindow() const;
    bool openWindow();
    void send(const policy::runner_spec &spec, const policy::load_report &report);
    void onSendFailed(const error &fault);
    void settle(std::string_view event);
    void emit(std::string_view event);

    order_context &context;
    const runner_id runner;
    const std::string key;

    bool known = false;
    order_record present;
    std::uint64_t presentVersion = platform::mustNotExist;

    std::optional<send_window> window;
    /// Until this time an order sent by this writer or an earlier one may still arrive.
    mono_time inFlightUntil{};
    std::optional<mono_time> drainStartedAt;
    std::optional<idle_observation> idle;
    std::optional<sent_order> sent;
    /// Highest fencing token that the engine is known to have seen.
    std::uint64_t highestSeenFence = 0;
    mono_time backoffUntil{};
};

/// @returns The nonce that identifies one order to the engine. It is the same for every sender and
///          every repetition, and differs if the wanted state differs.
std::string orderNonceOf(const order_record &record);

} // namespace poplarspool::node
