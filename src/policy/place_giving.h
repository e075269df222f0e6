#ifndef BALSAMPORT_POLICY_PLACE_GIVING_H
#define BALSAMPORT_POLICY_PLACE_GIVING_H

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
[[nodiscard]] Action sendAway(bool lastChoice, std::uint64_t ticket, Millis wait);

/// @brief Gives free places to waiters by priority, fair share and deadline.
void givePlaces(ServerState &server, const SchedulerContext &context, Millis now,
                std::vector<Action> &actions);

/// @brief Sends away the waiters that this server cannot serve any more.
void redirectStuck(ServerState &server, const SchedulerContext &context, Millis now,
                   std::vector<Action> &actions);

/// @brief Refuses the waiters whose deadline has passed.
void refuseLate(ServerState &server, Millis now, std::vector<Action> &actions);

} // namespace balsamport

#endif
