#include "peer_controller.h"

#include <algorithm>
#include <utility>

namespace balsamport {

namespace {

/// Members told to a new peer in one message; the rest follows in the usual rounds.
constexpr int membersPerMessage = 400;
/// Seeds are told again while they are unknown, every so many rounds.
constexpr std::uint64_t roundsPerSeed = 4;
/// Far owners that a daemon opens a connection to in one round; all of a large fleet take seconds.
constexpr std::size_t contactsPerRound = 6;

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

PeerStatus newsOf(const wire::EdgeMember &member)
{
    PeerStatus news;
    news.vm = VmId(member.vm());
    news.incarnation = member.incarnation();
    news.endpoint = member.endpoint();
    news.dataCentre = DataCentreId(member.data_centre());
    news.draining = member.leaving();
    news.inStartupGrace = member.settling();
    for (const std::string &server : member.owned_servers()) {
        news.owned.insert(BackendServerId(server));
    }
    return news;
}

} // namespace

PeerController::PeerController(EdgeContext &owner, MessageClient &client,
                               std::function<LocalStatus()> selfNews,
                               std::function<void(wire::EdgeGossip &)> profiles)
    : context(owner)
    , messages(client)
    , self(std::move(selfNews))
    , addProfiles(std::move(profiles))
    , timer(owner.loop.makeTimer())
{
    this->peers.self = owner.settings.vm;
    this->peers.dataCentre = owner.settings.location.dataCentre;
}

void PeerController::start()
{
    this->round();
}

void PeerController::round()
{
    const Millis now = monotonicNow();
    this->noteSilence(now);
    const std::uint64_t roundNumber = this->peers.round;
    const GossipTargets targets = gossipTargets(this->peers, this->self().draining, now);
    wire::Envelope nearMessage = this->gossip();
    for (const Peer *peer : peersToAnnounce(this->peers, now)) {
        addMember(*nearMessage.mutable_edge_gossip(), *peer);
    }
    for (const Peer *peer : targets.local) {
        this->messages.notify(peer->endpoint, nearMessage);
    }
    if (!targets.remote.empty()) {
        wire::Envelope message = this->dataCentreGossip(now);
        message.mutable_edge_gossip()->set_relay(targets.relayed);
        for (const Peer *peer : targets.remote) {
            this->messages.notify(peer->endpoint, message);
        }
    }
    this->contactFarOwners(now);
    if (roundNumber % roundsPerSeed == 0 || this->believedAlive.empty()) {
        this->tellSeeds();
    }
    this->timer->set(this->peers.timings.localGossipPeriod, [this] { this->round(); });
}

void PeerController::contactFarOwners(Millis now)
{
    if (!remoteTargets(this->peers, now).relayed) {
        return; // All daemons speak to each other anyway.
    }
    std::size_t left = contactsPerRound;
    for (const auto &[vm, peer] : this->peers.peers) {
        if (peer.dataCentre == this->peers.dataCentre || peer.owned.empty()
            || !isAlive(this->peers, peer, now)) {
            continue;
        }
        std::uint64_t &run = this->contacted[vm];
        if (run == peer.incarnation) {
            continue;
        }
        run = peer.incarnation;
        this->tell(peer.endpoint);
        if (--left == 0) {
            return;
        }
    }
}

void PeerController::noteSilence(Millis now)
{
    for (const VmId &vm : removeSilentPeers(this->peers, now)) {
        this->contacted.erase(vm);
        this->context.log.write(EventWeight::Notable, "peer_forgotten", {{"peer", vm.str()}});
    }
    std::set<VmId> alive;
    for (const auto &[vm, peer] : this->peers.peers) {
        if (isAlive(this->peers, peer, now)) {
            alive.insert(vm);
        } else if (this->believedAlive.count(vm) != 0) {
            this->context.log.write(EventWeight::Notable, "peer_silent",
                                    {{"peer", vm.str()}, {"silent_ms", now - peer.lastSeenAt}});
        }
    }
    this->believedAlive = std::move(alive);
}

void PeerController::tellSeeds()
{
    for (const std::string &seed : this->context.settings.seeds) {
        const std::string endpoint = endpointOf(seed);
        const bool known = std::any_of(
                this->peers.peers.begin(), this->peers.peers.end(),
                [&endpoint](const auto &entry) { return entry.second.endpoint == endpoint; });
        if (!known && seed != this->context.settings.peerAddress) {
            this->tell(endpoint);
        }
    }
}

wire::Envelope PeerController::gossip() const
{
    const LocalStatus news = this->self();
    wire::Envelope message;
    wire::EdgeGossip &gossip = *message.mutable_edge_gossip();
    wire::EdgeMember &own = *gossip.mutable_self();
    own.set_vm(this->context.settings.vm.str());
    own.set_incarnation(this->context.incarnation);
    own.set_endpoint(endpointOf(this->context.settings.peerAddress));
    own.set_data_centre(this->peers.dataCentre.str());
    own.set_leaving(news.draining);
    own.set_settling(news.inStartupGrace);
    for (const BackendServerId &server : news.owned) {
        own.add_owned_servers(server.str());
    }
    gossip.set_content_revision(news.contentRevision);
    gossip.set_published_age_ms(static_cast<std::uint32_t>(news.publishedAge.count()));
    gossip.set_store_reachable(news.storeReachable);
    gossip.set_known_peers(static_cast<std::uint32_t>(this->believedAlive.size()));
    this->addProfiles(gossip);
    return message;
}

void PeerController::addMembers(wire::EdgeGossip &gossip, Millis now) const
{
    for (const auto &[vm, peer] : this->peers.peers) {
        if (gossip.members_size() < membersPerMessage && isAlive(this->peers, peer, now)) {
            addMember(gossip, peer);
        }
    }
}

wire::Envelope PeerController::dataCentreGossip(Millis now) const
{
    wire::Envelope message = this->gossip();
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
        for (const BackendServerId &server : peer.owned) {
            member.add_owned_servers(server.str());
        }
    }
    return message;
}

