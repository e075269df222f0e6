#ifndef BALSAMPORT_POLICY_LOAD_SCHEDULING_H
#define BALSAMPORT_POLICY_LOAD_SCHEDULING_H

#include <balsamport/policy/grant_scheduler.h>

#include <vector>

namespace balsamport {

/// @brief An adapter that must be loaded, with the urgency of the requests that wait for it.
struct WantedLoad
{
    AdapterRef adapter;
    std::uint64_t hash = 0;
    std::int32_t priority = 0; ///< Highest priority of the requests.
    /// Sum of the waiting times in milliseconds, plus 1 for each request.
    std::int64_t urgency = 0;
    Millis deadline; ///< Earliest deadline of the requests.
    Millis since; ///< Arrival of the oldest request.
};

/// @brief Lists the adapters that waiters need and no slot holds or loads, the most urgent first.
[[nodiscard]] std::vector<WantedLoad> wantedLoads(const ServerState &server, Millis now);

/// @brief Estimates the wait for a load token from earlier loads. The estimate halves with each
/// tokenWaitHalfLife without a new sample.
[[nodiscard]] Millis tokenWait(const ServerState &server, Millis now) noexcept;

/// @return whether a slot is free or its adapter may be evicted
[[nodiscard]] bool hasUsableSlot(const ServerState &server);

/// @return whether a packed server loads a further adapter: only if a slot is free, or tokens are
/// available so soon that batch fill has priority
[[nodiscard]] bool acceptsPackedLoad(ServerState &server, Millis now);

/// @return whether the budget of the link between regions allows a load now
[[nodiscard]] bool isLinkAvailable(const SchedulerContext &context, Millis now) noexcept;

/// @brief Adds an adapter to be loaded when the load budget has an idle token, or prolongs its
/// entry.
/// @param declared whether a route declares the adapter, ahead of its switch
void addPreload(ServerState &server, const AdapterRef &adapter, bool declared, Millis now);

/// @brief Issues the load commands that waiters need, as far as slots, link budget and tokens
/// allow.
void scheduleLoads(ServerState &server, LoadBudget &budget, const SchedulerContext &context,
                   Millis now, std::vector<GrantSchedulerAction> &actions);

/// @brief Issues one load command ahead of demand, if a token is idle.
void schedulePreload(ServerState &server, LoadBudget &budget, const SchedulerContext &context,
                     Millis now, std::vector<GrantSchedulerAction> &actions);

} // namespace balsamport

#endif
