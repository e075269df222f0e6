#include "controller_daemon.h"

#include <balsamport/controllers/engine_client.h>
#include <balsamport/core/log.h>
#include <balsamport/core/rendezvous.h>
#include <balsamport/wire/convert.h>

#include <algorithm>
#include <chrono>
#include <random>

namespace balsamport {

namespace {

constexpr std::chrono::milliseconds tickPeriod{20};

MessageSender instanceName(const Member &self)
{
    return {self.instance.vm.str(), self.instance.incarnation.number()};
}

/// Returns the start time combined with a random part, so that a later start has a higher number.
Incarnation newIncarnation()
{
    constexpr std::uint64_t randomRange = 1024;
    std::random_device device;
    const auto startedAt = static_cast<std::uint64_t>(wallNow().count());
    return Incarnation(startedAt * randomRange + device() % randomRange);
}

ControllerSettings withIncarnation(ControllerSettings settings)
{
    settings.self.instance.incarnation = newIncarnation();
    return settings;
}

MembershipSettings membershipSettings(const ControllerSettings &settings)
{
    return MembershipSettings{settings.self, settings.peerEndpoints, MembershipTimings{}};
}

} // namespace

Result<std::unique_ptr<ControllerDaemon>>
ControllerDaemon::start(const ControllerSettings &settings)
{
    const Result<CurveKeys> keys = readCurveKeys(settings.keys);
    if (keys.has_error()) {
        return keys.error();
    }
    std::unique_ptr<ControllerDaemon> daemon(new ControllerDaemon(settings, keys.value()));
    const Result<void> listening = daemon->listen(keys.value());
    if (listening.has_error()) {
        return listening.error();
    }
    return daemon;
}

ControllerDaemon::ControllerDaemon(const ControllerSettings &initialSettings, const CurveKeys &keys)
    : settings(withIncarnation(initialSettings))
    , messages(std::make_unique<MessageClient>(instanceName(this->settings.self), keys))
    , platformHttp(std::make_unique<HttpClient>())
    , engineHttp(std::make_unique<HttpClient>())
    , membership(*this->messages, membershipSettings(this->settings))
    , ownership(*this->messages, this->membership, this->settings.self)
    , grants(this->settings.self.instance.vm, engineOperationsOver(*this->engineHttp),
             peerMessagesOver(*this->messages))
    , witness(this->settings.self.instance)
    , suspects(*this->messages, this->settings.self.instance)
    , config(*this->messages,
             [this](const SnapshotPtr &snapshot, bool fromPlatform) {
                 this->ownership.update(snapshot);
                 this->membership.announceConfig(snapshot->revision, snapshot->digest,
                                                 fromPlatform);
             })
    , platform(*this->platformHttp, this->settings.platformAddress)
{
    this->membership.onPeerConfig(
            [this](const PeerConfig &peer) { this->config.pullFromPeer(peer); });
}

Result<void> ControllerDaemon::listen(const CurveKeys &keys)
{
    auto started = MessageServer::start(
            this->settings.self.controllerEndpoint, instanceName(this->settings.self), keys,
            [this](const wire::Envelope &message, const ReplySender &reply) {
                this->handle(message, reply);
            });
    if (started.has_error()) {
        return started.error();
    }
    this->server = std::move(started.value());
    this->ticker = std::thread([this] { this->runTicks(); });
    this->watcher
            = std::make_unique<PlatformWatcher>(this->platform, this->config, this->membership,
                                                this->settings.self.instance.incarnation.number());
    LOG(INFO) << logprefix::daemon << "Started. vm=" << this->settings.self.instance.vm
              << " data_centre=" << this->settings.self.dataCentre
              << " endpoint=" << this->settings.self.controllerEndpoint
              << " incarnation=" << this->settings.self.instance.incarnation;
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

ControllerDaemon::~ControllerDaemon()
{
    this->stopping = true;
    if (this->ticker.joinable()) {
        this->ticker.join();
    }
    this->watcher.reset();
    this->config.stop();
    this->server.reset();
    this->messages.reset();
    this->engineHttp.reset();
}

void ControllerDaemon::handle(const wire::Envelope &message, const ReplySender &reply)
{
    if (GrantController::handles(message)) {
        this->grants.handle(message, reply);
        return;
    }
    if (this->membership.handle(message, reply) || this->ownership.handle(message, reply)
        || this->config.handle(message, reply)) {
        return;
    }
    if (message.has_status_request()) {
        this->sendStatus(reply);
        return;
    }
    if (message.has_explain_request()) {
        this->sendExplanation(message.explain_request(), reply);
        return;
    }
    if (message.has_suspect_report()) {
        this->suspects.handle(message, reply);
        return;
    }
    this->witness.handle(message, reply);
}

void ControllerDaemon::runTicks()
{
    while (!this->stopping) {
        this->tick(monotonicNow());
        std::this_thread::sleep_for(tickPeriod);
    }
}

void ControllerDaemon::tick(Millis now)
{
    this->membership.tick(now);
    this->ownership.tick(now);
    const SnapshotPtr snapshot = this->config.snapshot();
    if (snapshot) {
        const std::shared_ptr<const FleetView> fleet = this->membership.fleet();
        this->grants.update(snapshot, this->ownership.servers(), fleet);
        this->witness.update(snapshot, this->ownership.witnessSlots());
        this->suspects.update(snapshot, fleet->members);
    }
    this->grants.tick(now);
    this->witness.tick(now);
    this->suspects.tick(now);
}

void ControllerDaemon::sendStatus(const ReplySender &reply)
{
    wire::Envelope response;
    wire::StatusReply &status = *response.mutable_status_reply();
    this->membership.fillStatus(status);
    this->ownership.fillStatus(status);
    this->config.fillStatus(status);
    this->grants.fillStatus(status);
    this->witness.fillStatus(status);
    this->suspects.fillStatus(status);
    if (this->watcher) {
        this->watcher->fillStatus(status);
    }
    status.set_wire_bytes_sent(this->server->bytesSent() + this->messages->bytesSent());
    status.set_wire_bytes_received(this->server->bytesReceived() + this->messages->bytesReceived());
    reply(std::move(response));
}

void ControllerDaemon::sendExplanation(const wire::ExplainRequest &request,
                                       const ReplySender &reply)
{
    wire::Envelope response;
    wire::ExplainReply &explain = *response.mutable_explain_reply();
    const SnapshotPtr snapshot = this->config.snapshot();
    if (!snapshot) {
        explain.set_error_code(errorNumber(ErrorCode::ConfigUnavailable));
        reply(std::move(response));
        return;
    }
    std::string name = request.adapter().substr(0, request.adapter().find('@'));
    explain.add_steps("configuration revision " + std::to_string(snapshot->revision.number()));
    const auto route = snapshot->routes.find(name);
    if (route != snapshot->routes.end()) {
        for (const AliasTarget &target : route->second.targets) {
            explain.add_steps("route " + name + " leads to " + target.adapter.str() + ", share "
                              + std::to_string(target.share));
            name = target.adapter.adapter.str();
        }
    }
    const auto adapter = snapshot->findAdapter(AdapterId(name));
    if (!adapter) {
        explain.set_error_code(errorNumber(ErrorCode::UnknownModel));
        reply(std::move(response));
        return;
    }
    std::vector<BackendServerId> engines;
    for (const auto &[id, backendServer] : snapshot->backendServers) {
        if (backendServer.base == adapter->base && !backendServer.draining) {
            engines.push_back(id);
        }
    }
    const std::shared_ptr<const FleetView> fleet = this->membership.fleet();
    for (const BackendServerId &id : rendezvousRank(name, std::move(engines))) {
        const auto owner
                = std::find_if(fleet->owners.begin(), fleet->owners.end(),
                               [&id](const Owner &entry) { return entry.backendServer == id; });
        explain.add_steps("candidate " + id.str() + " in "
                          + snapshot->backendServers.at(id).dataCentre.str() + ", owner "
                          + (owner == fleet->owners.end() ? "none" : owner->vm.str()));
    }
    reply(std::move(response));
}

void ControllerDaemon::drain()
{
    LOG(INFO) << logprefix::daemon << "Draining. wait=" << this->settings.drainWait;
    this->membership.drain();
    std::this_thread::sleep_for(std::chrono::milliseconds(this->settings.drainWait.count()));
    LOG(INFO) << logprefix::daemon << "Stopped.";
}

} // namespace balsamport
