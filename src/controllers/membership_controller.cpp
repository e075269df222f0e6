#include <balsamport/controllers/membership_controller.h>

#include <balsamport/controllers/member_messages.h>
#include <balsamport/core/hash.h>
#include <balsamport/core/log.h>
#include <balsamport/wire/convert.h>

#include <algorithm>

namespace balsamport {

namespace {

constexpr Millis seedProbeInterval{1000};
constexpr Millis pullTimeout{1000};
constexpr Millis relayTimeout{400};
constexpr Millis ackTimeout{2000};
/// A peer's list is pulled only where it is fresher than the own one by more than this.
constexpr Millis minListAgeDifference{300};

std::string_view stateName(MemberState memberState)
{
    switch (memberState) {
    case MemberState::Alive:
        return "alive";
    case MemberState::Suspect:
        return "suspect";
    case MemberState::Dead:
        return "dead";
    case MemberState::Draining:
        return "leaving";
    }
    return "unknown";
}

std::vector<Member> membersFrom(const google::protobuf::RepeatedPtrField<wire::MemberNews> &updates)
{
    std::vector<Member> members;
    for (const wire::MemberNews &entry : updates) {
        members.push_back(fromWire(entry));
    }
    return members;
}

void logChanges(const FleetView &before, const FleetView &after)
{
    for (const Member &member : after.members) {
        const auto old = std::find_if(
                before.members.begin(), before.members.end(),
                [&member](const Member &m) { return m.instance.vm == member.instance.vm; });
        if (old == before.members.end() || old->state != member.state
            || old->instance != member.instance) {
            LOG(INFO) << logprefix::member << "Member changed. vm=" << member.instance.vm
                      << " state=" << stateName(member.state)
                      << " incarnation=" << member.instance.incarnation
                      << " data_centre=" << member.dataCentre;
        }
    }
    for (const Owner &owner : after.owners) {
        if (std::find(before.owners.begin(), before.owners.end(), owner) == before.owners.end()) {
            LOG(INFO) << logprefix::owner << "Owner changed. server=" << owner.backendServer
                      << " vm=" << owner.vm;
        }
    }
}

std::uint64_t digestOf(const FleetView &view)
{
    std::uint64_t digest = view.draining ? 1 : 0;
    for (const Member &member : view.members) {
        digest = mixHash(digest, hash64(member.instance.vm.str()));
        digest = mixHash(digest, member.instance.incarnation.number());
        digest = mixHash(digest, member.refutation * 4 + static_cast<std::uint64_t>(member.state));
        digest = mixHash(digest, hash64(member.controllerEndpoint));
    }
    for (const VmId &vm : view.listedVms) {
        digest = mixHash(digest, hash64(vm.str()));
    }
    for (const Owner &owner : view.owners) {
        digest = mixHash(digest, hash64(owner.backendServer.str()));
        digest = mixHash(digest, hash64(owner.vm.str()));
    }
    return digest == 0 ? 1 : digest;
}

} // namespace

MembershipController::MembershipController(MessageClient &messageClient,
                                           MembershipSettings membershipSettings)
    : client(messageClient)
    , settings(std::move(membershipSettings))
    , state(startMembership(this->settings.self, this->settings.timings,
                            hash64(this->settings.self.instance.vm.str(),
                                   this->settings.self.instance.incarnation.number())))
    , view(std::make_shared<const FleetView>())
{
    const std::lock_guard lock(this->mutex);
    this->refreshView();
}

void MembershipController::onPeerConfig(PeerConfigHandler handler)
{
    this->peerConfigHandler = std::move(handler);
}

bool MembershipController::handle(const wire::Envelope &message, const ReplySender &reply)
{
    if (message.has_probe()) {
        this->handleProbe(message, reply);
    } else if (message.has_probe_relay()) {
        this->handleProbeRelay(message, reply);
    } else if (message.has_members_pull()) {
        this->handlePull(message.members_pull(), reply);
    } else {
        return false;
    }
    return true;
}

void MembershipController::handleProbe(const wire::Envelope &message, const ReplySender &reply)
{
    const wire::Probe &probe = message.probe();
    const VmInstance sender = fromWire(message.sender());
    bool unknownSender = false;
    {
        const std::lock_guard lock(this->mutex);
        const auto known = this->state.others.find(sender.vm);
        unknownSender = known == this->state.others.end()
                || known->second.member.instance.incarnation != sender.incarnation;
    }
    this->applyProbeContent(
            membersFrom(probe.news()), sender, probe.list_digest(), Millis(probe.list_age_ms()),
            PeerConfig{"", ConfigRevision(probe.config_revision()), probe.config_digest()});
    if (message.correlation() == 0) {
        return;
    }
    wire::Envelope envelope;
    wire::ProbeAck &ack = *envelope.mutable_probe_ack();
    {
        const std::lock_guard lock(this->mutex);
        this->fillProbe(ack, sender.vm, monotonicNow());
        if (unknownSender) {
            ack.clear_news();
            for (const Member &member : allMembers(this->state)) {
                *ack.add_news() = toWire(member);
            }
        }
    }
    reply(std::move(envelope));
}

template<typename Message>
void MembershipController::fillProbe(Message &message, const VmId &receiver, Millis now)
{
    for (const Member &member : selectGossip(this->state, receiver)) {
        *message.add_news() = toWire(member);
    }
    message.set_config_revision(this->configRevision.number());
    message.set_config_digest(this->configDigest);
    if (this->state.list.isKnown()) {
        message.set_list_digest(this->state.list.digest);
        message.set_list_age_ms(
                static_cast<std::uint32_t>((now - this->state.list.readAt).count()));
    }
}

void MembershipController::applyProbeContent(const std::vector<Member> &gossip,
                                             const VmInstance &sender, std::uint64_t listDigest,
                                             Millis listAge, const PeerConfig &peer)
{
    const Millis now = monotonicNow();
    PeerConfig known = peer;
    bool needsList = false;
    {
        const std::lock_guard lock(this->mutex);
        bool changed = false;
        for (const Member &member : gossip) {
            changed = applyGossip(this->state, member, now) || changed;
        }
        recordMessageFrom(this->state, sender.vm, now);
        PlatformList &own = this->state.list;
        const Millis readAt = now - listAge;
        if (listDigest != 0 && listDigest == own.digest) {
            own.readAt = std::max(own.readAt, readAt);
        } else if (listDigest != 0 && now >= this->listPullUntil) {
            needsList = !own.isKnown() || readAt > own.readAt + minListAgeDifference;
        }
        if (needsList) {
            this->listPullUntil = now + pullTimeout;
        }
        if (known.endpoint.empty()) {
            known.endpoint = this->endpointOf(sender.vm);
        }
        if (changed) {
            this->refreshView();
        }
    }
    if (known.endpoint.empty()) {
        return;
    }
    if (needsList) {
        this->pullList(known.endpoint);
    }
    if (this->peerConfigHandler && known.revision != ConfigRevision()) {
        this->peerConfigHandler(known);
    }
}

void MembershipController::handleProbeRelay(const wire::Envelope &message, const ReplySender &reply)
{
    wire::Envelope probe;
    {
        const std::lock_guard lock(this->mutex);
        this->fillProbe(*probe.mutable_probe(), VmId(message.probe_relay().target_vm()),
                        monotonicNow());
    }
    this->client.request(message.probe_relay().target_endpoint(), std::move(probe), relayTimeout,
                         [reply](const Result<wire::Envelope> &result) {
                             if (result.has_value()) {
                                 wire::Envelope envelope;
                                 *envelope.mutable_probe_ack() = result.value().probe_ack();
                                 reply(std::move(envelope));
                             }
                             return false;
                         });
}

void MembershipController::handlePull(const wire::MembersPull &pull, const ReplySender &reply) const
{
    wire::Envelope envelope;
    wire::MembersReply &members = *envelope.mutable_members_reply();
    const std::lock_guard lock(this->mutex);
    if (this->state.list.isKnown()) {
        members.set_list_age_ms(
                static_cast<std::uint32_t>((monotonicNow() - this->state.list.readAt).count()));
    }
    if (pull.list_only()) {
        members.set_digest(this->state.list.digest);
        for (const ListedVm &listed : this->state.list.vms) {
            *members.add_list() = toWire(listed);
        }
        reply(std::move(envelope));
        return;
    }
    members.set_digest(digestOf(*this->view));
    members.set_leaving(this->view->draining);
    if (members.digest() == pull.have_digest()) {
        members.set_unchanged(true);
        reply(std::move(envelope));
        return;
    }
    for (const Member &member : this->view->members) {
        *members.add_members() = toWire(member);
    }
    for (const Owner &owner : this->view->owners) {
        *members.add_owners() = toWire(owner);
    }
    for (const VmId &vm : this->view->listedVms) {
        members.add_listed_vms(vm.str());
    }
    reply(std::move(envelope));
}

void MembershipController::tick(Millis now)
{
    std::optional<ProbeAction> action;
    bool isolated = false;
    {
        const std::lock_guard lock(this->mutex);
        if (expireMembers(this->state, now)) {
            this->refreshView();
        }
        action = nextProbe(this->state, now);
        const bool suspects = std::any_of(
                this->state.others.begin(), this->state.others.end(), [](const auto &entry) {
                    return entry.second.member.state == MemberState::Suspect;
                });
        if (suspects) {
            this->refreshView();
        }
        isolated = std::none_of(this->state.others.begin(), this->state.others.end(),
                                [](const auto &entry) { return entry.second.introduced; });
    }
    if (action && action->relayEndpoints.empty()) {
        this->sendProbe(action->targetEndpoint, action->target, now);
    } else if (action) {
        this->sendRelays(*action);
    }
    if (isolated) {
        this->probeSeeds(now);
    }
}

void MembershipController::sendProbe(const std::string &endpoint, const VmId &target, Millis now)
{
    wire::Envelope probe;
    {
        const std::lock_guard lock(this->mutex);
        this->fillProbe(*probe.mutable_probe(), target, now);
    }
    this->client.request(endpoint, std::move(probe), ackTimeout,
                         [this, endpoint](const Result<wire::Envelope> &result) {
                             if (result.has_value() && result.value().has_probe_ack()) {
                                 this->handleAck(result.value(), endpoint);
                             }
                             return false;
                         });
}

void MembershipController::handleAck(const wire::Envelope &ack, const std::string &endpoint)
{
    const wire::ProbeAck &content = ack.probe_ack();
    this->applyProbeContent(membersFrom(content.news()), fromWire(ack.sender()),
                            content.list_digest(), Millis(content.list_age_ms()),
                            PeerConfig{endpoint, ConfigRevision(content.config_revision()),
                                       content.config_digest()});
}

void MembershipController::sendRelays(const ProbeAction &action)
{
    wire::Envelope relay;
    relay.mutable_probe_relay()->set_target_vm(action.target.str());
    relay.mutable_probe_relay()->set_target_endpoint(action.targetEndpoint);
    for (const std::string &endpoint : action.relayEndpoints) {
        this->client.request(endpoint, relay, ackTimeout,
                             [this, target = action.target](const Result<wire::Envelope> &result) {
                                 if (result.has_value() && result.value().has_probe_ack()) {
                                     const std::lock_guard lock(this->mutex);
                                     recordMessageFrom(this->state, target, monotonicNow());
                                 }
                                 return false;
                             });
    }
}

void MembershipController::probeSeeds(Millis now)
{
    {
        const std::lock_guard lock(this->mutex);
        if (now < this->nextSeedProbe) {
            return;
        }
        this->nextSeedProbe = now + seedProbeInterval;
    }
    for (const std::string &endpoint : this->settings.seedEndpoints) {
        if (endpoint != this->settings.self.controllerEndpoint) {
            this->sendProbe(endpoint, VmId(), now);
        }
    }
}

void MembershipController::pullList(const std::string &endpoint)
{
    wire::Envelope pull;
    pull.mutable_members_pull()->set_list_only(true);
    const Millis sentAt = monotonicNow();
    this->client.request(endpoint, std::move(pull), pullTimeout,
                         [this, sentAt](const Result<wire::Envelope> &result) {
                             if (result.has_value() && result.value().has_members_reply()) {
                                 this->applyListReply(result.value().members_reply(), sentAt);
                             }
                             return false;
                         });
}

void MembershipController::applyListReply(const wire::MembersReply &reply, Millis sentAt)
{
    if (reply.digest() == 0) {
        return;
    }
    std::vector<ListedVm> vms;
    for (const wire::ListedVmEntry &entry : reply.list()) {
        vms.push_back(fromWire(entry));
    }
    const PlatformList list
            = makePlatformList(std::move(vms), sentAt - Millis(reply.list_age_ms()));
    bool changed = false;
    {
        const std::lock_guard lock(this->mutex);
        this->listPullUntil = Millis();
        changed = applyList(this->state, list, monotonicNow());
        if (changed) {
            this->refreshView();
        }
    }
    if (changed) {
        LOG(INFO) << logprefix::member
                  << "Applied the platform's list from a peer. vms=" << list.vms.size();
        this->broadcast(list.digest, false);
    }
}

void MembershipController::applyPlatformList(std::vector<ListedVm> vms, Millis readAt)
{
    const PlatformList list = makePlatformList(std::move(vms), readAt);
    bool changed = false;
    {
        const std::lock_guard lock(this->mutex);
        changed = applyList(this->state, list, monotonicNow());
        if (changed) {
            this->refreshView();
        }
    }
    if (changed) {
        LOG(INFO) << logprefix::member
                  << "Read a changed list from the platform. vms=" << list.vms.size();
        this->broadcast(list.digest, true);
    }
}

void MembershipController::announceConfig(ConfigRevision revision, std::uint64_t digest,
                                          bool fromPlatform)
{
    {
        const std::lock_guard lock(this->mutex);
        this->configRevision = revision;
        this->configDigest = digest;
    }
    this->broadcast(mixHash(revision.number(), digest), fromPlatform);
}

void MembershipController::broadcast(std::uint64_t change, bool sendToRoot)
{
    std::vector<std::pair<std::string, wire::Envelope>> messages;
    {
        const std::lock_guard lock(this->mutex);
        for (const VmId &vm : broadcastTargets(this->state, change, sendToRoot)) {
            wire::Envelope message;
            this->fillProbe(*message.mutable_probe(), vm, monotonicNow());
            messages.emplace_back(this->endpointOf(vm), std::move(message));
        }
    }
    for (auto &[endpoint, message] : messages) {
        this->client.notify(endpoint, std::move(message));
    }
}

void MembershipController::setOwners(std::vector<Owner> ownerTable)
{
    const std::lock_guard lock(this->mutex);
    if (this->owners != ownerTable) {
        this->owners = std::move(ownerTable);
        this->refreshView();
    }
}

void MembershipController::drain()
{
    {
        const std::lock_guard lock(this->mutex);
        startDraining(this->state);
        this->refreshView();
    }
    LOG(INFO) << logprefix::member << "This VM is draining.";
    this->broadcast(hash64(this->settings.self.instance.vm.str()), true);
}

void MembershipController::refreshView()
{
    auto next = std::make_shared<FleetView>();
    next->members = allMembers(this->state);
    for (const ListedVm &listed : this->state.list.vms) {
        next->listedVms.push_back(listed.vm);
    }
    next->owners = this->owners;
    const ListedVm *listed = findListed(this->state.list, this->settings.self.instance.vm);
    next->draining = this->state.self.state == MemberState::Draining
            || (listed != nullptr && listed->draining);
    if (*next != *this->view) {
        logChanges(*this->view, *next);
        this->view = std::move(next);
    }
}

std::string MembershipController::endpointOf(const VmId &vm) const
{
    const auto found = this->state.others.find(vm);
    return found == this->state.others.end() ? std::string()
                                             : found->second.member.controllerEndpoint;
}

std::shared_ptr<const FleetView> MembershipController::fleet() const
{
    const std::lock_guard lock(this->mutex);
    return this->view;
}

PlatformList MembershipController::list() const
{
    const std::lock_guard lock(this->mutex);
    return this->state.list;
}

bool MembershipController::isWatcher() const
{
    const std::lock_guard lock(this->mutex);
    const std::vector<VmId> watchers = watchersOf(this->state, this->state.self.dataCentre);
    return std::find(watchers.begin(), watchers.end(), this->state.self.instance.vm)
            != watchers.end();
}

bool MembershipController::isDraining() const
{
    const std::lock_guard lock(this->mutex);
    return this->view->draining;
}

std::vector<std::string> MembershipController::peerEndpoints() const
{
    const std::lock_guard lock(this->mutex);
    std::vector<std::string> endpoints;
    for (const auto &[vm, record] : this->state.others) {
        if (record.member.state != MemberState::Dead) {
            endpoints.push_back(record.member.controllerEndpoint);
        }
    }
    for (const std::string &seed : this->settings.seedEndpoints) {
        if (seed != this->settings.self.controllerEndpoint) {
            endpoints.push_back(seed);
        }
    }
    return endpoints;
}

void MembershipController::fillStatus(wire::StatusReply &status) const
{
    const std::lock_guard lock(this->mutex);
    *status.mutable_instance() = toWire(this->state.self.instance);
    status.set_data_centre(this->state.self.dataCentre.str());
    status.set_leaving(this->view->draining);
    for (const Member &member : this->view->members) {
        *status.add_members() = toWire(member);
    }
}

} // namespace balsamport
