#include <balsamport/edge/edge_daemon.h>

#include "crash_controller.h"
#include "edge_state.h"
#include "engine_grant_client.h"
#include "published_controller.h"
#include "quota_controller.h"
#include "rate_limit_controller.h"
#include "request_flow.h"

#include <balsamport/core/http_status.h>
#include <balsamport/core/memory_use.h>
#include <balsamport/core/metric_names.h>
#include <balsamport/edge/admission_share.h>
#include <balsamport/edge/published_message.h>
#include <balsamport/http/http_server.h>
#include <balsamport/wire/message_server.h>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <utility>

namespace balsamport {

namespace {

/// Interval between updates of ownership and the catalog, and checks for pauses of the process.
constexpr Millis tickInterval{200};
/// Time between two ticks from which the process is considered to have been paused.
constexpr Millis pauseThreshold{1'200};
/// Shortest interval between requests to peers for missing entries.
constexpr Millis pullInterval{250};
/// Interval between checks for the end of the requests in progress, while draining.
constexpr Millis drainCheckInterval{50};
/// Limits of the messages to peers that are slow or cut off. Source: a tenth of the memory of the
/// smallest VMs, 160 MB.
constexpr MessageQueueLimits peerQueueLimits{1'000, std::uint64_t{16} * 1024 * 1024};
/// Bytes of peers' messages that wait to be handled, above which further ones are dropped.
constexpr std::uint64_t maxUnhandledBytes = std::uint64_t{4} * 1024 * 1024;
/// Wait that a daemon states for its engines while it drops messages.
constexpr Millis overloadedWait{1'000};
/// Interval between log lines on the memory that each part of the daemon uses.
constexpr Millis memoryLogInterval{2'000};
/// With fewer daemons each one's own requests and the owners' verdicts describe the engines well.
constexpr std::size_t minDaemonsForEvenLoad = 32;
/// Part of the VM's memory that connections may hold; the rest is for the state of the fleet, for
/// messages and for what the allocator can't reuse.
constexpr std::uint64_t connectionMemoryDivisor = 3;
constexpr std::uint64_t defaultConnectionMemory = std::uint64_t{64} * 1024 * 1024;
/// Descriptors for files, and for the listeners and connections between daemons.
constexpr std::uint32_t reservedDescriptors = 200;
constexpr std::uint32_t minCallerConnections = 16;
/// Health checks and metrics are requested by one client each.
constexpr std::uint32_t maxOperatorConnections = 64;
constexpr std::uint64_t maxOperatorBodyBytes = 4 * 1024;
constexpr Millis loadLogInterval{5'000};
/// Interval over which the longest waits are taken.
constexpr Millis delayInterval{2'000};

std::shared_ptr<MemoryBudget> connectionMemory(const EdgeSettings &settings)
{
    return std::make_shared<MemoryBudget>(settings.memoryBytes == 0
                                                  ? defaultConnectionMemory
                                                  : settings.memoryBytes / connectionMemoryDivisor);
}

/// @return the limit of callers' connections: each may need another one to a backend server
std::uint32_t maxCallerConnections(const EdgeSettings &settings, std::uint32_t fallback)
{
    return settings.maxDescriptors == 0
            ? fallback
            : std::max(
                    (std::max(settings.maxDescriptors, reservedDescriptors) - reservedDescriptors)
                            / 2,
                    minCallerConnections);
}

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
        , messages(MessageSender{this->settings.vm.str(), this->incarnation}, CurveKeys{},
                   peerQueueLimits)
    { }

    [[nodiscard]] Result<void> listen();
    void begin();
    void tick();
    void updateGauges(Millis now);
    /// Publishes and logs the memory that each part of the daemon uses.
    void reportMemory(Millis now);
    /// Publishes and logs the longest waits inside the daemon.
    void reportDelays(Millis now);
    void detectPause(Millis now);
    void updateEngines(Millis now);
    void applyChanges(const std::vector<PublishedEntry> &changed, const StoreRevision &since,
                      bool fromStore);
    void applyEntry(const PublishedEntry &entry, Millis now);
    /// Drops the server that an invalid entry belongs to, as if the entry had been deleted: it
    /// names no server to use, and the one named before may be gone. A good entry brings the server
    /// back.
    void dropServerOf(const PublishedEntry &invalid, Millis now);
    void applyServer(const PublishedEntry &entry, const ServerEntry &server, Millis now);
    void applyConfig(const EdgeConfig &config);
    /// Resumes the requests that arrived before the first configuration.
    void resumeEarlyRequests();
    /// Queues a message of a peer for the loop. Called on the thread of the message server.
    void receiveMessage(const wire::Envelope &message, const ReplySender &reply);
    void handleMessage(const wire::Envelope &message, const ReplySender &reply);
    void handleGossipMessage(const wire::Envelope &message);
    /// Applies the loads of engines that their owners reported, own ones included.
    void updateEngineLoads(Millis now);
    /// Ends the requests with a convicted suspect that wait for a grant or a response.
    void applyConvictions();
    void handleServerNotice(const VmId &peer, const wire::ServerNotice &notice);
    void handleRequest(std::shared_ptr<const IncomingRequest> request,
                       std::shared_ptr<ResponseWriter> writer);
    /// Decides whether a request would wait for too long. Called on the thread of the caller
    /// server.
    [[nodiscard]] bool refusesRequest(Millis readDelay);
    /// Called on the threads of the caller server.
    void logConnectionEnd(const ConnectionEnd &end);
    void handleEntries(const VmId &peer, const wire::PublishedItems &items);
    void requestEntries(const VmId &peer, Millis now);
    [[nodiscard]] wire::Envelope updateMessage(const PublishedUpdate &update) const;
    void handleSignal(int number);
    void startDrain();
    void awaitDrained();
    /// @return nullptr for a service without engines
    [[nodiscard]] const EngineLimits *limitsOf(const ServiceId &service) const;
    [[nodiscard]] LocalStatus localStatus() const;

    EdgeSettings settings;
    Dialect dialect;
    EventLog &log;
    std::function<Result<EdgeSettings>()> reload;
    std::uint64_t incarnation;
    Loop loop;
    HttpClient http;
    MessageClient messages;
    EdgeState state;
    EngineOwnership ownership;
    OwnershipTimings ownershipTimings;
    EdgeContext context{
            this->settings, this->dialect,    this->loop,        this->log,
            this->http,     processMetrics(), this->incarnation, connectionMemory(this->settings)};
    PeerController peers{this->context, this->messages, [this] { return this->localStatus(); },
                         [this](wire::EdgeGossip &gossip, bool forDataCentre) {
                             this->engines.addProfiles(gossip);
                             this->rateLimits.addToGossip(gossip);
                             this->crashes.addToGossip(gossip);
                             this->quotas.addToGossip(gossip, forDataCentre);
                         }};
    QuotaController quotas{this->context, this->state, this->peers};
    CrashController crashes{this->context, this->state, this->peers,
                            [this] { this->applyConvictions(); }};
    RateLimitController rateLimits{
            this->context, this->state, this->peers,
            [this](const BackendServerId &engine, std::optional<double> perSecond) {
                this->engines.setPermitRate(engine, perSecond);
            }};
    EngineController engines{this->context,
                             [this](const GrantKey &key, const BackendServerId & /*server*/,
                                    const GrantVerdict &verdict) {
                                 if (key.vm == this->settings.vm) {
                                     this->grants.handleVerdict(key.number, verdict);
                                 } else {
                                     this->grants.sendVerdict(key, verdict);
                                 }
                             },
                             [this](const EngineGrantRequest &request) {
                                 return this->crashes.isRefused(traitsOf(request.parts),
                                                                request.request, "owner");
                             }};
    EngineGrantClient grants{this->context, this->peers, this->engines, this->ownership};
    PublishedController published{
            this->context,
            [this] {
                return storeReaderRank(this->peers.table(), this->published.storeReachable(),
                                       monotonicNow());
            },
            [this](const std::vector<PublishedEntry> &changed, const StoreRevision &since,
                   bool fromStore) { this->applyChanges(changed, since, fromStore); }};
    FlowContext flows{this->context,    this->state,   this->grants, this->peers, this->engines,
                      this->rateLimits, this->crashes, this->quotas, {}};
    std::unique_ptr<LoopTimer> tickTimer = this->loop.makeTimer();
    std::unique_ptr<LoopTimer> stopTimer = this->loop.makeTimer();
    Millis lastTickAt;
    Millis lastPullAt{-1};
    Millis lastMemoryLogAt{0};
    Millis lastLoadLogAt{0};
    Millis lastDelayLogAt{0};
    Millis longestArrival{0}; ///< From the reading of a request to handleRequest(), since then.
    AdmissionShare admission; ///< Used on the thread of the caller server only.
    std::atomic<std::uint64_t> unhandledBytes{0}; ///< Of the messages of peers.
    std::atomic<std::uint64_t> droppedMessages{0}; ///< Of peers, because too many waited.
    Millis lastRequestAt{0};
    Millis lastBusyAt{0}; ///< While draining: when a request was last in progress.
    std::map<VmId, std::uint64_t> peerIncarnations; ///< Of the last message of each peer.
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
            MessageSender{this->settings.vm.str(), this->incarnation}, CurveKeys{},
            [this](const wire::Envelope &message, const ReplySender &reply) {
                this->receiveMessage(message, reply);
            });
    if (peerServer.has_error()) {
        return peerServer.error();
    }
    this->messageServer = std::move(peerServer).value();
    HttpServerSettings server;
    server.threads = 1;
    // Idle connections of callers may be reused for as long as the configuration specifies.
    server.readTimeout = Millis(60'000);
    const std::uint32_t defaultConnections = server.maxConnections;
    server.memory = this->context.memory;
    server.onEviction = [this](std::string_view reason) {
        this->context.metrics.counter(metric::edgeRefusedConnections, reason).add();
    };
    server.maxConnections = maxOperatorConnections;
    server.maxBodyBytes = maxOperatorBodyBytes;
    server.address = this->settings.healthAddress;
    auto health = HttpServer::start(server, [this](const auto &request, const auto &writer) {
        const bool acceptsCallers = request->path == this->settings.healthPath && this->ready;
        writer->send(HttpResponse{
                acceptsCallers ? httpstatus::ok : httpstatus::unavailable, {}, std::string()});
    });
    if (health.has_error()) {
        return health.error();
    }
    this->healthServer = std::move(health).value();
    if (!this->settings.metricsAddress.empty()) {
        server.address = this->settings.metricsAddress;
        auto metrics
                = HttpServer::start(server, [this](const auto & /*request*/, const auto &writer) {
                      writer->send(
                              HttpResponse{httpstatus::ok,
                                           {{"Content-Type", "text/plain; version=0.0.4"}},
                                           this->context.metrics.prometheusText(monotonicNow())});
                  });
        if (metrics.has_error()) {
            return metrics.error();
        }
        this->metricsServer = std::move(metrics).value();
    }
    server.address = this->settings.callerAddress;
    server.refuses = [this](Millis readDelay) { return this->refusesRequest(readDelay); };
    server.onConnectionEnd = [this](const ConnectionEnd &end) { this->logConnectionEnd(end); };
    // The configuration has a lower limit for bodies; this one only bounds the memory use.
    server.maxBodyBytes = 4 * 1024 * 1024;
    server.maxConnections = maxCallerConnections(this->settings, defaultConnections);
    auto callers = HttpServer::start(server, [this](auto request, auto writer) {
        this->loop.post([this, request = std::move(request),
                         writer = std::move(writer)] { this->handleRequest(request, writer); },
                        TaskPriority::Low);
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
    this->lastTickAt = this->ownership.startedAt;
    this->loop.onSignals([this](int number) { this->handleSignal(number); });
    this->log.write(EventPriority::Vital, "start",
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
    this->detectPause(now);
    if (!this->published.storeReachable()) {
        recordStoreOutage(this->state.catalog, this->published.lastFailure());
    }
    for (const BackendServerId &server : expireServers(this->state.catalog, now)) {
        this->state.serverStats.erase(server);
        this->log.write(EventPriority::Notable, "server_gone",
                        {{"server", server.str()}, {"reason", "not listed again"}});
    }
    forgetUnlistedServers(this->state.availability, this->state.catalog, now);
    this->updateEngines(now);
    this->updateEngineLoads(now);
    this->updateGauges(now);
    this->reportMemory(now);
    this->reportDelays(now);
    this->lastTickAt = now;
    this->tickTimer->set(tickInterval, [this] { this->tick(); });
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
    this->rateLimits.updateGauges(now);
    metrics.gauge(metric::logDrops).set(static_cast<double>(this->log.droppedLines()));
}

void EdgeDaemon::Impl::updateEngineLoads(Millis now)
{
    EngineLoads &loads = this->state.engineLoads;
    for (const auto &[vm, peer] : this->peers.table().peers) {
        for (const auto &[engine, load] : peer.engineLoads) {
            applyLoadReport(loads, engine, load, peer.lastSeenAt);
        }
    }
    for (const auto &[engine, load] : this->engines.engineLoads(now)) {
        applyLoadReport(loads, engine, load, now);
    }
    updateMeanLoad(loads, now);
    const EvenLoad setting = this->settings.evenLoad;
    loads.inUse = setting == EvenLoad::On
            || (setting == EvenLoad::Auto && this->peers.liveDaemons() >= minDaemonsForEvenLoad);
    const double ratio = busiestByMean(loads, now);
    this->context.metrics.gauge(metric::edgeEngineLoad).set(ratio);
    if (loads.recent > 0 && now - this->lastLoadLogAt >= loadLogInterval) {
        this->lastLoadLogAt = now;
        constexpr double percent = 100.0;
        this->log.write(EventPriority::Notable, "load_view",
                        {{"in_use", loads.inUse},
                         {"engines", loads.recent},
                         {"mean_percent", static_cast<std::int64_t>(loads.mean * percent)},
                         {"busiest_by_mean_percent", static_cast<std::int64_t>(ratio * percent)}});
    }
}

void EdgeDaemon::Impl::reportMemory(Millis now)
{
    const MemoryUse memory = memoryUse();
    std::uint64_t publishedBytes = 0;
    for (const auto &[key, entry] : this->published.state().entries) {
        publishedBytes += key.size() + entry.value.size();
    }
    const std::uint64_t received = this->unhandledBytes;
    const std::uint64_t outgoing = this->messages.bytesQueued();
    const std::uint64_t replies = this->messageServer->bytesQueued();
    const std::uint64_t log = this->log.queuedBytes();
    const auto setGauge = [this](std::string_view part, std::uint64_t bytes) {
        this->context.metrics.gauge(metric::edgeMemory, part).set(static_cast<double>(bytes));
    };
    setGauge("resident", memory.residentBytes);
    setGauge("heap_used", memory.heapUsedBytes);
    setGauge("heap_free", memory.heapFreeBytes);
    setGauge("messages_received", received);
    setGauge("messages_outgoing", outgoing);
    setGauge("replies", replies);
    setGauge("published", publishedBytes);
    setGauge("log", log);
    setGauge("budget", this->context.memory->used());
    const std::uint64_t droppedOutgoing = this->messages.messagesDropped();
    const std::uint64_t droppedReceived = this->droppedMessages;
    this->context.metrics.gauge(metric::edgeDroppedMessages, "outgoing")
            .set(static_cast<double>(droppedOutgoing));
    this->context.metrics.gauge(metric::edgeDroppedMessages, "received")
            .set(static_cast<double>(droppedReceived));
    if (now - this->lastMemoryLogAt < memoryLogInterval) {
        return;
    }
    this->lastMemoryLogAt = now;
    this->log.write(EventPriority::Notable, "memory",
                    {{"resident", memory.residentBytes},
                     {"heap_used", memory.heapUsedBytes},
                     {"heap_free", memory.heapFreeBytes},
                     {"messages_received", received},
                     {"messages_outgoing", outgoing},
                     {"replies", replies},
                     {"published", publishedBytes},
                     {"log", log},
                     {"budget", this->context.memory->used()},
                     {"dropped_outgoing", droppedOutgoing},
                     {"dropped_received", droppedReceived},
                     {"requests", this->flows.running.size()},
                     {"connections", this->callerServer->connections()},
                     {"bytes_sent", this->messages.bytesSent()},
                     {"bytes_received", this->messageServer->bytesReceived()}});
}

void EdgeDaemon::Impl::reportDelays(Millis now)
{
    if (now - this->lastDelayLogAt < delayInterval) {
        return;
    }
    this->lastDelayLogAt = now;
    const Millis arrival = std::exchange(this->longestArrival, Millis(0));
    const Millis task = this->loop.takeLongestWait();
    const Millis write = this->callerServer->takeLongestWrite();
    const auto setGauge = [this](std::string_view stage, Millis wait) {
        constexpr double millisPerSecond = 1000.0;
        this->context.metrics.gauge(metric::edgeDelay, stage)
                .set(static_cast<double>(wait.count()) / millisPerSecond);
    };
    setGauge("arrival", arrival);
    setGauge("task", task);
    setGauge("write", write);
    this->log.write(EventPriority::Notable, "delays",
                    {{"arrival_ms", arrival}, {"task_ms", task}, {"write_ms", write}});
}

void EdgeDaemon::Impl::detectPause(Millis now)
{
    const Millis gap = now - this->lastTickAt;
    if (gap < pauseThreshold) {
        return;
    }
    this->log.write(EventPriority::Vital, "paused", {{"gap_ms", gap}});
    this->peers.restartMajority(now);
    this->engines.confirmLeases("process paused");
    this->engines.restartPermits();
    this->rateLimits.restartPermits(now);
    this->quotas.handlePause(now);
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
    const OwnershipChange change
            = updateOwnership(this->ownership, this->ownershipTimings, sites, this->peers.table(),
                              this->state.stop.has_value(), now);
    for (const BackendServerId &server : change.released) {
        this->engines.release(server);
    }
    for (const BackendServerId &server : change.acquired) {
        const ServerEntry &entry = this->state.catalog.servers.at(server).entry;
        this->engines.acquire(entry, *this->limitsOf(entry.service));
    }
    for (const BackendServerId &server : change.likely) {
        this->engines.observeCommandCount(this->state.catalog.servers.at(server).entry);
    }
    this->engines.applyContact(this->peers.updateContact(now),
                               contestedEngines(this->ownership, this->peers.table(), now));
    if (!change.released.empty() || !change.acquired.empty()) {
        this->peers.broadcastStatus();
    }
    this->rateLimits.update(now);
    this->quotas.update(now);
    this->crashes.update(now);
}

void EdgeDaemon::Impl::applyChanges(const std::vector<PublishedEntry> &changed,
                                    const StoreRevision &since, bool fromStore)
{
    const Millis now = monotonicNow();
    const std::uint64_t era = this->published.state().contentRevision.era;
    if (era != since.era && since != StoreRevision()) {
        // Servers that the copy lacks need time to write their entries again.
        recordStoreOutage(this->state.catalog, now);
        this->log.write(EventPriority::Vital, "store_restored",
                        {{"held_era", since.era},
                         {"held_revision", since.number},
                         {"era", era},
                         {"from_store", fromStore}});
    }
    if (fromStore) {
        // Before the entries are applied, so that the peers parse a long configuration
        // concurrently.
        this->peers.sendToDataCentre(
                this->updateMessage(updateSince(this->published.state(), since)));
    }
    for (const PublishedEntry &entry : changed) {
        this->applyEntry(entry, now);
    }
    this->updateEngines(now);
    this->resumeEarlyRequests();
}

void EdgeDaemon::Impl::resumeEarlyRequests()
{
    if (!this->state.config) {
        return;
    }
    // A copy, because refused requests are removed from the set.
    const auto running = this->flows.running;
    for (const std::shared_ptr<RequestFlow> &flow : running) {
        flow->resumeWithConfig();
    }
}

void EdgeDaemon::Impl::applyEntry(const PublishedEntry &entry, Millis now)
{
    const Result<EntryContent> content = this->dialect.readEntry(entry);
    if (content.has_error()) {
        this->log.write(EventPriority::Notable, "entry_ignored",
                        {{"key", entry.key},
                         {"revision", entry.revision.number},
                         {"error", errorName(content.error().code)},
                         {"field", content.error().location.key},
                         {"detail", content.error().detail}});
        this->dropServerOf(entry, now);
        return;
    }
    if (const auto *server = std::get_if<ServerEntry>(&content.value())) {
        this->applyServer(entry, *server, now);
    } else if (const auto *config = std::get_if<EdgeConfig>(&content.value())) {
        this->applyConfig(*config);
    } else if (const auto *declaration = std::get_if<AdapterDeclaration>(&content.value())) {
        this->engines.declareVersion(*declaration);
    }
}

void EdgeDaemon::Impl::dropServerOf(const PublishedEntry &invalid, Millis now)
{
    PublishedEntry deletion = invalid;
    deletion.value.clear();
    deletion.deleted = true;
    const Result<EntryContent> content = this->dialect.readEntry(deletion);
    const auto *server = content.has_value() ? std::get_if<ServerEntry>(&content.value()) : nullptr;
    if (server != nullptr && this->state.catalog.servers.count(server->id) != 0) {
        this->applyServer(deletion, *server, now);
    }
}

void EdgeDaemon::Impl::applyServer(const PublishedEntry &entry, const ServerEntry &server,
                                   Millis now)
{
    if (entry.deleted) {
        const bool removed = removeServer(this->state.catalog, server.id, now);
        this->log.write(EventPriority::Notable, removed ? "server_gone" : "server_missing",
                        {{"server", server.id.str()}, {"revision", entry.revision.number}});
        return;
    }
    if (!upsertServer(this->state.catalog, server)) {
        return;
    }
    this->log.write(EventPriority::Notable, "server_seen",
                    {{"server", server.id.str()},
                     {"service", server.service.str()},
                     {"address", server.address},
                     {"data_centre", server.dataCentre.str()},
                     {"draining", server.draining},
                     {"adapters", server.adapters.size()},
                     {"revision", entry.revision.number}});
    this->engines.recordRun(server);
    const EngineLimits *limits = this->limitsOf(server.service);
    if (limits != nullptr) {
        this->engines.update(server, *limits);
    }
}

void EdgeDaemon::Impl::applyConfig(const EdgeConfig &config)
{
    if (this->state.config
        && (config.version < this->state.config->version || config == *this->state.config)) {
        return;
    }
    this->state.config = std::make_shared<const EdgeConfig>(config);
    this->ready = !this->state.stop;
    this->quotas.applyConfig();
    this->log.write(EventPriority::Vital, "config_in_force",
                    {{"version", config.version}, {"hosts", config.routesByHost.size()}});
    for (const auto &[id, server] : this->state.catalog.servers) {
        const EngineLimits *limits = this->limitsOf(server.entry.service);
        if (limits != nullptr) {
            this->engines.update(server.entry, *limits);
        }
    }
}

void EdgeDaemon::Impl::receiveMessage(const wire::Envelope &message, const ReplySender &reply)
{
    // The end of a grant is told once only, and is small.
    if (this->unhandledBytes > maxUnhandledBytes && !message.has_place_update()) {
        ++this->droppedMessages;
        if (message.has_place_request()) {
            // The peer asks the owner of another engine at once.
            wire::Envelope redirect;
            redirect.mutable_place_reply()->set_place(message.place_request().place());
            redirect.mutable_place_reply()->set_verdict(wire::PlaceReply::ELSEWHERE);
            redirect.mutable_place_reply()->set_wait_ms(
                    static_cast<std::uint32_t>(overloadedWait.count()));
            reply(std::move(redirect));
        }
        return;
    }
    const std::uint64_t bytes = message.ByteSizeLong();
    this->unhandledBytes += bytes;
    // Evidence on crashes comes by the hundred when many servers end, and can wait.
    const TaskPriority priority
            = message.has_crash_note() ? TaskPriority::Low : TaskPriority::Normal;
    this->loop.post(
            [this, message, reply, bytes] {
                this->unhandledBytes -= bytes;
                this->handleMessage(message, reply);
            },
            priority);
}

void EdgeDaemon::Impl::handleMessage(const wire::Envelope &message, const ReplySender &reply)
{
    const VmId peer(message.sender().vm());
    const std::uint64_t incarnation = message.sender().incarnation();
    std::uint64_t &knownIncarnation = this->peerIncarnations[peer];
    if (knownIncarnation != incarnation) {
        // The peer has restarted and has lost its requests.
        knownIncarnation = incarnation;
        this->engines.dropGrantsOf(peer, incarnation);
        this->grants.dropRequestsOf(peer, incarnation);
    }
    switch (message.body_case()) {
    case wire::Envelope::kEdgeGossip:
        this->handleGossipMessage(message);
        break;
    case wire::Envelope::kPublishedItems:
        this->handleEntries(peer, message.published_items());
        break;
    case wire::Envelope::kPublishedPull: {
        const StoreRevision since(message.published_pull().since_revision(),
                                  message.published_pull().since_era());
        this->peers.send(peer, this->updateMessage(updateSince(this->published.state(), since)));
        break;
    }
    case wire::Envelope::kPlaceRequest:
        this->grants.handlePeerMessage(peer, incarnation, message.place_request(), reply);
        break;
    case wire::Envelope::kPlaceUpdate:
        this->grants.handlePeerMessage(peer, incarnation, message.place_update());
        break;
    case wire::Envelope::kCrashNote:
        this->crashes.handleNote(peer, message.crash_note());
        break;
    case wire::Envelope::kServerNotice:
        this->handleServerNotice(peer, message.server_notice());
        break;
    case wire::Envelope::kPermitRequest:
        this->rateLimits.handlePermitRequest(peer, message.permit_request(), reply);
        break;
    case wire::Envelope::kRateLimitNotice:
        this->rateLimits.handleNotice(peer, message.rate_limit_notice());
        break;
    default:
        this->log.write(EventPriority::Notable, "message_ignored", {{"peer", peer.str()}});
    }
}

void EdgeDaemon::Impl::applyConvictions()
{
    this->engines.rejectQuarantined();
    // A copy, because refused requests are removed from the set.
    const auto running = this->flows.running;
    for (const std::shared_ptr<RequestFlow> &flow : running) {
        flow->handleConviction();
    }
}

void EdgeDaemon::Impl::handleServerNotice(const VmId &peer, const wire::ServerNotice &notice)
{
    const BackendServerId server(notice.backend_server());
    const auto known = this->state.catalog.servers.find(server);
    if (known == this->state.catalog.servers.end()
        || known->second.entry.address != notice.address()
        || known->second.entry.startedAtWallMs != notice.started_at_wall_ms()) {
        return; // About a previous run of the server, or a server that is not listed here yet.
    }
    const Millis now = monotonicNow();
    const Millis backoff(notice.pause_ms());
    const bool nowDraining = notice.leaving()
            && recordDraining(this->state.availability, known->second.entry, now);
    const bool nowPaused = backoff > Millis(0)
            && recordBackoff(this->state.availability, known->second.entry, backoff, now);
    if (nowDraining || nowPaused) {
        this->log.write(EventPriority::Notable, nowDraining ? "server_leaving" : "server_paused",
                        {{"server", server.str()}, {"told_by", peer.str()}, {"pause_ms", backoff}});
        this->engines.applyAvailability(server, nowDraining, backoff);
    }
}

void EdgeDaemon::Impl::handleGossipMessage(const wire::Envelope &message)
{
    const wire::EdgeGossip &gossip = message.edge_gossip();
    const VmId peer(message.sender().vm());
    this->peers.handleGossip(gossip, message.sender().incarnation());
    this->engines.applyPeerProfiles(peer, gossip);
    this->rateLimits.applyGossip(peer, gossip);
    this->quotas.applyGossip(peer, gossip);
    this->crashes.applyGossip(peer, gossip);
    const Millis now = monotonicNow();
    const Millis age(gossip.published_age_ms());
    const PublishedState &state = this->published.state();
    const StoreRevision received(gossip.content_revision(), gossip.content_era());
    const bool lacksKept = gossip.kept_digest() != 0 && received.era == state.contentRevision.era
            && gossip.kept_digest() != keptEntriesDigest(state);
    if (received > state.contentRevision || lacksKept) {
        this->requestEntries(peer, now);
    } else {
        this->published.confirmFromPeer(received, age);
    }
}

void EdgeDaemon::Impl::requestEntries(const VmId &peer, Millis now)
{
    if (now - this->lastPullAt <= pullInterval) {
        return; // The next gossip of any peer triggers the request again.
    }
    this->lastPullAt = now;
    wire::Envelope pull;
    const StoreRevision &held = this->published.state().contentRevision;
    pull.mutable_published_pull()->set_since_revision(held.number);
    pull.mutable_published_pull()->set_since_era(held.era);
    this->peers.send(peer, std::move(pull));
}

wire::Envelope EdgeDaemon::Impl::updateMessage(const PublishedUpdate &update) const
{
    wire::Envelope message;
    wire::PublishedItems &items = *message.mutable_published_items();
    items = encodeUpdate(update);
    items.set_published_age_ms(
            static_cast<std::uint32_t>(this->published.age(monotonicNow()).count()));
    return message;
}

void EdgeDaemon::Impl::handleEntries(const VmId &peer, const wire::PublishedItems &items)
{
    const Result<PublishedUpdate> update = decodeUpdate(items);
    if (update.has_error()) {
        this->log.write(EventPriority::Notable, "message_ignored",
                        {{"peer", peer.str()},
                         {"error", errorName(update.error().code)},
                         {"detail", update.error().detail}});
        return;
    }
    const PublishedState &state = this->published.state();
    const StoreRevision &since = update.value().since;
    if (!isContiguous(state, since)) {
        this->log.write(EventPriority::Notable, "changes_missing",
                        {{"peer", peer.str()},
                         {"held_era", state.contentRevision.era},
                         {"held_revision", state.contentRevision.number},
                         {"since_era", since.era},
                         {"since_revision", since.number}});
        this->requestEntries(peer, monotonicNow());
        return;
    }
    this->published.mergeFromPeer(update.value(), Millis(items.published_age_ms()));
}

void EdgeDaemon::Impl::handleRequest(std::shared_ptr<const IncomingRequest> request,
                                     std::shared_ptr<ResponseWriter> writer)
{
    const Millis now = monotonicNow();
    this->lastRequestAt = now;
    this->longestArrival = std::max(this->longestArrival, now - request->receivedAt);
    if (this->state.stop && now > this->state.stop->admitUntil) {
        // The request might outlive this process; any other daemon can accept it.
        this->log.write(
                EventPriority::Notable, "refused",
                {{"reason", "stopping"}, {"stopping_ms", now - this->state.stop->startedAt}});
        writer->send(HttpResponse{httpstatus::unavailable,
                                  {{"Retry-After", "0.05"}, {"Connection", "close"}},
                                  std::string(errorName(ErrorCode::Leaving))});
        return;
    }
    std::make_shared<RequestFlow>(this->flows, std::move(request), std::move(writer))->start();
}

bool EdgeDaemon::Impl::refusesRequest(Millis readDelay)
{
    const Millis taskDelay = this->loop.taskDelay();
    const Millis startDelay = this->http.startDelay();
    const Millis delay = std::max({readDelay, taskDelay, startDelay});
    if (admitRequest(this->admission, delay, monotonicNow())) {
        return false;
    }
    this->context.metrics.counter(metric::edgeAnswers, "refused").add();
    this->context.metrics.counter(metric::edgeFailures, errorName(ErrorCode::Overloaded)).add();
    this->log.write(EventPriority::Routine, "refused",
                    {{"reason", "busy"},
                     {"read_delay_ms", readDelay},
                     {"task_delay_ms", taskDelay},
                     {"start_delay_ms", startDelay}});
    return true;
}

void EdgeDaemon::Impl::logConnectionEnd(const ConnectionEnd &end)
{
    // Lines on connections that callers close come by the hundred and explain nothing.
    const bool isRoutine
            = end.unanswered == 0 && end.unhandled == 0 && end.reason == "closed by the caller";
    this->log.write(isRoutine ? EventPriority::Routine : EventPriority::Notable,
                    "connection_closed",
                    {{"caller", end.remote},
                     {"reason", end.reason},
                     {"age_ms", end.age},
                     {"answered", end.answered},
                     {"unanswered", end.unanswered},
                     {"unhandled", end.unhandled}});
}

LocalStatus EdgeDaemon::Impl::localStatus() const
{
    LocalStatus status;
    status.contentRevision = this->published.state().contentRevision;
    status.keptDigest = keptEntriesDigest(this->published.state());
    status.publishedAge = this->published.age(monotonicNow());
    status.storeReachable = this->published.storeReachable();
    status.draining = this->state.stop.has_value();
    status.inStartupGrace
            = isInStartupGrace(this->ownership, this->ownershipTimings, monotonicNow());
    status.owned = this->ownership.owned;
    status.engineLoads = this->engines.engineLoads(monotonicNow());
    return status;
}

void EdgeDaemon::Impl::handleSignal(int number)
{
    if (number != SIGHUP) {
        this->startDrain();
        return;
    }
    const Result<EdgeSettings> reloaded = this->reload();
    if (reloaded.has_error()) {
        this->log.write(
                EventPriority::Vital, "reload_failed",
                {{"error", errorName(reloaded.error().code)}, {"detail", reloaded.error().detail}});
        return;
    }
    this->settings.seeds = reloaded.value().seeds;
    this->settings.retryBudget = reloaded.value().retryBudget;
    this->log.write(EventPriority::Vital, "reload", {{"seeds", this->settings.seeds.size()}});
}

void EdgeDaemon::Impl::startDrain()
{
    if (this->state.stop) {
        return;
    }
    const Millis now = monotonicNow();
    this->state.stop
            = planStop(this->settings.shutdownTimeout, this->settings.balancerDrainTime, now);
    this->ready = false;
    this->callerServer->closeAfterResponses();
    this->log.write(EventPriority::Vital, "stopping", {{"requests", this->flows.running.size()}});
    this->updateEngines(now);
    this->peers.broadcastStatus();
    this->awaitDrained();
}

void EdgeDaemon::Impl::awaitDrained()
{
    const StopPlan &plan = *this->state.stop;
    const Millis now = monotonicNow();
    // Requests that were received may still wait for the loop.
    const bool hasWaitingTasks = this->loop.taskDelay() > Millis(0);
    if (hasWaitingTasks || !this->flows.running.empty() || this->callerServer->hasUnsentBytes()) {
        this->lastBusyAt = now;
    }
    // A copy, because requests that end are removed from the set.
    const auto running = this->flows.running;
    for (const std::shared_ptr<RequestFlow> &flow : running) {
        flow->applyStop(plan, now);
    }
    // The network threads may still be sending the last responses.
    const bool idle = now - this->lastBusyAt > plan.idleTime && now > plan.admitUntil
            && now - this->lastRequestAt > plan.idleTime;
    if (idle || now > plan.exitAt) {
        this->log.write(
                EventPriority::Vital, "stop",
                {{"requests", this->flows.running.size()}, {"took_ms", now - plan.startedAt}});
        this->loop.stop();
        return;
    }
    this->stopTimer->set(drainCheckInterval, [this] { this->awaitDrained(); });
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
    // The network threads must stop before the state that they use is destroyed.
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
