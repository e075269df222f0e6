#include "peer_controller.h"

#include <algorithm>
#include <utility>

namespace balsamport {

namespace {

/// Members listed to a new peer in one message; the announcements of regular rounds list the rest.
constexpr int maxMembersPerMessage = 400;
/// Interval, in rounds, at which seed nodes that are still unknown are contacted.
constexpr std::uint64_t roundsPerSeedContact = 4;
/// Remote owners that a daemon connects to in one round; in a large fleet all take seconds.
constexpr std::size_t maxOwnerContactsPerRound = 6;
/// Time for which a delegate collects what it relays from other data centres. Without it, a burst
/// of changes in a large fleet exceeds what its VM can send. Completions must arrive within
/// CrashLimits::settleTime of a crash, after their publication and the way between the regions.
constexpr Millis relayDelay{50};
/// Loads are sent in thousandths, at most ten minutes of queued prefill.
constexpr double loadUnits = 1'000;
constexpr double maxLoadUnits = 600'000;

std::string endpointOf(const std::string &address)
{
    return "tcp://" + address;
}

void addMember(wire::EdgeGossip &gossip, const Peer &peer)
{
    wire::EdgeMember &member = *gossip.add_members();
    member.set_vm(peer.vm.str());
    member.set_endpoint(peer.endpoint);
    member.set_data_centre(peer.dataCentre.str());
}

/// Adds the owned engines and their loads, or no loads if one is unknown.
void addEngines(wire::EdgeMember &member, const std::set<BackendServerId> &owned,
                const std::map<BackendServerId, double> &loads)
{
    for (const BackendServerId &server : owned) {
        member.add_owned_servers(server.str());
        const auto load = loads.find(server);
        if (load != loads.end()) {
            member.add_owned_loads(static_cast<std::uint32_t>(
                    std::clamp(load->second * loadUnits, 0.0, maxLoadUnits)));
        }
    }
    if (member.owned_loads_size() != member.owned_servers_size()) {
        member.clear_owned_loads();
    }
}

PeerStatus statusOf(const wire::EdgeMember &member)
{
    PeerStatus status;
    status.vm = VmId(member.vm());
    status.incarnation = member.incarnation();
    status.endpoint = member.endpoint();
    status.dataCentre = DataCentreId(member.data_centre());
    status.draining = member.leaving();
    status.inStartupGrace = member.settling();
    const bool hasLoads = member.owned_loads_size() == member.owned_servers_size();
    for (int i = 0; i < member.owned_servers_size(); ++i) {
        const BackendServerId server(member.owned_servers(i));
        status.owned.insert(server);
        if (hasLoads) {
            status.engineLoads[server] = member.owned_loads(i) / loadUnits;
        }
    }
    return status;
}

std::string_view nameOf(FleetContact contact) noexcept
{
    switch (contact) {
    case FleetContact::Majority:
        return "majority";
    case FleetContact::Minority:
        return "minority";
    case FleetContact::Isolated:
        return "isolated";
    }
    return "unknown";
}

} // namespace

PeerController::PeerController(EdgeContext &owner, MessageClient &client,
                               std::function<LocalStatus()> status,
                               std::function<void(wire::EdgeGossip &, bool)> knowledge)
    : context(owner)
    , messages(client)
    , localStatus(std::move(status))
    , addKnowledge(std::move(knowledge))
    , timer(owner.loop.makeTimer())
    , relayTimer(owner.loop.makeTimer())
{
    this->peers.self = owner.settings.vm;
    this->peers.dataCentre = owner.settings.location.dataCentre;
}

const ContactState &PeerController::updateContact(Millis now)
{
    const LocalStatus status = this->localStatus();
    const ContactEvidence evidence{this->hasOtherSeeds(), status.storeReachable,
                                   status.publishedAge};
    const FleetContact assessed
            = assessContact(this->peers, evidence, this->contact.startedAt, now);
    if (balsamport::updateContact(this->contact, assessed, now)) {
        this->context.log.write(EventPriority::Vital, "fleet_contact",
                                {{"contact", nameOf(assessed)},
                                 {"alive", this->liveDaemons()},
                                 {"known", knownMembers(this->peers, now) + 1},
                                 {"store_reachable", status.storeReachable},
                                 {"published_age_ms", status.publishedAge}});
    }
    return this->contact;
}

void PeerController::start()
{
    this->contact.startedAt = monotonicNow();
    this->runRound();
}

void PeerController::runRound()
{
    const Millis now = monotonicNow();
    this->updateLiveness(now);
    const std::uint64_t roundNumber = this->peers.round;
    const GossipTargets targets = gossipTargets(this->peers, this->localStatus().draining, now);
    wire::Envelope localMessage = this->gossipMessage();
    for (const Peer *peer : peersToAnnounce(this->peers, now)) {
        addMember(*localMessage.mutable_edge_gossip(), *peer);
    }
    this->sendTo(targets.local, std::move(localMessage));
    if (!targets.remote.empty()) {
        wire::Envelope message = this->dataCentreGossip(now);
        message.mutable_edge_gossip()->set_relay(targets.relayed);
        this->sendTo(targets.remote, std::move(message));
    }
    this->contactRemoteOwners(now);
    if (roundNumber % roundsPerSeedContact == 0 || this->alivePeers.empty()) {
        this->contactSeeds();
    }
    this->timer->set(this->peers.timings.localGossipPeriod, [this] { this->runRound(); });
}

void PeerController::contactRemoteOwners(Millis now)
{
    if (!remoteTargets(this->peers, now).relayed) {
        return; // All daemons send gossip to each other anyway.
    }
    std::size_t left = maxOwnerContactsPerRound;
    for (const auto &[vm, peer] : this->peers.peers) {
        if (peer.dataCentre == this->peers.dataCentre || peer.owned.empty()
            || !isAlive(this->peers, peer, now)) {
            continue;
        }
        std::uint64_t &incarnation = this->contactedOwners[vm];
        if (incarnation == peer.incarnation) {
            continue;
        }
        incarnation = peer.incarnation;
        this->sendGossip(peer.endpoint);
        if (--left == 0) {
            return;
        }
    }
}

void PeerController::updateLiveness(Millis now)
{
    // An isolated daemon that forgot the others would take itself for the whole fleet.
    if (this->contact.contact != FleetContact::Isolated) {
        for (const VmId &vm :
             removeSilentPeers(this->peers, this->contact.contact == FleetContact::Majority, now)) {
            this->contactedOwners.erase(vm);
            this->context.log.write(EventPriority::Notable, "peer_forgotten", {{"peer", vm.str()}});
        }
    }
    std::set<VmId> alive;
    for (const auto &[vm, peer] : this->peers.peers) {
        if (isAlive(this->peers, peer, now)) {
            alive.insert(vm);
        } else if (this->alivePeers.count(vm) != 0) {
            this->context.log.write(EventPriority::Notable, "peer_silent",
                                    {{"peer", vm.str()}, {"silent_ms", now - peer.lastSeenAt}});
        }
    }
    this->alivePeers = std::move(alive);
}

void PeerController::contactSeeds()
{
    for (const std::string &seed : this->context.settings.seeds) {
        const std::string endpoint = endpointOf(seed);
        const bool known = std::any_of(
                this->peers.peers.begin(), this->peers.peers.end(),
                [&endpoint](const auto &entry) { return entry.second.endpoint == endpoint; });
        if (!known && seed != this->context.settings.advertisedPeerAddress) {
            this->sendGossip(endpoint);
        }
    }
}

wire::Envelope PeerController::gossipMessage(bool forDataCentre) const
{
    wire::Envelope message = this->statusMessage();
    this->addKnowledge(*message.mutable_edge_gossip(), forDataCentre);
    return message;
}

wire::Envelope PeerController::statusMessage() const
{
    const LocalStatus status = this->localStatus();
    wire::Envelope message;
    wire::EdgeGossip &gossip = *message.mutable_edge_gossip();
    wire::EdgeMember &own = *gossip.mutable_self();
    own.set_vm(this->context.settings.vm.str());
    own.set_incarnation(this->context.incarnation);
    own.set_endpoint(endpointOf(this->context.settings.advertisedPeerAddress));
    own.set_data_centre(this->peers.dataCentre.str());
    own.set_leaving(status.draining);
    own.set_settling(status.inStartupGrace);
    addEngines(own, status.owned, status.engineLoads);
    gossip.set_content_revision(status.contentRevision.number);
    gossip.set_content_era(status.contentRevision.era);
    gossip.set_kept_digest(status.keptDigest);
    gossip.set_published_age_ms(static_cast<std::uint32_t>(status.publishedAge.count()));
    gossip.set_store_reachable(status.storeReachable);
    gossip.set_known_peers(static_cast<std::uint32_t>(this->alivePeers.size()));
    gossip.set_known_members(static_cast<std::uint32_t>(knownMembers(this->peers, monotonicNow())));
    return message;
}

void PeerController::addMembers(wire::EdgeGossip &gossip, Millis now) const
{
    for (const auto &[vm, peer] : this->peers.peers) {
        if (gossip.members_size() < maxMembersPerMessage && isAlive(this->peers, peer, now)) {
            addMember(gossip, peer);
        }
    }
}

wire::Envelope PeerController::dataCentreGossip(Millis now) const
{
    wire::Envelope message = this->gossipMessage(true);
    wire::EdgeGossip &gossip = *message.mutable_edge_gossip();
    gossip.set_speaks_for_members(true);
    for (const auto &[vm, peer] : this->peers.peers) {
        if (peer.dataCentre != this->peers.dataCentre || !isAlive(this->peers, peer, now)) {
            continue;
        }
        wire::EdgeMember &member = *gossip.add_members();
        member.set_vm(vm.str());
        member.set_incarnation(peer.incarnation);
        member.set_endpoint(peer.endpoint);
        member.set_data_centre(peer.dataCentre.str());
        member.set_silent_ms(static_cast<std::uint32_t>((now - peer.lastSeenAt).count()));
        member.set_leaving(peer.draining);
        member.set_settling(peer.inStartupGrace);
        addEngines(member, peer.owned, peer.engineLoads);
    }
    return message;
}

void PeerController::sendGossip(const std::string &endpoint)
{
    this->messages.notify(endpoint, this->gossipMessage());
}

bool PeerController::handleGossip(const wire::EdgeGossip &gossip, std::uint64_t incarnation)
{
    const Millis now = monotonicNow();
    PeerStatus status = statusOf(gossip.self());
    const bool mustRelay = gossip.relay() && status.dataCentre != this->peers.dataCentre
            && shouldRelay(this->peers, status.dataCentre, this->localStatus().draining, now);
    status.incarnation = incarnation;
    status.storeReachable = gossip.store_reachable();
    status.knownMembers = gossip.known_members();
    const bool isNew = updatePeer(this->peers, status, now);
    if (isNew) {
        this->context.log.write(EventPriority::Notable, "peer_found",
                                {{"peer", status.vm.str()},
                                 {"data_centre", status.dataCentre.str()},
                                 {"incarnation", incarnation}});
        this->introduceTo(this->peers.peers.at(status.vm), gossip.known_peers(), now);
    }
    for (const wire::EdgeMember &member : gossip.members()) {
        const PeerStatus memberStatus = statusOf(member);
        if (gossip.speaks_for_members()) {
            updatePeer(this->peers, memberStatus, now - Millis(member.silent_ms()));
        } else if (discoverPeer(this->peers, memberStatus, now)
                   && memberStatus.dataCentre == this->peers.dataCentre) {
            this->sendGossip(memberStatus.endpoint);
        }
    }
    if (mustRelay) {
        this->relayGossip(gossip, incarnation);
    }
    return isNew;
}

void PeerController::introduceTo(const Peer &peer, std::size_t knownPeers, Millis now)
{
    const bool isLocal = peer.dataCentre == this->peers.dataCentre;
    const bool lacksMembers = needsMemberList(this->peers, knownPeers, now);
    if (!isLocal && !lacksMembers && remoteTargets(this->peers, now).relayed) {
        return; // The delegate of its data centre sends it this daemon's status.
    }
    wire::Envelope reply = this->gossipMessage();
    if (lacksMembers) {
        this->addMembers(*reply.mutable_edge_gossip(), now);
    }
    this->messages.notify(peer.endpoint, std::move(reply));
}

void PeerController::relayGossip(const wire::EdgeGossip &gossip, std::uint64_t incarnation)
{
    const Millis now = monotonicNow();
    if (gossip.speaks_for_members()) {
        for (const wire::EdgeMember &member : gossip.members()) {
            this->addRelay(member, now);
        }
    }
    for (const wire::DataCentreUsage &usage : gossip.data_centre_usages()) {
        this->usageRelays.insert_or_assign(DataCentreId(usage.data_centre()),
                                           UsageRelay{usage, now});
    }
    wire::EdgeMember sender = gossip.self();
    sender.set_incarnation(incarnation);
    this->addRelay(sender, now);
    this->scheduleRelays();
}

void PeerController::addRelay(const wire::EdgeMember &member, Millis now)
{
    const auto [relay, isNew] = this->relays.try_emplace(VmId(member.vm()), Relay{member, now});
    // By run of the daemon, then by the time at which it was last seen.
    const auto version = [](const Relay &status) {
        return std::make_pair(status.member.incarnation(),
                              status.receivedAt - Millis(status.member.silent_ms()));
    };
    Relay received{member, now};
    if (!isNew && version(received) >= version(relay->second)) {
        relay->second = std::move(received);
    }
}

void PeerController::scheduleRelays()
{
    if (!this->relaysScheduled) {
        this->relaysScheduled = true;
        this->relayTimer->set(relayDelay, [this] { this->flushRelays(); });
    }
}

void PeerController::flushRelays()
{
    this->relaysScheduled = false;
    const Millis now = monotonicNow();
    for (wire::CrashNote &note : takeRelayedNotes(this->crashRelay, now)) {
        wire::Envelope message;
        *message.mutable_crash_note() = std::move(note);
        this->sendToDataCentre(std::move(message));
    }
    if (this->relays.empty()) {
        return;
    }
    wire::Envelope message = this->statusMessage();
    wire::EdgeGossip &gossip = *message.mutable_edge_gossip();
    gossip.set_speaks_for_members(true);
    for (auto &[vm, relay] : this->relays) {
        const auto delay = static_cast<std::uint32_t>((now - relay.receivedAt).count());
        relay.member.set_silent_ms(relay.member.silent_ms() + delay);
        *gossip.add_members() = std::move(relay.member);
    }
    this->relays.clear();
    for (auto &[dataCentre, relay] : this->usageRelays) {
        const auto delay = static_cast<std::uint32_t>((now - relay.receivedAt).count());
        relay.usage.set_age_ms(relay.usage.age_ms() + delay);
        *gossip.add_data_centre_usages() = std::move(relay.usage);
    }
    this->usageRelays.clear();
    this->sendToDataCentre(std::move(message));
}

void PeerController::broadcastStatus()
{
    wire::Envelope message = this->statusMessage();
    this->sendToDataCentre(message);
    const GossipTargets targets = remoteTargets(this->peers, monotonicNow());
    message.mutable_edge_gossip()->set_relay(targets.relayed);
    this->sendTo(targets.remote, std::move(message));
}

void PeerController::broadcastCrashes(const wire::CrashNote &note)
{
    wire::Envelope message;
    *message.mutable_crash_note() = note;
    this->sendToDataCentre(message);
    const GossipTargets targets = remoteTargets(this->peers, monotonicNow());
    message.mutable_crash_note()->set_relay(targets.relayed);
    this->sendTo(targets.remote, message);
}

void PeerController::relayCrashes(const wire::CrashNote &note)
{
    if (!note.relay() || !this->isDelegate()) {
        return;
    }
    collectCrashNote(this->crashRelay, note, monotonicNow());
    this->scheduleRelays();
}

void PeerController::broadcastRateLimit(const wire::ServerRateLimit &rateLimit)
{
    wire::Envelope message;
    *message.mutable_rate_limit_notice()->mutable_rate_limit() = rateLimit;
    this->sendToDataCentre(message);
    const GossipTargets targets = remoteTargets(this->peers, monotonicNow());
    message.mutable_rate_limit_notice()->set_relay(targets.relayed);
    this->sendTo(targets.remote, message);
}

void PeerController::relayRateLimit(const wire::RateLimitNotice &notice)
{
    if (!notice.relay() || !this->isDelegate()) {
        return;
    }
    wire::Envelope message;
    *message.mutable_rate_limit_notice() = notice;
    message.mutable_rate_limit_notice()->set_relay(false);
    this->sendToDataCentre(message);
}

void PeerController::send(const VmId &peer, wire::Envelope message)
{
    const auto found = this->peers.peers.find(peer);
    if (found != this->peers.peers.end()) {
        this->messages.notify(found->second.endpoint, std::move(message));
    }
}

void PeerController::queryOwner(const VmId &owner, wire::Envelope request, Millis timeout,
                                std::function<void(const wire::PlaceReply &reply)> handler)
{
    const auto found = this->peers.peers.find(owner);
    if (found == this->peers.peers.end()) {
        return;
    }
    this->messages.request(
            found->second.endpoint, std::move(request), timeout,
            [&loop = this->context.loop,
             task = std::move(handler)](const Result<wire::Envelope> &reply) {
                if (reply.has_error()) {
                    return false; // The timers of the request handle a missing reply.
                }
                const wire::PlaceReply &grantReply = reply.value().place_reply();
                loop.post([task, grantReply] { task(grantReply); });
                return grantReply.verdict() == wire::PlaceReply::QUEUED;
            });
}

void PeerController::queryIssuer(
        const VmId &issuer, wire::Envelope request, Millis timeout,
        std::function<void(const std::optional<wire::PermitReply> &reply)> handler)
{
    const auto found = this->peers.peers.find(issuer);
    if (found == this->peers.peers.end()) {
        handler(std::nullopt);
        return;
    }
    this->messages.request(found->second.endpoint, std::move(request), timeout,
                           [&loop = this->context.loop,
                            task = std::move(handler)](const Result<wire::Envelope> &reply) {
                               std::optional<wire::PermitReply> permit;
                               if (reply.has_value() && reply.value().has_permit_reply()) {
                                   permit = reply.value().permit_reply();
                               }
                               loop.post([task, permit] { task(permit); });
                               return false;
                           });
}

void PeerController::sendTo(const std::vector<const Peer *> &recipients, wire::Envelope message)
{
    std::vector<std::string> endpoints;
    endpoints.reserve(recipients.size());
    for (const Peer *peer : recipients) {
        endpoints.push_back(peer->endpoint);
    }
    this->messages.notifyAll(endpoints, std::move(message));
}

bool PeerController::isDelegate() const
{
    return balsamport::isDelegate(this->peers, this->localStatus().draining, monotonicNow());
}

void PeerController::sendToDataCentre(wire::Envelope message)
{
    std::vector<const Peer *> recipients;
    for (const auto &[vm, peer] : this->peers.peers) {
        if (peer.dataCentre == this->peers.dataCentre) {
            recipients.push_back(&peer);
        }
    }
    this->sendTo(recipients, std::move(message));
}

bool PeerController::hasOtherSeeds() const
{
    const std::vector<std::string> &seeds = this->context.settings.seeds;
    return std::any_of(seeds.begin(), seeds.end(), [this](const std::string &seed) {
        return seed != this->context.settings.advertisedPeerAddress;
    });
}

std::size_t PeerController::budgetSharers(Millis window) const
{
    FleetEvidence evidence{this->hasOtherSeeds(), {}, this->contact.startedAt};
    for (const auto &[dataCentre, region] : this->context.settings.location.regions) {
        evidence.dataCentres.insert(dataCentre);
    }
    return balsamport::budgetSharers(this->peers, evidence, window, monotonicNow());
}

std::size_t PeerController::liveDaemons() const
{
    const Millis now = monotonicNow();
    std::size_t count = 1;
    for (const auto &[vm, peer] : this->peers.peers) {
        count += isAlive(this->peers, peer, now) ? 1 : 0;
    }
    return count;
}

} // namespace balsamport
