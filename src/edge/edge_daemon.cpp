#include <balsamport/edge/edge_daemon.h>

#include "edge_state.h"
#include "place_client.h"
#include "published_controller.h"
#include "request_flow.h"

#include <balsamport/core/http_status.h>
#include <balsamport/core/metric_names.h>
#include <balsamport/edge/published_message.h>
#include <balsamport/http/http_server.h>
#include <balsamport/wire/message_server.h>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <utility>

namespace balsamport {

namespace {

/// Between looks at ownership, the catalog and the process's own pauses.
constexpr Millis tickTime{200};
/// A tick that comes later by this means that the process stood still.
constexpr Millis pauseTime{1'200};
/// Between requests to peers for entries that this daemon lacks.
constexpr Millis pullPace{250};
/// While stopping: a caller's open connection may bring another request this long after the last.
constexpr Millis quietTime{400};
/// Before the platform's own end of the process.
constexpr Millis stopMargin{700};
constexpr Millis stopTick{50};

} // namespace

struct EdgeDaemon::Impl
{
    Impl(EdgeSettings ownSettings, Dialect ownDialect, EventLog &eventLog,
         std::function<Result<EdgeSettings>()> reloadSettings)
        : settings(std::move(ownSettings))
        , dialect(std::move(ownDialect))
        , log(eventLog)
        , reload(std::move(reloadSettings))
        , incarnation(static_cast<std::uint64_t>(wallNow().count()))
        , messages(VmInstanceName{this->settings.vm.str(), this->incarnation}, CurveKeys{})
    { }

    [[nodiscard]] Result<void> listen();
    void begin();
    void tick();
    void updateGauges(Millis now);
    void checkPause(Millis now);
    void updateEngines(Millis now);
    void takeChanges(const std::vector<PublishedEntry> &changed, std::uint64_t since, bool own);
    void takeEntry(const PublishedEntry &entry, Millis now);
    void takeServer(const PublishedEntry &entry, const ServerEntry &server, Millis now);
    void takeConfig(const EdgeConfig &config);
    /// Goes on with the requests that came before the first configuration.
    void resumeEarlyRequests();
    void takeMessage(const wire::Envelope &message, const Replier &reply);
    void takeGossip(const wire::Envelope &message);
    void takeNotice(const VmId &peer, const wire::ServerNotice &notice);
    void takeRequest(std::shared_ptr<const IncomingRequest> request,
                     std::shared_ptr<ResponseWriter> writer);
    void takeEntries(const VmId &peer, const wire::PublishedItems &items);
    void pullEntries(const VmId &peer, Millis now);
    [[nodiscard]] wire::Envelope entriesMessage(const std::vector<PublishedEntry> &entries,
                                                std::uint64_t since) const;
    void takeSignal(int number);
    void leave();
    void awaitEnd();
    [[nodiscard]] const EngineLimits *limitsOf(const ServiceId &service) const;
    [[nodiscard]] LocalStatus selfNews() const;

