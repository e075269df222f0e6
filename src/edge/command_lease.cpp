#include <balsamport/edge/command_lease.h>

#include <balsamport/core/hash.h>

#include <algorithm>

namespace balsamport {

namespace {

/// @return false where another daemon may have sent a command since this one's last counted one
bool isExclusive(const CommandLease &lease, const CommandLeaseTimings &timings, Millis now)
{
    const bool covered = lease.countedAt >= Millis(0)
            && now < lease.countedAt + timings.lease + timings.margin;
    const bool reserved
            = lease.reservedAt >= Millis(0) && now < lease.reservedAt + timings.reservationLifetime;
    return lease.held && (covered || reserved);
}

/// Settles commands of which the response didn't say whether the engine counted them.
void resolveUncertainCommands(CommandLease &lease, const CommandLeaseTimings &timings,
                              const ObservedCommandCount &observed, Millis now)
{
    const bool exclusive = isExclusive(lease, timings, now);
    if (exclusive && lease.unconfirmedAt >= Millis(0)
        && observed.commandCount == lease.commandCount + 1) {
        recordCounted(lease, timings, false, lease.unconfirmedAt);
    }
    if (exclusive && lease.uncertainAt >= Millis(0)
        && observed.commandCount == lease.commandCount) {
        lease.countedAt = std::max(lease.countedAt, lease.uncertainAt);
    }
    lease.uncertainAt = Millis(-1);
    // The count of a run never falls: the engine didn't count a command that it had accepted, as it
    // was carrying out the same one already. So it hasn't counted another daemon's either.
    const bool overcounted = lease.held && observed.engineStartedAtWallMs != 0
            && observed.commandCount >= lease.reportedCount
            && observed.commandCount < lease.commandCount;
    if (overcounted) {
        lease.commandCount = observed.commandCount;
        lease.countedAt = Millis(-1);
    }
}

} // namespace

bool isLastHolder(const CommandLease &lease) noexcept
{
    return lease.held && lease.countedAt >= Millis(0);
}

Millis confirmationDelay(const CommandLease &lease) noexcept
{
    return isLastHolder(lease) || lease.commandCount == 0 ? Millis(0)
                                                          : CommandLeaseTimings::reportAge;
}

Millis reservationUse(const CommandLeaseTimings &timings) noexcept
{
    return timings.reservationLifetime - CommandLeaseTimings::reportAge
            - CommandLeaseTimings::deliveryTime;
}

CountObservation observeCommandCount(CommandLease &lease, const CommandLeaseTimings &timings,
                                     const ObservedCommandCount &observed, Millis now)
{
    const bool isFirst = lease.unchangedSince < Millis(0);
    const bool sameRun = !isFirst && lease.engineStartedAtWallMs == observed.engineStartedAtWallMs;
    if (sameRun) {
        resolveUncertainCommands(lease, timings, observed, now);
    }
    // The holder of the earlier run knows that its own commands there have ended. All others wait,
    // as that holder may not know yet that the engine restarted.
    const bool acquiresAtOnce = observed.commandCount == 0
            && (isFirst ? timings.isFirstRun : !sameRun && isExclusive(lease, timings, now));
    CountObservation result = CountObservation::Unchanged;
    if (!sameRun || lease.commandCount != observed.commandCount) {
        lease = CommandLease{};
        lease.engineStartedAtWallMs = observed.engineStartedAtWallMs;
        lease.commandCount = observed.commandCount;
        lease.unchangedSince = now;
        result = CountObservation::Changed;
    }
    lease.reportedCount = observed.commandCount;
    if (!lease.held && now >= timings.acquirableFrom
        && (acquiresAtOnce || now >= expectedAcquisition(lease, timings))) {
        lease.held = true;
        lease.acquiredCount = lease.commandCount;
        result = CountObservation::Acquired;
    }
    return result;
}

void confirmReservation(CommandLease &lease, Millis requestedAt)
{
    if (lease.held) {
        lease.reservedAt = requestedAt;
        lease.acquiredCount = lease.reportedCount;
    }
}

Millis commandsUntil(const CommandLease &lease, const CommandLeaseTimings &timings)
{
    const Millis reserved = lease.held && lease.reservedAt >= Millis(0)
            ? lease.reservedAt + reservationUse(timings)
            : Millis(-1);
    return std::max(reserved, repeatsUntil(lease, timings));
}

Millis repeatsUntil(const CommandLease &lease, const CommandLeaseTimings &timings)
{
    return lease.held && lease.countedAt >= Millis(0)
            ? lease.countedAt + timings.lease - timings.margin
            : Millis(-1);
}

Millis expectedAcquisition(const CommandLease &lease, const CommandLeaseTimings &timings)
{
    return lease.unchangedSince < Millis(0)
            ? Millis(-1)
            : std::max(lease.unchangedSince + timings.lease + timings.margin,
                       timings.acquirableFrom);
}

void recordCounted(CommandLease &lease, const CommandLeaseTimings &timings, bool mayRepeatAnother,
                   Millis sentAt)
{
    ++lease.commandCount;
    lease.unconfirmedAt = Millis(-1);
    if (mayRepeatAnother && sentAt >= repeatsUntil(lease, timings)) {
        lease.countedAt = Millis(-1);
        lease.uncertainAt = sentAt;
    } else {
        lease.countedAt = std::max(lease.countedAt, sentAt);
    }
}

void recordUnconfirmed(CommandLease &lease, Millis sentAt)
{
    lease.unconfirmedAt = sentAt;
}

void expireReservation(CommandLease &lease) noexcept
{
    lease.reservedAt = Millis(-1);
}

FencingNumber fencingNumberFor(const CommandLease &lease, const VmId &vm)
{
    constexpr std::uint64_t numbersPerCommand = 4096;
    constexpr std::int64_t epochWallMs = 1'577'836'800'000; // 2020-01-01
    constexpr std::int64_t maxPosition = (std::int64_t{1} << 41) - 1;
    constexpr std::int64_t maxStartMs = maxPosition / 2; // Reached in 2054.
    // Engines accept fewer than one command a millisecond, so that the numbers of a later run are
    // higher than all of an earlier one.
    const std::int64_t startedAt
            = std::clamp<std::int64_t>(lease.engineStartedAtWallMs - epochWallMs, 0, maxStartMs);
    const std::uint64_t position = std::min<std::uint64_t>(
            static_cast<std::uint64_t>(startedAt) + lease.acquiredCount + lease.refusedNumbers + 1,
            static_cast<std::uint64_t>(maxPosition));
    return FencingNumber(position * numbersPerCommand + hash64(vm.str()) % numbersPerCommand);
}

} // namespace balsamport
