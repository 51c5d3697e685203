#include "poplarspool/fairness/work_share.h"

#include <algorithm>
#include <numeric>

namespace poplarspool::fairness {

namespace {

constexpr std::chrono::nanoseconds slotLength = config::shareWindow / config::shareSlots;

std::int64_t slotAt(mono_time time)
{
    return time.time_since_epoch() / slotLength;
}

std::size_t indexOf(std::int64_t slot)
{
    return static_cast<std::size_t>(slot) % config::shareSlots;
}

void add(work_counts &to, const work_counts &added)
{
    to.asked += added.asked;
    to.sends += added.sends;
    to.work += added.work;
}

/// Work first; among workspaces without any, those that ask least are the lightest.
bool isLighter(const work_counts &one, const work_counts &other)
{
    return one.work != other.work ? one.work < other.work : one.asked < other.asked;
}

void evictLightest(work_table &table, mono_time now)
{
    auto lightest = table.begin();
    work_counts least = countsIn(lightest->second, now);
    for (auto one = std::next(table.begin()); one != table.end(); ++one) {
        const work_counts counts = countsIn(one->second, now);
        if (!isLighter(counts, least))
            continue;
        lightest = one;
        least = counts;
    }
    table.erase(lightest);
}

double partOf(double part, double whole, double otherwise)
{
    return whole > 0 ? part / whole : otherwise;
}

/// Own counts of one workspace.
struct own_counts
{
    work_counts here; ///< At the service.
    double everywhere = 0; ///< Work at all services.
};

std::map<std::uint32_t, own_counts> ownCountsOf(const work_table &table, const std::string &service,
                                                mono_time now)
{
    std::map<std::uint32_t, own_counts> own;
    for (const auto &[key, window] : table) {
        const work_counts counts = countsIn(window, now);
        own_counts &one = own[key.workspace];
        one.everywhere += static_cast<double>(counts.work);
        if (key.service == service)
            add(one.here, counts);
    }
    return own;
}

/// Factor from the own counts to those of all instances over a whole window.
double scaleOf(const count_origin &origin)
{
    const auto time = std::max(origin.countedFor, config::minCountTime);
    return static_cast<double>(config::shareWindow.count()) / static_cast<double>(time.count())
            * static_cast<double>(origin.instances);
}

bool isYoung(const count_origin &origin)
{
    return origin.countedFor < config::shareWindow;
}

double demandOf(const workspace_load &load, const count_origin &origin)
{
    const work_counts &own = load.own;
    const double asksPerSend = std::max(partOf(own.asked, own.sends, 1), 1.0);
    if (!isYoung(origin) || own.sends == 0)
        return load.work * asksPerSend;
    return static_cast<double>(own.work) * asksPerSend * scaleOf(origin);
}

/// What the service has taken in a window. The own sends of an instance that has just started were
/// made without shares: they tell the capacity only if there are no reports.
double capacityOf(std::span<const workspace_load> loads, const count_origin &origin)
{
    double all = 0;
    double own = 0;
    for (const workspace_load &one : loads) {
        all += one.work;
        own += static_cast<double>(one.own.work);
    }
    return isYoung(origin) && origin.instances == 1 ? own * scaleOf(origin) : all;
}

/// Whether the work of a workspace is less than its part of half of the work of all. If all
/// instances have just started, the reported capacity is that of a shorter time than the demands:
/// light workspaces, which this rule still recognizes, would be above it.
bool isLight(std::span<const workspace_load> loads, double work)
{
    std::vector<double> works;
    double all = 0;
    for (const workspace_load &one : loads) {
        all += one.work;
        if (one.work > 0)
            works.push_back(one.work);
    }
    return work < maxMinLevel(std::move(works), all / 2);
}

} // namespace

void addCounts(work_window &window, mono_time now, const work_counts &added)
{
    const std::int64_t slot = slotAt(now);
    const auto slots = static_cast<std::int64_t>(config::shareSlots);
    for (std::int64_t i = std::max(window.lastSlot, slot - slots) + 1; i <= slot; ++i)
        window.slots[indexOf(i)] = {};
    window.lastSlot = std::max(window.lastSlot, slot);
    add(window.slots[indexOf(window.lastSlot)], added);
}

work_counts countsIn(const work_window &window, mono_time now)
{
    const auto slots = static_cast<std::int64_t>(config::shareSlots);
    work_counts sum;
    for (std::int64_t i = std::max(slotAt(now), window.lastSlot) - slots + 1; i <= window.lastSlot;
         ++i)
        add(sum, window.slots[indexOf(i)]);
    return sum;
}

void addCounts(work_table &table, const window_key &key, mono_time now, const work_counts &added)
{
    if (table.size() >= config::maxShareWorkspaces && !table.contains(key))
        evictLightest(table, now);
    addCounts(table[key], now, added);
}

std::vector<workspace_total> heaviestOf(const work_table &table, mono_time now, std::size_t count)
{
    std::map<std::uint32_t, std::uint64_t> sums;
    for (const auto &[key, window] : table)
        sums[key.workspace] += countsIn(window, now).work;
    std::vector<workspace_total> totals;
    for (const auto &[workspace, work] : sums) {
        if (work > 0)
            totals.push_back({workspace, work});
    }
    std::ranges::sort(totals, std::ranges::greater{}, &workspace_total::work);
    totals.resize(std::min(totals.size(), count));
    return totals;
}

std::vector<workspace_load> mergeLoads(const work_table &table,
                                       std::span<const work_report> reports,
                                       const std::string &service, mono_time now)
{
    const auto own = ownCountsOf(table, service, now);
    double here = 0;
    double everywhere = 0;
    std::map<std::uint32_t, double> reported;
    for (const auto &[workspace, counts] : own) {
        here += static_cast<double>(counts.here.work);
        everywhere += counts.everywhere;
        reported[workspace] = 0;
    }
    for (const work_report &report : reports) {
        if (now - report.receivedAt > config::shareWindow)
            continue;
        for (const workspace_total &total : report.totals)
            reported[total.workspace] += static_cast<double>(total.work);
    }
    std::vector<workspace_load> loads;
    for (const auto &[workspace, work] : reported) {
        const auto found = own.find(workspace);
        const own_counts counts = found != own.end() ? found->second : own_counts{};
        const auto ownWork = static_cast<double>(counts.here.work);
        const double servicePart = partOf(ownWork, counts.everywhere, partOf(here, everywhere, 1));
        const double sum = ownWork + work * servicePart;
        loads.push_back({workspace, counts.here, sum});
    }
    return loads;
}

double maxMinLevel(std::vector<double> demands, double capacity)
{
    std::ranges::sort(demands);
    double left = capacity;
    auto unmet = static_cast<double>(demands.size());
    for (const double demand : demands) {
        const double level = left / unmet;
        if (demand > level)
            return level;
        left -= demand;
        --unmet;
    }
    return demands.empty() ? 0 : demands.back();
}

share_verdict shareOf(std::span<const workspace_load> loads, std::uint32_t workspace,
                      const count_origin &origin)
{
    const auto found = std::ranges::find(loads, workspace, &workspace_load::workspace);
    std::uint32_t asked = 0;
    double total = 0;
    const double capacity = capacityOf(loads, origin);
    std::vector<double> demands;
    for (const workspace_load &one : loads) {
        asked += one.own.asked;
        total += one.work;
        if (one.work > 0)
            demands.push_back(demandOf(one, origin));
    }
    // A workspace alone competes with nobody.
    if (found == loads.end() || demands.size() < 2)
        return {};
    const double demand = demandOf(*found, origin);
    const double fair = maxMinLevel(std::move(demands), capacity);
    share_verdict verdict{1, found->work / total, fair / capacity};
    if (isYoung(origin) && isLight(loads, found->work))
        return verdict;
    if (asked >= config::minShareRequests && demand > fair * config::shareTolerance)
        verdict.withinPart = fair * config::guaranteedSharePart / demand;
    return verdict;
}

bool isAboveShare(const share_verdict &verdict, double draw)
{
    return draw >= verdict.withinPart;
}

} // namespace poplarspool::fairness
