#ifndef BALSAMPORT_POLICY_FLEET_RATE_LIMIT_H
#define BALSAMPORT_POLICY_FLEET_RATE_LIMIT_H

#include <balsamport/core/clock.h>
#include <balsamport/core/ids.h>

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

/// @file
/// Rate limits that hold for all daemons together, without a coordinator and without stored state.
///
/// A backend server states how many requests per second it accepts from all daemons. Shares for
/// each daemon would not hold: with a limit of 2 and 195 daemons, one request of each already
/// exceeds it. Instead, one daemon is the issuer of the server's permits, and each request to the
/// server needs a permit. The issuer of an engine is its owner, which grants all requests anyway;
/// the issuer of another server is chosen by rendezvous hashing among the daemons of the server's
/// data centre.
///
/// Views of the membership differ for a while after a change. Three rules keep the sum of all
/// issuers within the limit: a daemon issues permits only if it is the issuer in its own view; a
/// new issuer starts without permits, after its predecessor has learned of it; and an issuer that
/// doesn't see some of the daemons known to it issues only the visible part of the limit, as the
/// others may have an issuer of their own.

namespace balsamport {

/// @brief What a response states about the request rate that its server accepts.
struct RateLimitReport
{
    enum class Kind : std::uint8_t {
        None, ///< Nothing, for example because another server responded.
        Unlimited, ///< The server accepts any rate.
        Limited,
        Malformed, ///< A limit that isn't a decimal number. What is known stays in force.
    };
    Kind kind = Kind::None;
    double perSecond = 0; ///< Of Limited: requests of all daemons together.

    bool operator==(const RateLimitReport &) const = default;
};

/// @brief The newest known rate limit of a server.
struct KnownRateLimit
{
    std::optional<double> perSecond; ///< Nothing where the server accepts any rate.
    /// When a daemon received the response that states it; -1 before the first report.
    Millis observedAt{-1};

    bool operator==(const KnownRateLimit &) const = default;
};

/// @brief Applies what a response states. Reports of Unlimited are ignored unless a limit is known.
/// @return true where the limit has changed
bool applyReport(KnownRateLimit &known, const RateLimitReport &report, Millis now);

/// @brief Applies a limit that another daemon knows, if that is newer.
/// @return true where the limit has changed
bool mergeRateLimit(KnownRateLimit &known, const KnownRateLimit &received);

} // namespace balsamport

#endif
