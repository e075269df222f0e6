#include <balsamport/edge/command_lease.h>

#include <balsamport/core/hash.h>
#include <balsamport/core/rendezvous.h>

#include <algorithm>

namespace balsamport {

namespace {

/// @return false where another daemon may have qualified since this one's last counted command
bool isExclusive(const CommandLease &lease, const CommandLeaseTimings &timings, Millis now)
{
    return lease.held && lease.countedAt >= Millis(0)
            && now < lease.countedAt + timings.lease + timings.margin;
}

/// @return the start of the first turn that ends after `from`
Millis nextTurn(const CommandLeaseTimings &timings, Millis from)
{
    constexpr Millis period = CommandLeaseTimings::turnDistance * CommandLeaseTimings::turns;
    const Millis first = timings.turnsFrom + CommandLeaseTimings::turnDistance * timings.turn;
    const Millis past = from - first - CommandLeaseTimings::turnLength;
    return past < Millis(0) ? first : first + period * (past.count() / period.count() + 1);
}

} // namespace

Millis acquisitionDelayOf(const VmId &vm, const BackendServerId &engine)
{
    constexpr std::uint64_t turns = 3;
    constexpr Millis turn{350}; // A report is out of date by less.
    return turn
            * static_cast<std::int64_t>(rendezvousScore(hash64(engine.str()), hash64(vm.str()))
                                        % turns);
}

std::uint32_t modelLoadTurn(std::size_t rank) noexcept
{
    return static_cast<std::uint32_t>(std::min<std::size_t>(rank, CommandLeaseTimings::turns - 1));
}

CountObservation observeCommandCount(CommandLease &lease, const CommandLeaseTimings &timings,
                                     const ObservedCommandCount &observed, Millis now)
{
    const bool sameRun = lease.unchangedSince >= Millis(0)
            && lease.engineStartedAtWallMs == observed.engineStartedAtWallMs;
    const bool ownCommand = sameRun && lease.unconfirmedAt >= Millis(0)
            && observed.commandCount == lease.commandCount + 1 && isExclusive(lease, timings, now);
    if (ownCommand) {
        recordCounted(lease, timings, false, lease.unconfirmedAt);
    }
    // The count of a run never falls: the engine didn't count a command that it had accepted, as it
    // was carrying out the same one already. So it hasn't counted another daemon's either.
    const bool overcounted = sameRun && lease.held && observed.engineStartedAtWallMs != 0
            && observed.commandCount >= lease.reportedCount
            && observed.commandCount < lease.commandCount;
    if (overcounted) {
        lease.commandCount = observed.commandCount;
        lease.countedAt = Millis(-1);
    }
    // The holder of the earlier run knows that its own commands there have ended, and all others
    // wait for a lease from now on.
    const bool succeeds = !sameRun && isExclusive(lease, timings, now);
    const Millis successionEnd = repeatsUntil(lease, timings);
    const bool firstCommand = observed.commandCount == 0
            && (succeeds || (lease.unchangedSince < Millis(0) && timings.actsFirst));
    CountObservation result = CountObservation::Unchanged;
    if (!sameRun || lease.commandCount != observed.commandCount) {
        lease = CommandLease{};
        lease.engineStartedAtWallMs = observed.engineStartedAtWallMs;
        lease.commandCount = observed.commandCount;
        lease.unchangedSince = now;
        result = CountObservation::Changed;
    }
    lease.reportedCount = observed.commandCount;
    lease.confirmedAt = now;
    lease.needsModel = observed.needsModel;
    if (lease.needsModel && now >= lease.uncomparedUntil) {
        lease.held = false; // Other daemons take the next turns.
    }
    if (!lease.held && (firstCommand || now >= expectedAcquisition(lease, timings, now))) {
        lease.held = true;
        lease.acquiredCount = lease.commandCount;
        const Millis turnStart = firstCommand ? now : expectedAcquisition(lease, timings, now);
        lease.uncomparedUntil = firstCommand && succeeds
                ? successionEnd
                : turnStart + CommandLeaseTimings::turnLength;
        result = CountObservation::Acquired;
    } else if (lease.held && lease.countedAt >= Millis(0) && now >= repeatsUntil(lease, timings)) {
        lease.acquiredCount = lease.commandCount;
        lease.renewed = true;
    }
    return result;
}

Millis commandsUntil(const CommandLease &lease, const CommandLeaseTimings &timings)
{
    if (!lease.held) {
        return Millis(-1);
    }
    const Millis confirmed = lease.confirmedAt < Millis(0)
            ? Millis(-1)
            : lease.confirmedAt + timings.confirmationLifetime;
    return std::max(confirmed, repeatsUntil(lease, timings));
}

Millis repeatsUntil(const CommandLease &lease, const CommandLeaseTimings &timings)
{
    return lease.held && lease.countedAt >= Millis(0)
            ? lease.countedAt + timings.lease - timings.margin
            : Millis(-1);
}

Millis expectedAcquisition(const CommandLease &lease, const CommandLeaseTimings &timings,
                           Millis now)
{
    if (lease.unchangedSince < Millis(0)) {
        return Millis(-1);
    }
    const Millis unchanged = lease.unchangedSince + timings.lease + timings.margin;
    return lease.needsModel ? std::max(nextTurn(timings, std::max(unchanged, now)), unchanged)
                            : unchanged + timings.acquisitionDelay;
}

void recordCounted(CommandLease &lease, const CommandLeaseTimings &timings, bool mayRepeatAnother,
                   Millis sentAt)
{
    ++lease.commandCount;
    lease.unconfirmedAt = Millis(-1);
    if (mayRepeatAnother && sentAt >= repeatsUntil(lease, timings)) {
        lease.countedAt = Millis(-1);
        lease.confirmedAt = Millis(-1);
    } else {
        lease.countedAt = std::max(lease.countedAt, sentAt);
    }
}

void recordUnconfirmed(CommandLease &lease, Millis sentAt)
{
    lease.unconfirmedAt = sentAt;
}

void expireConfirmation(CommandLease &lease) noexcept
{
    lease.confirmedAt = Millis(-1);
}

FencingNumber fencingNumberFor(const CommandLease &lease, const VmId &vm)
{
    constexpr std::uint64_t numbersPerCommand = 4096; // Half of them for holders that renewed.
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
    constexpr std::uint64_t daemons = numbersPerCommand / 2;
    return FencingNumber(position * numbersPerCommand + (lease.renewed ? daemons : 0)
                         + hash64(vm.str()) % daemons);
}

} // namespace balsamport
