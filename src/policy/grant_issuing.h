#ifndef BALSAMPORT_POLICY_GRANT_ISSUING_H
#define BALSAMPORT_POLICY_GRANT_ISSUING_H

#include <balsamport/policy/grant_scheduler.h>

#include <vector>

namespace balsamport {

constexpr Millis minRetryAfter{1'000};

/// @return the largest number of requests of a caller class that may wait for one backend server
[[nodiscard]] std::uint32_t queueLimit(const SchedulerContext &context,
                                       const CallerClassId &callerClass);

/// @brief Redirects a request that this backend server cannot serve, or refuses it if no other
/// candidate is left.
/// @param wait estimated wait at this backend server
[[nodiscard]] GrantSchedulerAction redirectOrRefuse(bool lastChoice, std::uint64_t ticket,
                                                    Millis wait);

/// @brief Issues grants for the free positions of the batch, by priority, fair share and deadline
/// of the waiters.
void issueGrants(ServerState &server, const SchedulerContext &context, Millis now,
                 std::vector<GrantSchedulerAction> &actions);

/// @brief Redirects or refuses the waiters that this backend server can no longer serve.
void redirectUnservable(ServerState &server, const SchedulerContext &context, Millis now,
                        std::vector<GrantSchedulerAction> &actions);

/// @brief Refuses the waiters whose deadline has passed.
void refuseExpired(ServerState &server, Millis now, std::vector<GrantSchedulerAction> &actions);

} // namespace balsamport

#endif
