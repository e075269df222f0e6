#include "peer_controller.h"

#include <algorithm>
#include <utility>

namespace balsamport {

namespace {

/// Members told to a peer in one message; a new daemon learns the rest from several.
constexpr int membersPerMessage = 12;
/// Seeds are told again while they are unknown, every so many rounds.
constexpr std::uint64_t roundsPerSeed = 4;

std::string endpointOf(const std::string &address)
{
    return "tcp://" + address;
}

PeerNews newsOf(const wire::EdgeMember &member)
{
    PeerNews news;
    news.vm = VmId(member.vm());
    news.incarnation = member.incarnation();
    news.endpoint = member.endpoint();
    news.dataCentre = DataCentreId(member.data_centre());
    return news;
}

} // namespace

PeerController::PeerController(EdgeContext &owner, MessageClient &client,
                               std::function<SelfNews()> selfNews)
    : context(owner)
    , messages(client)
    , self(std::move(selfNews))
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
    for (const VmId &vm : forgetPeers(this->peers, now)) {
        this->context.log.write(EventWeight::Notable, "peer_forgotten", {{"peer", vm.str()}});
    }
    std::set<VmId> alive;
    for (const auto &[vm, peer] : this->peers.peers) {
        if (isAlive(this->peers, peer, now)) {
            alive.insert(vm);
        } else if (this->believedAlive.count(vm) != 0) {
            this->context.log.write(EventWeight::Notable, "peer_silent",
                                    {{"peer", vm.str()}, {"silent_ms", now - peer.heardAt}});
        }
    }
    this->believedAlive = std::move(alive);
    const std::uint64_t roundNumber = this->peers.round;
    for (const Peer *peer : gossipTargets(this->peers)) {
        this->tell(peer->endpoint);
    }
    if (roundNumber % roundsPerSeed == 0 || this->believedAlive.empty()) {
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
    this->timer->set(this->peers.timings.nearPeriod, [this] { this->round(); });
}

wire::Envelope PeerController::gossip() const
{
    const SelfNews news = this->self();
    const Millis now = monotonicNow();
    wire::Envelope message;
    wire::EdgeGossip &gossip = *message.mutable_edge_gossip();
    gossip.mutable_self()->set_vm(this->context.settings.vm.str());
    gossip.mutable_self()->set_incarnation(this->context.incarnation);
    gossip.mutable_self()->set_endpoint(endpointOf(this->context.settings.peerAddress));
    gossip.mutable_self()->set_data_centre(this->peers.dataCentre.str());
    gossip.set_content_revision(news.contentRevision);
    gossip.set_published_age_ms(static_cast<std::uint32_t>(news.publishedAge.count()));
    gossip.set_store_reachable(news.storeReachable);
    gossip.set_leaving(news.leaving);
    for (const BackendServerId &server : news.owned) {
        gossip.add_owned_servers(server.str());
    }
    // A different part of the members each round, so that all are told in time.
    const std::size_t count = this->peers.peers.size();
    const bool fullRound = this->peers.round % roundsPerSeed == 0;
    const std::size_t first = count == 0 ? 0 : this->peers.round / roundsPerSeed % count;
    std::size_t index = 0;
    for (const auto &[vm, peer] : this->peers.peers) {
        const std::size_t distance = (index++ + count - first) % count;
        if (!fullRound || distance >= membersPerMessage || !isAlive(this->peers, peer, now)) {
            continue;
        }
        wire::EdgeMember &member = *gossip.add_members();
        member.set_vm(vm.str());
        member.set_endpoint(peer.endpoint);
        member.set_data_centre(peer.dataCentre.str());
    }
    return message;
}

void PeerController::tell(const std::string &endpoint)
{
    this->messages.notify(endpoint, this->gossip());
}

bool PeerController::take(const wire::EdgeGossip &gossip, std::uint64_t incarnation)
{
    const Millis now = monotonicNow();
    PeerNews news = newsOf(gossip.self());
    news.incarnation = incarnation;
    news.leaving = gossip.leaving();
    news.storeReachable = gossip.store_reachable();
    for (const std::string &server : gossip.owned_servers()) {
        news.owned.insert(BackendServerId(server));
    }
    const bool isNew = hearPeer(this->peers, news, now);
    if (isNew) {
        this->context.log.write(EventWeight::Notable, "peer_found",
                                {{"peer", news.vm.str()},
                                 {"data_centre", news.dataCentre.str()},
                                 {"incarnation", incarnation}});
        this->tell(news.endpoint);
    }
    for (const wire::EdgeMember &member : gossip.members()) {
        const PeerNews told = newsOf(member);
        if (learnPeer(this->peers, told, now)) {
            this->tell(told.endpoint);
        }
    }
    return isNew;
}

void PeerController::tellAll()
{
    this->sendToAll(this->gossip());
}

void PeerController::send(const VmId &peer, wire::Envelope message)
{
    const auto found = this->peers.peers.find(peer);
    if (found != this->peers.peers.end()) {
        this->messages.notify(found->second.endpoint, std::move(message));
    }
}

void PeerController::sendToDataCentre(const wire::Envelope &message)
{
    for (const auto &[vm, peer] : this->peers.peers) {
        if (peer.dataCentre == this->peers.dataCentre) {
            this->messages.notify(peer.endpoint, message);
        }
    }
}

void PeerController::sendToAll(const wire::Envelope &message)
{
    for (const auto &[vm, peer] : this->peers.peers) {
        this->messages.notify(peer.endpoint, message);
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
