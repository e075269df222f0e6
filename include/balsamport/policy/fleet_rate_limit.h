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

/// @brief A daemon that may issue the permits of a server, as one daemon sees it.
struct PermitMember
{
    VmId vm;
    bool alive = false;

    bool operator==(const PermitMember &) const = default;
};

/// @brief The daemons that may issue the permits of a server, as one daemon sees them.
struct PermitGroup
{
    std::vector<PermitMember> members;
    /// When a member last appeared or fell silent: its view may differ from this daemon's.
    Millis changedAt{0};

    bool operator==(const PermitGroup &) const = default;
};

/// @brief Replaces the members. Members that are missing from the new list have announced their
/// stop, or have been silent for long; they issue nothing any more.
void updateMembers(PermitGroup &group, std::vector<PermitMember> members, Millis now);

/// @return the issuer of a server's permits; nothing where no member is alive
[[nodiscard]] std::optional<VmId> permitIssuer(const PermitGroup &group, std::string_view server);

/// @return the part of a server's limit that an issuer of the group may use, 0 to 1
[[nodiscard]] double visibleShare(const PermitGroup &group);

/// @brief Permits that a daemon can issue for a server.
struct PermitBucket
{
    double permits = 0;
    /// Until when they have been counted; -1 while another daemon is the issuer. A time to come
    /// means that no permit is issued before.
    Millis filledUntil{-1};

    bool operator==(const PermitBucket &) const = default;
};

/// A new issuer issues nothing for this long after a change in its group: longer than a daemon
/// takes to detect that another one has appeared or fallen silent. Source: PeerTimings.
constexpr Millis permitHandover{2'500};
/// Unused permits add up for this long at most, so that they add little to any window.
constexpr Millis permitAccrualTime{500};
/// A lower limit counts as this many requests per second: only a response tells that it has ended.
constexpr double minRequestsPerSecond = 0.2;

/// @return the permits per second of an issuer
/// @param perSecond the server's limit
/// @param share of the issuer, as visibleShare() returns it
[[nodiscard]] double permitRate(double perSecond, double share) noexcept;

/// @brief Begins to issue permits at a given time, with none.
void startIssuing(PermitBucket &bucket, Millis from) noexcept;

/// @brief Adds the permits of the time that has passed.
/// @param perSecond as permitRate() returns it
void fillPermits(PermitBucket &bucket, double perSecond, Millis now) noexcept;

/// @brief Takes a permit.
/// @return false if there is none
bool tryTakePermit(PermitBucket &bucket, double perSecond, Millis now) noexcept;

/// @return when a permit is available after a number of others have been taken; nothing where the
/// rate is 0
[[nodiscard]] std::optional<Millis> permitAvailableAt(const PermitBucket &bucket, double perSecond,
                                                      std::size_t others) noexcept;

/// @brief Decision on the request for a permit.
struct PermitDecision
{
    enum class Kind : std::uint8_t {
        Issued,
        Exhausted,
        NotIssuer, ///< Another daemon is the issuer in this daemon's view.
    };
    Kind kind = Kind::NotIssuer;
    Millis retryAfter{0}; ///< Of Exhausted: time until a permit is available.

    bool operator==(const PermitDecision &) const = default;
};

/// @brief Decides whether a daemon issues a permit, and begins or ends its time as the issuer.
/// @param perSecond the server's limit
[[nodiscard]] PermitDecision decidePermit(PermitBucket &bucket, const PermitGroup &group,
                                          const VmId &self, std::string_view server,
                                          double perSecond, Millis now);

} // namespace balsamport

#endif
