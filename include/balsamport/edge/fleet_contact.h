#ifndef BALSAMPORT_EDGE_FLEET_CONTACT_H
#define BALSAMPORT_EDGE_FLEET_CONTACT_H

#include <balsamport/edge/command_lease.h>
#include <balsamport/edge/peers.h>

#include <cstdint>
#include <limits>

namespace balsamport {

/// @brief How much of the fleet a daemon is in contact with.
enum class FleetContact : std::uint8_t {
    Majority, ///< More than half of the daemons that it knows are alive.
    Minority, ///< At most half are, but the store is reached: the others may have ended.
    Isolated, ///< At most half are, and the store isn't reached: it is probably cut off.
};

/// @brief What a daemon knows of its contact besides its peers.
struct ContactEvidence
{
    bool hasOtherSeeds = false; ///< The settings name another daemon as a seed node.
    bool storeReachable = false; ///< The last request to the store succeeded.
    Millis publishedAge{0}; ///< Since the store last confirmed the published state to any peer.

    bool operator==(const ContactEvidence &) const = default;
};

/// @brief The contact of a daemon and since when it has it. Times are monotonic.
struct ContactState
{
    FleetContact contact = FleetContact::Isolated;
    Millis startedAt{0}; ///< Of the daemon.
    Millis reachedSince{-1}; ///< End of the last isolation; -1 while isolated.
    Millis majoritySince{-1}; ///< -1 while there is no majority.

    /// A time that is never reached.
    static constexpr Millis never{std::numeric_limits<std::int64_t>::max() / 4};

    bool operator==(const ContactState &) const = default;
};

/// How long a daemon has to have claimed an engine before it commands it by contact alone. The
/// claim begins PeerTimings::localPeerTimeout after a cut at the earliest; an owner behind the cut
/// has a majority for PeerTimings::remotePeerTimeout, and its last command arrives up to
/// reservationUse() and CommandLeaseTimings::deliveryTime later.
constexpr Millis claimSettlingTime{4'500};

/// @brief Returns the number of daemons that a table lists or remembers, without this one and those
/// that have announced their end and are silent since.
[[nodiscard]] std::size_t knownMembers(const PeerTable &peers, Millis now);

/// @brief Assesses the contact. Daemons count that this one knows, or any live peer of it: after a
/// restart it knows few by itself.
/// @param startedAt of this daemon. One that hasn't received a message yet assumes that its seed
/// nodes live for as long as a silent peer is remembered.
/// @complexity linear in the peers
[[nodiscard]] FleetContact assessContact(const PeerTable &peers, const ContactEvidence &evidence,
                                         Millis startedAt, Millis now);

/// @brief Applies a new assessment.
/// @return true if the contact changed
bool updateContact(ContactState &state, FleetContact contact, Millis now);

/// @brief Restarts the time for which the daemon has had a majority, after a pause of the process:
/// messages from before the pause, received after it, make peers seem alive.
void restartMajority(ContactState &state, Millis now) noexcept;

/// @brief Returns from when on this daemon may become a holder of engines, ContactState::never
/// while it is isolated. After an isolation it waits for a lease: those that took over meanwhile
/// may still hold theirs. A daemon that has just started waits as its first report requires.
[[nodiscard]] Millis acquirableFrom(const ContactState &state, const CommandLeaseTimings &timings);

/// @brief Returns from when on this daemon may command an engine that grants no reservations, so
/// that nothing but the contact keeps two daemons apart.
[[nodiscard]] Millis unarbitratedFrom(const ContactState &state,
                                      const CommandLeaseTimings &timings);

} // namespace balsamport

#endif
