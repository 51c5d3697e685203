#include "role_split.h"

#include "engine_estimate.h"
#include "poplarspool/policy/limits.h"

#include <algorithm>
#include <array>

namespace poplarspool::policy {

namespace {

constexpr std::array roles{engine_role::Mixed, engine_role::Prefill, engine_role::Decode};

/// Demand in engine seconds per second, for an engine in the mixed role.
struct work_rate
{
    double prefill = 0;
    double decode = 0;
};

/// Loss if each request is served by a single engine: the engines can serve `served` times the
/// demand.
double lossSingleEngine(const role_split &split, const work_rate &work)
{
    const auto servedBy = [&](double engines, engine_role role) {
        const role_speed speed = speedOf(role);
        return engines / (work.prefill / speed.prefill + work.decode / speed.decode);
    };
    const double served = servedBy(split.mixed, engine_role::Mixed)
            + servedBy(split.prefill, engine_role::Prefill)
            + servedBy(split.decode, engine_role::Decode);
    return std::max(0.0, 1 - served) * (work.prefill + work.decode);
}

/// Loss with prefill handoff: engines first serve the phase of their role, mixed engines serve
/// either phase, and the rest falls back to idle engines of the other role.
double lossWithHandoff(const role_split &split, const work_rate &work)
{
    const double prefillRoom = split.prefill * config::ownRoleSpeed;
    const double decodeRoom = split.decode * config::ownRoleSpeed;
    const double prefillLeft = std::max(0.0, work.prefill - prefillRoom);
    const double decodeLeft = std::max(0.0, work.decode - decodeRoom);
    const double idlePrefill = std::max(0.0, prefillRoom - work.prefill) / config::ownRoleSpeed;
    const double idleDecode = std::max(0.0, decodeRoom - work.decode) / config::ownRoleSpeed;
    const double fallback = (std::min(idlePrefill, decodeLeft / config::otherRoleSpeed)
                             + std::min(idleDecode, prefillLeft / config::otherRoleSpeed))
            * config::otherRoleSpeed;
    return std::max(0.0, prefillLeft + decodeLeft - split.mixed - fallback);
}

double lossOf(const role_split &split, const work_rate &work, serving_mode mode)
{
    if (work.prefill + work.decode <= 0)
        return 0;
    // Demand beyond the capacity of all engines is lost with every split; only the difference
    // between splits matters.
    const work_rate needed{work.prefill / config::usableEngineShare,
                           work.decode / config::usableEngineShare};
    return mode == serving_mode::SingleEngine ? lossSingleEngine(split, needed)
                                              : lossWithHandoff(split, needed);
}

bool isPlannable(engine_role role, serving_mode mode)
{
    // Routing gives whole requests to decode engines only if there are no other engines. Without
    // prefill handoff an engine planned for decode would be idle.
    return mode == serving_mode::PrefillHandoff || role != engine_role::Decode;
}

/// @returns The best role change of one engine; none if no change reduces the loss.
std::optional<role_move> bestMove(const role_split &split, const demand_estimate &demand,
                                  serving_mode mode)
{
    constexpr double minImprovement = 1e-6;
    double lowest = expectedLoss(split, demand, mode) - minImprovement;
    std::optional<role_move> best;
    for (const engine_role from : roles)
        for (const engine_role to : roles) {
            role_split next = split;
            if (from == to || countOf(next, from) == 0 || !isPlannable(to, mode))
                continue;
            --countOf(next, from);
            ++countOf(next, to);
            const double loss = expectedLoss(next, demand, mode);
            if (loss < lowest) {
                lowest = loss;
                best = role_move{from, to};
            }
        }
    return best;
}

} // namespace

std::uint32_t &countOf(role_split &split, engine_role role)
{
    if (role == engine_role::Prefill)
        return split.prefill;
    return role == engine_role::Decode ? split.decode : split.mixed;
}

double expectedLoss(const role_split &split, const demand_estimate &demand, serving_mode mode)
{
    // Gauss-Hermite quadrature of a normal distribution, with three points for each estimate.
    constexpr std::array<double, 3> points{-1.7320508, 0, 1.7320508};
    constexpr std::array<double, 3> weights{1.0 / 6, 2.0 / 3, 1.0 / 6};
    double loss = 0;
    for (std::size_t i = 0; i < points.size(); ++i)
        for (std::size_t j = 0; j < points.size(); ++j) {
            const work_rate work{
                    std::max(0.0, demand.prefillSeconds + points[i] * demand.prefillStdDev),
                    std::max(0.0, demand.decodeSeconds + points[j] * demand.decodeStdDev)};
            loss += weights[i] * weights[j] * lossOf(split, work, mode);
        }
    return loss;
}

split_advice adviseSplit(const role_split &present, const demand_estimate &demand,
                         serving_mode mode)
{
    split_advice advice;
    role_split split = present;
    // Apart from rounding, the loss is convex in the counts, so a greedy search finds the best
    // split. Each engine changes its role at most once.
    while (advice.moves.size() < present.total()) {
        const auto move = bestMove(split, demand, mode);
        if (!move)
            break;
        --countOf(split, move->from);
        ++countOf(split, move->to);
        advice.moves.push_back(*move);
    }
    advice.gain = expectedLoss(present, demand, mode) - expectedLoss(split, demand, mode);
    return advice;
}

} // namespace poplarspool::policy
