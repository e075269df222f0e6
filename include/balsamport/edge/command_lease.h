#ifndef BALSAMPORT_EDGE_COMMAND_LEASE_H
#define BALSAMPORT_EDGE_COMMAND_LEASE_H

#include <balsamport/core/clock.h>
#include <balsamport/core/ids.h>

#include <cstdint>
#include <optional>

namespace balsamport {

/// @brief This daemon's right to send commands to one engine.
///
/// The engine arbitrates: it counts the commands that it accepts, and refuses one that expects
/// another count. A daemon holds the lease once it has seen the count unchanged for longer than a
/// lease. A count of 0 qualifies at once where no other daemon can command that run of the engine
/// before. From then on each counted command proves that nobody else sent one before it.
///
/// An engine accepts a command that equals one in progress without comparing the count. So until
/// repeatsUntil(), while no other daemon can have qualified, any command may be sent. Later only
/// those are that no other daemon can have in progress, see comparedCommand(); the load of a base
/// model, which all daemons begin with, only until uncomparedUntil. All times are monotonic and
/// include the time in which the process or the VM was suspended.
struct CommandLease
{
    std::int64_t engineStartedAtWallMs = 0; ///< Identifies the run of the engine; 0 if unknown.
    std::uint64_t commandCount = 0; ///< Expected: of the last report and the commands since.
    std::uint64_t reportedCount = 0; ///< Of the last report.
    Millis unchangedSince{-1}; ///< When the count was first known; -1 before that.
    bool held = false;
    std::uint64_t acquiredCount = 0; ///< The count when the lease was acquired or renewed.
    /// A report showed, after a pause of more than a lease, that this daemon's command was still
    /// the last one.
    bool renewed = false;
    /// When this daemon sent its last counted command; -1 before the first since `held`.
    Millis countedAt{-1};
    Millis confirmedAt{-1}; ///< When the last report that showed the count was received.
    Millis unconfirmedAt{-1}; ///< When a command was sent that got no response; -1 for none.
    std::uint64_t refusedNumbers = 0; ///< Commands that the engine refused as outdated.
    bool needsModel = false; ///< The engine neither holds nor loads its base model.
    Millis uncomparedUntil{-1}; ///< End of this daemon's turn to load it.

    bool operator==(const CommandLease &) const = default;
};

/// @brief Durations of a CommandLease.
struct CommandLeaseTimings
{
    Millis lease{3'000}; ///< Within this time two holders must not alternate.
    /// For the delivery of a command, on either side of the lease.
    Millis margin{300};
    /// Added before the lease is acquired. Differs between daemons, so that those that have waited
    /// for the same engine see in its report which of them was first.
    Millis acquisitionDelay{0};
    /// No other daemon commands a run of the engine that this daemon sees for the first time, with
    /// a count of 0, before this one has.
    bool actsFirst = true;
    /// Of an engine without its base model, whose load all daemons begin with: when the first turn
    /// to load it begins, and this daemon's turn.
    Millis turnsFrom{0};
    std::uint32_t turn = 0;

    static constexpr std::uint32_t turns = 4;
    static constexpr Millis turnLength{300};
    /// From the start of a turn to that of the next: its length, the lag of a report, and the time
    /// between two daemons' sightings of the engine's entry.
    static constexpr Millis turnDistance{1'400};
    /// A report shows the count for this long; the expected count covers the rest. Counted from its
    /// receipt, so that an owner that gets reports slowly can send commands.
    Millis confirmationLifetime{500};

    bool operator==(const CommandLeaseTimings &) const = default;
};

/// @return the delay of a daemon's turn to acquire the lease of an engine
[[nodiscard]] Millis acquisitionDelayOf(const VmId &vm, const BackendServerId &engine);

/// @brief Returns a daemon's turn to load a base model. Daemons of higher ranks share the last
/// turn, as lower ranks own the engine more often.
/// @param rank number of daemons that go before this one
[[nodiscard]] std::uint32_t modelLoadTurn(std::size_t rank) noexcept;

/// @brief What a report says about the commands that an engine accepted.
struct ObservedCommandCount
{
    std::int64_t engineStartedAtWallMs = 0;
    std::uint64_t commandCount = 0;
    bool needsModel = false; ///< The engine neither holds nor loads its base model.

    bool operator==(const ObservedCommandCount &) const = default;
};

/// @brief What an observed count means for a lease.
enum class CountObservation : std::uint8_t {
    Unchanged,
    Changed, ///< Another daemon commanded the engine, or it restarted. The lease starts anew.
    Acquired, ///< The lease is held from now on.
};

/// @brief Applies the count of a report. A count one higher is taken for this daemon's own command
/// without a response, but only while no other daemon can have qualified.
CountObservation observeCommandCount(CommandLease &lease, const CommandLeaseTimings &timings,
                                     const ObservedCommandCount &observed, Millis now);

/// @return the time until which a command that the engine will count may be sent; in the past where
/// a report must be requested first or the lease isn't held
[[nodiscard]] Millis commandsUntil(const CommandLease &lease, const CommandLeaseTimings &timings);

/// @return the time until which a command may be repeated
[[nodiscard]] Millis repeatsUntil(const CommandLease &lease, const CommandLeaseTimings &timings);

/// @return the first time from `now` on at which the lease can be acquired, unless the count
/// changes before; -1 where the count isn't known
[[nodiscard]] Millis expectedAcquisition(const CommandLease &lease,
                                         const CommandLeaseTimings &timings, Millis now);

/// @brief Records that the engine accepted a command that it counts.
/// @param mayRepeatAnother an engine answers such a command without counting it if it is carrying
/// out the same one for another daemon, which reports don't show. It extends the lease only if no
/// other daemon can have qualified.
void recordCounted(CommandLease &lease, const CommandLeaseTimings &timings, bool mayRepeatAnother,
                   Millis sentAt);

/// @brief Records that a command got no response, so that it may have been counted.
void recordUnconfirmed(CommandLease &lease, Millis sentAt);

/// @brief Requires a new report before the next command; for example after a pause.
void expireConfirmation(CommandLease &lease) noexcept;

/// @brief Returns the fencing number of the commands under a lease. It never falls while the lease
/// is held, is higher than that of any earlier holder that sent a counted command, also before a
/// restart of the engine, and differs between daemons. A holder that renews goes above daemons that
/// acquire at the same count. Below 2^53, which all JSON readers hold exactly.
[[nodiscard]] FencingNumber fencingNumberFor(const CommandLease &lease, const VmId &vm);

} // namespace balsamport

#endif
