#include <balsamport/edge/fleet_contact.h>

#include <algorithm>

namespace balsamport {

namespace {

/// Above maxStaleness() and the time of a request that then fails.
constexpr Millis maxPublishedAge{4'000};

bool hasLeft(const PeerTable &peers, const Peer &peer, Millis now)
{
    return peer.draining && !isAlive(peers, peer, now);
}

} // namespace

std::size_t knownMembers(const PeerTable &peers, Millis now)
{
    return peers.removed.size()
            + static_cast<std::size_t>(
                    std::count_if(peers.peers.begin(), peers.peers.end(), [&](const auto &entry) {
                        return !hasLeft(peers, entry.second, now);
                    }));
}

FleetContact assessContact(const PeerTable &peers, const ContactEvidence &evidence,
                           Millis startedAt, Millis now)
{
    std::size_t known = knownMembers(peers, now);
    std::size_t alive = 0;
    for (const auto &[vm, peer] : peers.peers) {
        if (isAlive(peers, peer, now)) {
            ++alive;
            known = std::max<std::size_t>(known, peer.knownMembers);
        }
    }
    if (alive == 0 && evidence.hasOtherSeeds
        && now - startedAt < peers.timings.silentPeerRetention) {
        known = std::max<std::size_t>(known, 1);
    }
    if ((alive + 1) * 2 > known + 1) {
        return FleetContact::Majority;
    }
    return evidence.storeReachable && evidence.publishedAge <= maxPublishedAge
            ? FleetContact::Minority
            : FleetContact::Isolated;
}

bool updateContact(ContactState &state, FleetContact contact, Millis now)
{
    const bool changed = state.contact != contact;
    state.contact = contact;
    if (contact == FleetContact::Isolated) {
        state.reachedSince = Millis(-1);
    } else if (state.reachedSince < Millis(0)) {
        state.reachedSince = now;
    }
    if (contact != FleetContact::Majority) {
        state.majoritySince = Millis(-1);
    } else if (state.majoritySince < Millis(0)) {
        state.majoritySince = now;
    }
    return changed;
}

void restartMajority(ContactState &state, Millis now) noexcept
{
    if (state.majoritySince >= Millis(0)) {
        state.majoritySince = now;
    }
}

Millis acquirableFrom(const ContactState &state, const CommandLeaseTimings &timings)
{
    if (state.reachedSince < Millis(0)) {
        return ContactState::never;
    }
    const bool sinceStart = state.reachedSince - state.startedAt < timings.lease;
    return sinceStart ? state.reachedSince : state.reachedSince + timings.lease + timings.margin;
}

Millis unarbitratedFrom(const ContactState &state, const CommandLeaseTimings &timings)
{
    return state.majoritySince < Millis(0) ? ContactState::never
                                           : state.majoritySince + timings.lease + timings.margin;
}

} // namespace balsamport
