#ifndef BALSAMPORT_POLICY_LOAD_SCHEDULING_H
#define BALSAMPORT_POLICY_LOAD_SCHEDULING_H

#include <balsamport/policy/grant_scheduler.h>

#include <vector>

namespace balsamport {

/// Adapters that wait for a load, each with the urgency of its callers, most urgent first.
struct WantedLoad
{
    AdapterRef adapter;
    std::uint64_t hash = 0;
    std::int32_t priority = 0;
    std::int64_t urgency = 0;
    Millis deadline;
    Millis since; ///< When the oldest of the callers came.
};

/// @brief Collects the adapters that waiters need and no slot has, the most urgent first.
[[nodiscard]] std::vector<WantedLoad> wantedLoads(const ServerState &server, Millis now);

/// @brief Gives the wait for a token of the weight store as learnt from earlier loads. It halves
/// with each interval in which nothing was learnt.
[[nodiscard]] Millis tokenWait(const ServerState &server, Millis now) noexcept;

/// @return whether a slot is free or could be made free
[[nodiscard]] bool hasUsableSlot(const ServerState &server);

/// @return whether a packed server takes a load: while loads are so cheap that filling batches
/// goes first
[[nodiscard]] bool acceptsPackedLoad(ServerState &server, Millis now);

/// @return whether the link's budget allows a load now
[[nodiscard]] bool isLinkAvailable(const SchedulerContext &context, Millis now) noexcept;

/// @brief Notes an adapter that should be loaded when the budget has room to spare.
/// @param declared by a route, ahead of its switch
void addPreload(ServerState &server, const AdapterRef &adapter, bool declared, Millis now);

/// @brief Orders the loads that waiters need, as far as slots, link and tokens allow.
void scheduleLoads(ServerState &server, LoadBudget &budget, const SchedulerContext &context,
                   Millis now, std::vector<GrantSchedulerAction> &actions);

/// @brief Orders one load ahead of need, where a token is idle.
void schedulePreload(ServerState &server, LoadBudget &budget, const SchedulerContext &context,
                     Millis now, std::vector<GrantSchedulerAction> &actions);

} // namespace balsamport

#endif
