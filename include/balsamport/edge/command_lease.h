#ifndef BALSAMPORT_EDGE_COMMAND_LEASE_H
#define BALSAMPORT_EDGE_COMMAND_LEASE_H

#include <balsamport/core/clock.h>
#include <balsamport/core/ids.h>

#include <cstdint>

namespace balsamport {

/// @brief This daemon's right to send commands to one engine.
///
/// Two guards keep daemons apart, and each suffices while the other fails. One is the contact with
/// the fleet: a daemon that is cut off acquires nothing (`acquirableFrom`). The other is the
/// engine: it counts the commands that it accepts, and most grant a reservation of more than half
/// of their memory to one daemon at a time. On those that don't (`EngineArbitration`), a daemon
/// that is in contact with most others reserves the engine by itself.
///
/// A daemon holds the lease once it has seen the count unchanged for longer than a lease, so that
/// the commands of an earlier holder have ended; of several such daemons, the one with the
/// reservation may send a command, if a report that was requested after the grant shows that no
/// other has. Until repeatsUntil(), less than a lease after its last counted command, the holder
/// needs no reservation: each counted command proves that nobody else sent one before it.
///
/// Reports are out of date. So a daemon that hasn't commanded the engine yet keeps its reservation
/// until any report shows its command. The last holder, whose earlier commands all reports show,
/// ends its own at once; in return others request their report a report's age after the grant,
/// unless the engine has accepted no command. All times are monotonic and include the time in which
/// the process or the VM was suspended.
struct CommandLease
{
    std::int64_t engineStartedAtWallMs = 0; ///< Identifies the run of the engine; 0 if unknown.
    std::uint64_t commandCount = 0; ///< Expected: of the last report and the commands since.
    std::uint64_t reportedCount = 0; ///< Of the last report.
    Millis unchangedSince{-1}; ///< When the count was first known; -1 before that.
    bool held = false;
    std::uint64_t acquiredCount = 0; ///< Reported when the lease was acquired or last reserved.
    /// When this daemon sent its last counted command; -1 before the first since `held`.
    Millis countedAt{-1};
    Millis unconfirmedAt{-1}; ///< When a command was sent that got no response; -1 for none.
    /// When a command was accepted that the engine may not have counted; -1 for none.
    Millis uncertainAt{-1};
    Millis reservedAt{-1}; ///< When the confirmed reservation was requested; -1 for none.
    std::uint64_t refusedNumbers = 0; ///< Commands that the engine refused as outdated.

    bool operator==(const CommandLease &) const = default;
};

/// @brief Durations of a CommandLease.
struct CommandLeaseTimings
{
    Millis lease{3'000}; ///< Within this time two holders must not alternate.
    /// For the delivery of a command, on either side of the lease.
    Millis margin{300};
    /// Requested for a reservation. The engine may state a lower limit.
    Millis reservationLifetime{2'000};
    /// The engine's first run under its id. Of a later one a holder of the earlier run may not know
    /// yet.
    bool isFirstRun = true;
    /// The lease isn't acquired before this time, as the daemon may be cut off.
    Millis acquirableFrom{0};

    /// A report tells the engine's state of up to this long ago.
    static constexpr Millis reportAge{350};
    /// From the time until which a command may be sent to its receipt by the engine.
    static constexpr Millis deliveryTime{550};

    bool operator==(const CommandLeaseTimings &) const = default;
};

/// @return the time from the grant of a reservation until the report that confirms it may be
/// requested
[[nodiscard]] Millis confirmationDelay(const CommandLease &lease) noexcept;

/// @return true where this daemon sent the last command that the engine counted, as far as it knows
[[nodiscard]] bool isLastHolder(const CommandLease &lease) noexcept;

/// @brief Returns for how long after its request a reservation permits commands: a report that
/// another daemon requests after the end of the reservation shows all of them.
[[nodiscard]] Millis reservationUse(const CommandLeaseTimings &timings) noexcept;

/// @brief What a report says about the commands that an engine accepted.
struct ObservedCommandCount
{
    std::int64_t engineStartedAtWallMs = 0;
    std::uint64_t commandCount = 0;

    bool operator==(const ObservedCommandCount &) const = default;
};

/// @brief What an observed count means for a lease.
enum class CountObservation : std::uint8_t {
    Unchanged,
    Changed, ///< Another daemon commanded the engine, or it restarted. The lease starts anew.
    Acquired, ///< The lease is held from now on.
};

/// @brief Applies the count of a report. A count one higher is taken for this daemon's own command
/// without a response, but only while no other daemon can have sent one. A count of 0 in the
/// first run acquires the lease at once.
CountObservation observeCommandCount(CommandLease &lease, const CommandLeaseTimings &timings,
                                     const ObservedCommandCount &observed, Millis now);

/// @brief Records that a reservation was granted and that a report requested after the grant
/// has been applied. Has no effect unless the lease is held.
/// @param requestedAt when the reservation was requested
void confirmReservation(CommandLease &lease, Millis requestedAt);

/// @return the time until which a command that the engine will count may be sent; in the past where
/// a reservation is needed or the lease isn't held
[[nodiscard]] Millis commandsUntil(const CommandLease &lease, const CommandLeaseTimings &timings);

/// @return the time until which a command may be sent that the engine may not count
[[nodiscard]] Millis repeatsUntil(const CommandLease &lease, const CommandLeaseTimings &timings);

/// @return the time at which the lease can be acquired unless the count changes before; -1 where
/// the count isn't known
[[nodiscard]] Millis expectedAcquisition(const CommandLease &lease,
                                         const CommandLeaseTimings &timings);

/// @brief Records that the engine accepted a command that it counts.
/// @param mayRepeatAnother an engine answers such a command without counting it if it is carrying
/// out the same one for another daemon, which reports don't show. A later report tells whether it
/// was counted; it extends the lease then.
void recordCounted(CommandLease &lease, const CommandLeaseTimings &timings, bool mayRepeatAnother,
                   Millis sentAt);

/// @brief Records that a command got no response, so that it may have been counted.
void recordUnconfirmed(CommandLease &lease, Millis sentAt);

/// @brief Ends the use of a reservation, for example after a pause of the process.
void expireReservation(CommandLease &lease) noexcept;

/// @brief Returns the fencing number of the commands under a lease. It never falls while the lease
/// is held, is higher than that of any earlier holder that sent a counted command, also before a
/// restart of the engine, and differs between daemons. Below 2^53, which all JSON readers hold
/// exactly.
[[nodiscard]] FencingNumber fencingNumberFor(const CommandLease &lease, const VmId &vm);

} // namespace balsamport

#endif