void PeerController::tell(const std::string &endpoint)
{
    this->messages.notify(endpoint, this->gossip());
}

bool PeerController::handleGossip(const wire::EdgeGossip &gossip, std::uint64_t incarnation)
{
    const Millis now = monotonicNow();
    PeerStatus news = newsOf(gossip.self());
    const bool relays = gossip.relay() && news.dataCentre != this->peers.dataCentre
            && shouldRelay(this->peers, news.dataCentre, this->self().draining, now);
    news.incarnation = incarnation;
    news.storeReachable = gossip.store_reachable();
    const bool isNew = updatePeer(this->peers, news, now);
    if (isNew) {
        this->context.log.write(EventWeight::Notable, "peer_found",
                                {{"peer", news.vm.str()},
                                 {"data_centre", news.dataCentre.str()},
                                 {"incarnation", incarnation}});
        this->greet(this->peers.peers.at(news.vm), gossip.known_peers(), now);
    }
    for (const wire::EdgeMember &member : gossip.members()) {
        const PeerStatus told = newsOf(member);
        if (gossip.speaks_for_members()) {
            updatePeer(this->peers, told, now - Millis(member.silent_ms()));
        } else if (discoverPeer(this->peers, told, now)
                   && told.dataCentre == this->peers.dataCentre) {
            this->tell(told.endpoint);
        }
    }
    if (relays) {
        this->relay(gossip, incarnation);
    }
    return isNew;
}

void PeerController::greet(const Peer &peer, std::size_t knownPeers, Millis now)
{
    const bool isNear = peer.dataCentre == this->peers.dataCentre;
    const bool lacksMembers = needsMemberList(this->peers, knownPeers, now);
    if (!isNear && !lacksMembers && remoteTargets(this->peers, now).relayed) {
        return; // Its own delegate tells it.
    }
    wire::Envelope answer = this->gossip();
    if (lacksMembers) {
        this->addMembers(*answer.mutable_edge_gossip(), now);
    }
    this->messages.notify(peer.endpoint, std::move(answer));
}

void PeerController::relay(const wire::EdgeGossip &gossip, std::uint64_t incarnation)
{
    wire::Envelope message = this->gossip();
    wire::EdgeGossip &relayed = *message.mutable_edge_gossip();
    relayed.set_speaks_for_members(true);
    *relayed.mutable_members() = gossip.members();
    wire::EdgeMember &sender = *relayed.add_members();
    sender = gossip.self();
    sender.set_incarnation(incarnation);
    this->sendToDataCentre(message);
}

void PeerController::broadcastStatus()
{
    wire::Envelope message = this->gossip();
    this->sendToDataCentre(message);
    const GossipTargets targets = remoteTargets(this->peers, monotonicNow());
    message.mutable_edge_gossip()->set_relay(targets.relayed);
    for (const Peer *peer : targets.remote) {
        this->messages.notify(peer->endpoint, message);
    }
}

void PeerController::broadcastCrashes(Fingerprint fingerprint, std::uint32_t crashes)
{
    wire::Envelope message;
    message.mutable_crash_note()->set_fingerprint(fingerprint.number());
    message.mutable_crash_note()->set_crashes(crashes);
    this->sendToDataCentre(message);
    const GossipTargets targets = remoteTargets(this->peers, monotonicNow());
    message.mutable_crash_note()->set_relay(targets.relayed);
    for (const Peer *peer : targets.remote) {
        this->messages.notify(peer->endpoint, message);
    }
}

void PeerController::relayCrashes(const wire::CrashNote &note)
{
    if (!note.relay() || !isDelegate(this->peers, this->self().draining, monotonicNow())) {
        return;
    }
    wire::Envelope message;
    *message.mutable_crash_note() = note;
    message.mutable_crash_note()->set_relay(false);
    this->sendToDataCentre(message);
}

void PeerController::send(const VmId &peer, wire::Envelope message)
{
    const auto found = this->peers.peers.find(peer);
    if (found != this->peers.peers.end()) {
        this->messages.notify(found->second.endpoint, std::move(message));
    }
}

void PeerController::queryOwner(const VmId &owner, wire::Envelope question, Millis timeout,
                                std::function<void(const wire::PlaceReply &reply)> handler)
{
    const auto found = this->peers.peers.find(owner);
    if (found == this->peers.peers.end()) {
        return;
    }
    this->messages.request(found->second.endpoint, std::move(question), timeout,
                           [&loop = this->context.loop,
                            task = std::move(handler)](const Result<wire::Envelope> &reply) {
                               if (reply.has_error()) {
                                   return false; // The request's own timers go on without it.
                               }
                               const wire::PlaceReply &told = reply.value().place_reply();
                               loop.post([task, told] { task(told); });
                               return told.verdict() == wire::PlaceReply::QUEUED;
                           });
}

void PeerController::sendToDataCentre(const wire::Envelope &message)
{
    for (const auto &[vm, peer] : this->peers.peers) {
        if (peer.dataCentre == this->peers.dataCentre) {
            this->messages.notify(peer.endpoint, message);
        }
    }
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
