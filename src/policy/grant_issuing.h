#ifndef BALSAMPORT_POLICY_GRANT_ISSUING_H
#define BALSAMPORT_POLICY_GRANT_ISSUING_H

#include <balsamport/policy/grant_scheduler.h>

#include <vector>

namespace balsamport {

constexpr Millis shortestRetryAfter{1'000};

/// @return how many requests of a caller class may wait on one backend server
[[nodiscard]] std::uint32_t queueLimit(const SchedulerContext &context,
                                       const CallerClassId &callerClass);

/// @brief Answers a request that cannot be served here: another backend server, or a refusal
/// where none is left.
/// @param wait what waiting here would cost
[[nodiscard]] GrantSchedulerAction redirectOrRefuse(bool lastChoice, std::uint64_t ticket,
                                                    Millis wait);

/// @brief Gives free places to waiters by priority, fair share and deadline.
void issueGrants(ServerState &server, const SchedulerContext &context, Millis now,
                 std::vector<GrantSchedulerAction> &actions);

/// @brief Sends away the waiters that this server cannot serve any more.
void redirectUnservable(ServerState &server, const SchedulerContext &context, Millis now,
                        std::vector<GrantSchedulerAction> &actions);

/// @brief Refuses the waiters whose deadline has passed.
void refuseExpired(ServerState &server, Millis now, std::vector<GrantSchedulerAction> &actions);

} // namespace balsamport

#endif