    EdgeSettings settings;
    Dialect dialect;
    EventLog &log;
    std::function<Result<EdgeSettings>()> reload;
    std::uint64_t incarnation;
    Loop loop;
    HttpClient http;
    MessageClient messages;
    EdgeState state;
    OrderOwnership ownership;
    OwnershipTimings ownershipTimings;
    EdgeContext context{this->settings, this->dialect,    this->loop,       this->log,
                        this->http,     processMetrics(), this->incarnation};
    PeerController peers{this->context, this->messages, [this] { return this->selfNews(); },
                         [this](wire::EdgeGossip &gossip) { this->engines.addProfiles(gossip); }};
    EngineController engines{this->context,
                             [this] { return this->published.state().contentRevision; },
                             [this](const BackendServerId &server, Millis lease) {
                                 return isUncontested(this->ownership, this->ownershipTimings,
                                                      server, lease, monotonicNow());
                             },
                             [this](const PlaceKey &key, const BackendServerId & /*server*/,
                                    const PlaceVerdict &verdict) {
                                 if (key.vm == this->settings.vm) {
                                     this->places.take(key.number, verdict);
                                 } else {
                                     this->places.answerPeer(key, verdict);
                                 }
                             }};
    PlaceClient places{this->context, this->peers, this->engines, this->ownership};
    PublishedController published{
            this->context,
            [this] {
                return storeReaderRank(this->peers.table(), this->published.storeReachable(),
                                       monotonicNow());
            },
            [this](const std::vector<PublishedEntry> &changed, std::uint64_t since, bool own) {
                this->takeChanges(changed, since, own);
            }};
    FlowContext flows{this->context, this->state, this->places, this->peers, this->engines, {}};
    std::unique_ptr<LoopTimer> tickTimer = this->loop.makeTimer();
    std::unique_ptr<LoopTimer> stopTimer = this->loop.makeTimer();
    Millis lastTick;
    Millis lastPull{-1};
    Millis lastRequest{0};
    Millis lastBusy{0}; ///< While stopping: when a request was in progress last.
    Millis stopAt;
    Millis leftAt;
    std::map<VmId, std::uint64_t> peerRuns; ///< The incarnation that each peer spoke with last.
    std::atomic<bool> ready{false};
    std::unique_ptr<MessageServer> messageServer;
    std::unique_ptr<HttpServer> healthServer;
    std::unique_ptr<HttpServer> metricsServer;
    std::unique_ptr<HttpServer> callerServer;
};

Result<void> EdgeDaemon::Impl::listen()
{
    Result<std::unique_ptr<MessageServer>> peerServer = MessageServer::start(
            "tcp://" + this->settings.peerAddress,
            VmInstanceName{this->settings.vm.str(), this->incarnation}, CurveKeys{},
            [this](const wire::Envelope &message, const Replier &reply) {
                this->loop.post([this, message, reply] { this->takeMessage(message, reply); });
            });
    if (peerServer.has_error()) {
        return peerServer.error();
    }
    this->messageServer = std::move(peerServer).value();
    HttpServerSettings server;
    server.threads = 1;
    // Idle callers' connections are used again for as long as the configuration says.
    server.readTimeout = Millis(60'000);
    server.address = this->settings.healthAddress;
    auto health = HttpServer::start(server, [this](const auto &request, const auto &writer) {
        const bool takes = request->path == this->settings.healthPath && this->ready;
        writer->send(
                HttpAnswer{takes ? httpstatus::ok : httpstatus::unavailable, {}, std::string()});
    });
    if (health.has_error()) {
        return health.error();
    }
    this->healthServer = std::move(health).value();
    if (!this->settings.metricsAddress.empty()) {
        server.address = this->settings.metricsAddress;
        auto metrics = HttpServer::start(
                server, [this](const auto & /*request*/, const auto &writer) {
                    writer->send(HttpAnswer{httpstatus::ok,
                                            {{"Content-Type", "text/plain; version=0.0.4"}},
                                            this->context.metrics.prometheusText(monotonicNow())});
                });
        if (metrics.has_error()) {
            return metrics.error();
        }
        this->metricsServer = std::move(metrics).value();
    }
    server.address = this->settings.callerAddress;
    // The configuration bounds bodies more tightly; this one only keeps memory bounded.
    server.maxBodyBytes = 4 * 1024 * 1024;
    auto callers = HttpServer::start(server, [this](auto request, auto writer) {
        this->loop.post([this, request = std::move(request), writer = std::move(writer)] {
            this->takeRequest(request, writer);
        });
    });
    if (callers.has_error()) {
        return callers.error();
    }
    this->callerServer = std::move(callers).value();
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void EdgeDaemon::Impl::begin()
{
    this->ownership.startedAt = monotonicNow();
    this->state.startedAt = this->ownership.startedAt;
    this->lastTick = this->ownership.startedAt;
    this->loop.onSignals([this](int number) { this->takeSignal(number); });
    this->log.write(EventWeight::Vital, "start",
                    {{"version", BALSAMPORT_VERSION},
                     {"incarnation", this->incarnation},
                     {"data_centre", this->settings.location.dataCentre.str()}});
    this->peers.start();
    this->published.start();
    this->tick();
}

void EdgeDaemon::Impl::tick()
{
    const Millis now = monotonicNow();
    this->checkPause(now);
    if (!this->published.storeReachable()) {
        noteStoreTrouble(this->state.catalog, this->published.lastFailure());
    }
    for (const BackendServerId &server : expireServers(this->state.catalog, now)) {
        this->state.experiences.erase(server);
        this->log.write(EventWeight::Notable, "server_gone",
                        {{"server", server.str()}, {"reason", "not listed again"}});
    }
    forgetNotices(this->state.notices, this->state.catalog, now);
    this->updateEngines(now);
    this->updateGauges(now);
    this->lastTick = now;
    this->tickTimer->set(tickTime, [this] { this->tick(); });
}

void EdgeDaemon::Impl::updateGauges(Millis now)
{
    constexpr double millisPerSecond = 1000.0;
    MetricsRegistry &metrics = this->context.metrics;
    metrics.gauge(metric::edgePeers).set(static_cast<double>(this->peers.liveDaemons()));
    metrics.gauge(metric::edgeOwned).set(static_cast<double>(this->ownership.owned.size()));
    metrics.gauge(metric::edgeWaiting).set(static_cast<double>(this->engines.waitingRequests()));
    metrics.gauge(metric::edgePublishedAge)
            .set(static_cast<double>(this->published.age(now).count()) / millisPerSecond);
    metrics.gauge(metric::edgeConfigVersion)
            .set(this->state.config ? static_cast<double>(this->state.config->version) : 0);
    metrics.gauge(metric::logDrops).set(static_cast<double>(this->log.dropped()));
}

void EdgeDaemon::Impl::checkPause(Millis now)
{
    const Millis gap = now - this->lastTick;
    if (gap < pauseTime) {
        return;
    }
    this->log.write(EventWeight::Vital, "paused", {{"gap_ms", gap}});
    this->engines.doubt("process paused");
}

const EngineLimits *EdgeDaemon::Impl::limitsOf(const ServiceId &service) const
{
    if (!this->state.config) {
        return nullptr;
    }
    const auto found = this->state.config->services.find(service);
    const bool engine
            = found != this->state.config->services.end() && found->second.engine.has_value();
    return engine ? &*found->second.engine : nullptr;
}

void EdgeDaemon::Impl::updateEngines(Millis now)
{
    std::vector<EngineSite> sites;
    for (const auto &[id, server] : this->state.catalog.servers) {
        if (this->limitsOf(server.entry.service) != nullptr) {
            sites.push_back(EngineSite{id, server.entry.dataCentre});
        }
    }
    const OwnershipChange change = updateOwnership(this->ownership, this->ownershipTimings, sites,
                                                   this->peers.table(), this->state.draining, now);
    for (const BackendServerId &server : change.lost) {
        this->engines.lose(server);
    }
    for (const BackendServerId &server : change.gained) {
        const ServerEntry &entry = this->state.catalog.servers.at(server).entry;
        this->engines.gain(entry, *this->limitsOf(entry.service));
    }
    for (const BackendServerId &server : change.likely) {
        this->engines.watch(this->state.catalog.servers.at(server).entry);
    }
    if (!change.lost.empty() || !change.gained.empty()) {
        this->peers.broadcastStatus();
    }
}

void EdgeDaemon::Impl::takeChanges(const std::vector<PublishedEntry> &changed, std::uint64_t since,
                                   bool own)
{
    const Millis now = monotonicNow();
    if (own) {
        // First, so that the peers read a long configuration at the same time.
        this->peers.sendToDataCentre(this->entriesMessage(changed, since));
    }
    for (const PublishedEntry &entry : changed) {
        this->takeEntry(entry, now);
    }
    this->updateEngines(now);
    this->resumeEarlyRequests();
}

void EdgeDaemon::Impl::resumeEarlyRequests()
{
    if (!this->state.config) {
        return;
    }
    // Those that are refused leave the set.
    const auto running = this->flows.running;
    for (const std::shared_ptr<RequestFlow> &flow : running) {
        flow->configInForce();
    }
}

void EdgeDaemon::Impl::takeEntry(const PublishedEntry &entry, Millis now)
{
    const Result<EntryContent> meaning = this->dialect.readEntry(entry);
    if (meaning.has_error()) {
        this->log.write(EventWeight::Notable, "entry_ignored",
                        {{"key", entry.key},
                         {"revision", entry.revision},
                         {"error", errorName(meaning.error().code)},
                         {"detail", meaning.error().detail}});
        return;
    }
    if (const auto *server = std::get_if<ServerEntry>(&meaning.value())) {
        this->takeServer(entry, *server, now);
    } else if (const auto *config = std::get_if<EdgeConfig>(&meaning.value())) {
        this->takeConfig(*config);
    } else if (const auto *declared = std::get_if<AdapterDeclaration>(&meaning.value())) {
        this->engines.declareVersion(*declared);
    }
}

void EdgeDaemon::Impl::takeServer(const PublishedEntry &entry, const ServerEntry &server,
                                  Millis now)
{
    if (entry.deleted) {
        const bool removed = removeServer(this->state.catalog, server.id, now);
        this->log.write(EventWeight::Notable, removed ? "server_gone" : "server_missing",
                        {{"server", server.id.str()}, {"revision", entry.revision}});
        return;
    }
    if (!upsertServer(this->state.catalog, server)) {
        return;
    }
    this->log.write(EventWeight::Notable, "server_seen",
                    {{"server", server.id.str()},
                     {"service", server.service.str()},
                     {"address", server.address},
                     {"data_centre", server.dataCentre.str()},
                     {"draining", server.draining},
                     {"adapters", server.adapters.size()},
                     {"revision", entry.revision}});
    const EngineLimits *limits = this->limitsOf(server.service);
    if (limits != nullptr) {
        this->engines.update(server, *limits);
    }
}

void EdgeDaemon::Impl::takeConfig(const EdgeConfig &config)
{
    if (this->state.config && config.version <= this->state.config->version) {
        return;
    }
    this->state.config = std::make_shared<const EdgeConfig>(config);
    this->ready = !this->state.draining;
    this->log.write(EventWeight::Vital, "config_in_force",
                    {{"version", config.version}, {"hosts", config.routesByHost.size()}});
    for (const auto &[id, server] : this->state.catalog.servers) {
        const EngineLimits *limits = this->limitsOf(server.entry.service);
        if (limits != nullptr) {
            this->engines.update(server.entry, *limits);
        }
    }
}

void EdgeDaemon::Impl::takeMessage(const wire::Envelope &message, const Replier &reply)
{
    const VmId peer(message.sender().vm());
    const std::uint64_t run = message.sender().incarnation();
    std::uint64_t &knownRun = this->peerRuns[peer];
    if (knownRun != run) {
        // It has started again and remembers none of its requests.
        knownRun = run;
        this->engines.dropPlacesOf(peer, run);
        this->places.forgetQuestionsOf(peer, run);
    }
    switch (message.body_case()) {
    case wire::Envelope::kEdgeGossip:
        this->takeGossip(message);
        break;
    case wire::Envelope::kPublishedItems:
        this->takeEntries(peer, message.published_items());
        break;
    case wire::Envelope::kPublishedPull:
        this->peers.send(
                peer,
                this->entriesMessage(entriesSince(this->published.state(),
                                                  message.published_pull().since_revision()),
                                     message.published_pull().since_revision()));
        break;
    case wire::Envelope::kPlaceRequest:
        this->places.servePeer(peer, run, message.place_request(), reply);
        break;
    case wire::Envelope::kPlaceUpdate:
        this->places.servePeer(peer, run, message.place_update());
        break;
    case wire::Envelope::kCrashNote:
        mergeCrashCount(this->state.crashes, Fingerprint(message.crash_note().fingerprint()),
                        message.crash_note().crashes(), monotonicNow());
        this->peers.relayCrashes(message.crash_note());
        break;
    case wire::Envelope::kServerNotice:
        this->takeNotice(peer, message.server_notice());
        break;
    default:
        this->log.write(EventWeight::Notable, "message_ignored", {{"peer", peer.str()}});
    }
}

void EdgeDaemon::Impl::takeNotice(const VmId &peer, const wire::ServerNotice &notice)
{
    const BackendServerId server(notice.backend_server());
    const auto known = this->state.catalog.servers.find(server);
    if (known == this->state.catalog.servers.end()
        || known->second.entry.address != notice.address()
        || known->second.entry.startedAtWallMs != notice.started_at_wall_ms()) {
        return; // Of a run that is over, or of a server that is not listed here yet.
    }
    const Millis now = monotonicNow();
    const Millis pause(notice.pause_ms());
    const bool leaves
            = notice.leaving() && noteLeaving(this->state.notices, known->second.entry, now);
    const bool pauses
            = pause > Millis(0) && notePause(this->state.notices, known->second.entry, pause, now);
    if (leaves || pauses) {
        this->log.write(EventWeight::Notable, leaves ? "server_leaving" : "server_paused",
                        {{"server", server.str()}, {"told_by", peer.str()}, {"pause_ms", pause}});
        this->engines.heed(server, leaves, pause);
    }
}

void EdgeDaemon::Impl::takeGossip(const wire::Envelope &message)
{
    const wire::EdgeGossip &gossip = message.edge_gossip();
    const VmId peer(message.sender().vm());
    this->peers.handleGossip(gossip, message.sender().incarnation());
    this->engines.takeProfiles(peer, gossip);
    const Millis now = monotonicNow();
    const Millis age(gossip.published_age_ms());
    if (gossip.content_revision() <= this->published.state().contentRevision) {
        this->published.confirmFromPeer(gossip.content_revision(), age);
    } else {
        this->pullEntries(peer, now);
    }
}

void EdgeDaemon::Impl::pullEntries(const VmId &peer, Millis now)
{
    if (now - this->lastPull <= pullPace) {
        return; // The next gossip of any peer asks again.
    }
    this->lastPull = now;
    wire::Envelope pull;
    pull.mutable_published_pull()->set_since_revision(this->published.state().contentRevision);
    this->peers.send(peer, std::move(pull));
}

wire::Envelope EdgeDaemon::Impl::entriesMessage(const std::vector<PublishedEntry> &entries,
                                                std::uint64_t since) const
{
    wire::Envelope message;
    wire::PublishedItems &items = *message.mutable_published_items();
    items = encodeEntries(entries);
    items.set_since_revision(since);
    items.set_content_revision(this->published.state().contentRevision);
    items.set_published_age_ms(
            static_cast<std::uint32_t>(this->published.age(monotonicNow()).count()));
    return message;
}

void EdgeDaemon::Impl::takeEntries(const VmId &peer, const wire::PublishedItems &items)
{
    const Result<std::vector<PublishedEntry>> entries = decodeEntries(items);
    if (entries.has_error()) {
        this->log.write(EventWeight::Notable, "message_ignored",
                        {{"peer", peer.str()},
                         {"error", errorName(entries.error().code)},
                         {"detail", entries.error().detail}});
        return;
    }
    const PublishedState &state = this->published.state();
    if (!isContiguous(state, items.since_revision())) {
        this->log.write(EventWeight::Notable, "changes_missing",
                        {{"peer", peer.str()},
                         {"held_revision", state.contentRevision},
                         {"since_revision", items.since_revision()}});
        this->pullEntries(peer, monotonicNow());
        return;
    }
    this->published.takeFromPeer(entries.value(), items.content_revision(),
                                 Millis(items.published_age_ms()));
}

void EdgeDaemon::Impl::takeRequest(std::shared_ptr<const IncomingRequest> request,
                                   std::shared_ptr<ResponseWriter> writer)
{
    const Millis now = monotonicNow();
    this->lastRequest = now;
    if (this->state.draining && now - this->leftAt > this->settings.balancerDrainTime) {
        // It might not end before the process does; every other daemon can take it.
        this->log.write(EventWeight::Notable, "refused",
                        {{"reason", "stopping"}, {"stopping_ms", now - this->leftAt}});
        writer->send(HttpAnswer{httpstatus::unavailable,
                                {{"Retry-After", "0.05"}, {"Connection", "close"}},
                                std::string(errorName(ErrorCode::Leaving))});
        return;
    }
    std::make_shared<RequestFlow>(this->flows, std::move(request), std::move(writer))->start();
}

LocalStatus EdgeDaemon::Impl::selfNews() const
{
    LocalStatus news;
    news.contentRevision = this->published.state().contentRevision;
    news.publishedAge = this->published.age(monotonicNow());
    news.storeReachable = this->published.storeReachable();
    news.draining = this->state.draining;
    news.inStartupGrace = isSettling(this->ownership, this->ownershipTimings, monotonicNow());
    news.owned = this->ownership.owned;
    return news;
}

void EdgeDaemon::Impl::takeSignal(int number)
{
    if (number != SIGHUP) {
        this->leave();
        return;
    }
    const Result<EdgeSettings> read = this->reload();
    if (read.has_error()) {
        this->log.write(EventWeight::Vital, "reload_failed",
                        {{"error", errorName(read.error().code)}, {"detail", read.error().detail}});
        return;
    }
    this->settings.seeds = read.value().seeds;
    this->settings.retryBudget = read.value().retryBudget;
    this->log.write(EventWeight::Vital, "reload", {{"seeds", this->settings.seeds.size()}});
}

void EdgeDaemon::Impl::leave()
{
    if (this->state.draining) {
        return;
    }
    this->state.draining = true;
    this->ready = false;
    this->leftAt = monotonicNow();
    this->stopAt = this->leftAt + this->settings.shutdownTimeout - stopMargin;
    this->log.write(EventWeight::Vital, "stopping", {{"requests", this->flows.running.size()}});
    this->updateEngines(this->leftAt);
    this->peers.broadcastStatus();
    this->awaitEnd();
}

void EdgeDaemon::Impl::awaitEnd()
{
    const Millis now = monotonicNow();
    if (!this->flows.running.empty()) {
        this->lastBusy = now;
    }
    // The last answers may still be on their way out of the network threads.
    const bool idle = now - this->lastBusy > quietTime
            && now - this->leftAt > this->settings.balancerDrainTime
            && now - this->lastRequest > quietTime;
    if (idle || now > this->stopAt) {
        this->log.write(
                EventWeight::Vital, "stop",
                {{"requests", this->flows.running.size()}, {"took_ms", now - this->leftAt}});
        this->loop.stop();
        return;
    }
    this->stopTimer->set(stopTick, [this] { this->awaitEnd(); });
}

Result<std::unique_ptr<EdgeDaemon>> EdgeDaemon::start(EdgeSettings settings, Dialect dialect,
                                                      EventLog &log,
                                                      std::function<Result<EdgeSettings>()> reload)
{
    auto impl = std::make_unique<Impl>(std::move(settings), std::move(dialect), log,
                                       std::move(reload));
    const Result<void> listening = impl->listen();
    if (listening.has_error()) {
        return listening.error();
    }
    return std::unique_ptr<EdgeDaemon>(new EdgeDaemon(std::move(impl)));
}

EdgeDaemon::EdgeDaemon(std::unique_ptr<Impl> ownImpl)
    : impl(std::move(ownImpl))
{ }

EdgeDaemon::~EdgeDaemon()
{
    // Network threads must not call into state that goes first.
    this->impl->callerServer.reset();
    this->impl->metricsServer.reset();
    this->impl->healthServer.reset();
    this->impl->messageServer.reset();
}

void EdgeDaemon::run()
{
    this->impl->begin();
    this->impl->loop.run();
}

} // namespace balsamport
