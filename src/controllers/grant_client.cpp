#include <balsamport/controllers/grant_client.h>

#include <balsamport/core/hash.h>
#include <balsamport/core/log.h>
#include <balsamport/core/metric_names.h>
#include <balsamport/policy/link_budget.h>
#include <balsamport/policy/routing.h>
#include <balsamport/wire/convert.h>

#include <algorithm>
#include <atomic>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>

namespace balsamport {

namespace {

constexpr Millis replyTimeout{1'500}; ///< Owners repeat QUEUED more often than this.
constexpr Millis silentOwnerAvoid{2'000};
constexpr Millis otherOwnerAvoid{300};
constexpr Millis roundPause{100}; ///< Before all candidates are asked again.
constexpr Millis longestRounds{5'000};
constexpr Millis announceInterval{2'000};
constexpr Millis noOwnerRetryAfter{1'000};
constexpr std::uint64_t answerBytesPerToken = 200; ///< A streamed event with its framing.

/// One base model's or service's routing, under its own lock.
struct RouteShard
{
    std::mutex lock;
    RouteGroup group; ///< Never changes after it is built.
    RoutingState memory;
};

using RouteShardPtr = std::shared_ptr<RouteShard>;

/// A place that this gateway holds.
struct HeldPlace
{
    RequestId request;
    AdapterRef adapter;
    Fingerprint fingerprint;
    bool runAlone = false;
    RouteShardPtr shard;
    std::uint32_t node = 0;
    bool service = false;
};

using HeldKey = std::pair<BackendServerId, GrantId>;

/// One call of acquire() on its way. Only one reply at a time works on it.
struct Acquire
{
    GrantQuery query;
    GrantHandler handler;
    std::uint64_t hash = 0;
    Millis started;
    RouteShardPtr shard;
    CandidateProgress plan;
    Millis linkWait; ///< Until the link's budget would allow a skipped candidate.
    bool ownersMissing = false;
    std::atomic<bool> done{false};
    std::mutex endpointLock;
    std::string endpoint; ///< Asked last.
    BackendServerId server; ///< Asked last.

    /// @return whether the caller of this may answer; true once
    bool finish() { return !this->done.exchange(true); }
};

using AcquirePtr = std::shared_ptr<Acquire>;

wire::GrantRelease::How toWire(ReleaseReason how) noexcept
{
    switch (how) {
    case ReleaseReason::Finished:
        return wire::GrantRelease::FINISHED;
    case ReleaseReason::Returned:
        return wire::GrantRelease::RETURNED;
    case ReleaseReason::Broken:
        return wire::GrantRelease::BROKEN;
    case ReleaseReason::Cancelled:
        return wire::GrantRelease::CANCELLED;
    case ReleaseReason::ServerCrashed:
        return wire::GrantRelease::SERVER_CRASHED;
    }
    return wire::GrantRelease::UNSPECIFIED;
}

std::uint64_t linkBytesOf(const GrantQuery &query) noexcept
{
    return query.promptBytes + query.maxTokens * answerBytesPerToken;
}

wire::Envelope requestMessage(const Acquire &acquire, const Candidate &candidate, bool lastChoice,
                              Millis now)
{
    wire::Envelope message;
    wire::GrantRequest &request = *message.mutable_grant_request();
    const GrantQuery &query = acquire.query;
    request.set_request_id(query.request.str());
    request.set_backend_server(acquire.shard->group.nodes[candidate.node].id.str());
    *request.mutable_adapter() = toWire(query.adapter);
    request.set_priority(query.priority);
    request.set_caller_class(query.callerClass.str());
    request.set_deadline_ms(static_cast<std::uint32_t>((query.deadline - now).count()));
    request.set_prompt_bytes(query.promptBytes);
    request.set_max_tokens(query.maxTokens);
    request.mutable_prefix_hashes()->Add(query.prefixHashes.begin(), query.prefixHashes.end());
    request.set_fingerprint(query.fingerprint.number());
    request.set_repeatable(query.repeatable);
    request.set_run_alone(query.runAlone);
    request.set_tried_servers(acquire.plan.queried - 1);
    request.set_last_choice(lastChoice);
    request.set_across_link(candidate.distance == NodeDistance::AcrossLink);
    return message;
}

wire::Envelope releaseMessage(const BackendServerId &server, GrantId grant,
                              const RequestId &request, ReleaseReason how)
{
    wire::Envelope message;
    wire::GrantRelease &release = *message.mutable_grant_release();
    release.set_grant(grant.number());
    release.set_backend_server(server.str());
    release.set_request_id(request.str());
    release.set_how(toWire(how));
    return message;
}

} // namespace

struct GrantClient::Core : std::enable_shared_from_this<GrantClient::Core>
{
    VmId self;
    DataCentreId dataCentre;
    PeerMessages peers;
    RouteCosts costs;

    mutable std::mutex routesLock; ///< Guards the routes and the fleet.
    std::map<BaseModelId, RouteShardPtr> engines;
    std::map<ServiceId, RouteShardPtr> services;
    std::unordered_map<BackendServerId, std::string> owners; ///< Controllers' endpoints.
    SnapshotPtr snapshot;

    mutable std::mutex heldLock; ///< Guards the four below.
    std::map<HeldKey, HeldPlace> heldPlaces;
    std::map<RequestId, AcquirePtr> pending;
    std::vector<std::pair<Millis, AcquirePtr>> paused; ///< To be asked again at a time.
    std::set<std::string> announcedTo;
    Millis announcedAt;
    std::atomic<std::uint64_t> nextServiceGrant{1};

    std::mutex linkLock;
    LinkBudget link;

    [[nodiscard]] std::string ownerOf(const BackendServerId &server) const
    {
        const std::lock_guard guard(this->routesLock);
        const auto found = this->owners.find(server);
        return found == this->owners.end() ? "" : found->second;
    }

    [[nodiscard]] RouteShardPtr findShard(const GrantQuery &query) const;
    [[nodiscard]] RouteCosts costsFor(const Acquire &acquire) const;
    void begin(const AcquirePtr &acquire);
    void grantService(const AcquirePtr &acquire);
    void askNext(const AcquirePtr &acquire);
    void ask(const AcquirePtr &acquire, const Candidate &candidate, bool lastChoice);
    bool onReply(const AcquirePtr &acquire, const Candidate &candidate,
                 const Result<wire::Envelope> &reply);
    void onFailure(const AcquirePtr &acquire, const Candidate &candidate, const Error &error);
    void onGranted(const AcquirePtr &acquire, const Candidate &candidate,
                   const wire::GrantReply &reply);
    void onRedirect(const AcquirePtr &acquire, const Candidate &candidate, Millis wait);
    void exhausted(const AcquirePtr &acquire);
    void hold(const AcquirePtr &acquire, std::uint32_t node, GrantId grant, bool service);
    void fail(const AcquirePtr &acquire, const Error &error, Millis retryAfter);
    void announceAll(Millis now);
    [[nodiscard]] bool takeLink(const AcquirePtr &acquire, Millis now);
};

GrantClient::GrantClient(VmId self, DataCentreId dataCentre, PeerMessages peers)
    : core(std::make_shared<Core>())
{
    this->core->self = std::move(self);
    this->core->dataCentre = std::move(dataCentre);
    this->core->peers = std::move(peers);
}

GrantClient::~GrantClient() = default;

namespace {

/// Builds shards for the new groups and carries over what the old ones have learnt.
template<typename Id>
std::map<Id, RouteShardPtr> rebuild(const std::unordered_map<Id, RouteGroup> &groups,
                                    const std::map<Id, RouteShardPtr> &before)
{
    std::map<Id, RouteShardPtr> shards;
    for (const auto &[id, group] : groups) {
        const auto old = before.find(id);
        if (old != before.end() && old->second->group == group) {
            shards[id] = old->second;
            continue;
        }
        auto shard = std::make_shared<RouteShard>();
        shard->group = group;
        shard->memory.loads.resize(group.nodes.size());
        if (old != before.end()) {
            const std::lock_guard guard(old->second->lock);
            shard->memory = remapRoutingState(old->second->group, old->second->memory, group);
        }
        shards[id] = std::move(shard);
    }
    return shards;
}

} // namespace

void GrantClient::update(const SnapshotPtr &snapshot, const std::shared_ptr<const FleetView> &fleet)
{
    if (snapshot == nullptr || fleet == nullptr) {
        return;
    }
    const Millis now = monotonicNow();
    const RoutingTable table = buildRoutingTable(*snapshot, this->core->dataCentre);
    std::unordered_map<BackendServerId, std::string> owners;
    for (const Owner &owner : fleet->owners) {
        owners[owner.backendServer] = owner.controllerEndpoint;
    }
    bool moved = false;
    {
        const std::lock_guard guard(this->core->routesLock);
        this->core->engines = rebuild(table.engines, this->core->engines);
        this->core->services = rebuild(table.services, this->core->services);
        moved = this->core->owners != owners;
        this->core->owners = std::move(owners);
        this->core->snapshot = snapshot;
    }
    {
        const std::lock_guard guard(this->core->linkLock);
        const auto sharers = static_cast<std::uint32_t>(fleet->members.size());
        const std::uint64_t forRequests
                = snapshot->limits.linkBytesPerSecond * (100 - linkLoadPercent) / 100;
        setLinkShare(this->core->link, forRequests, sharers, now);
    }
    if (moved) {
        this->core->announceAll(now);
    }
}

void GrantClient::acquire(const GrantQuery &query, GrantHandler handler)
{
    const auto acquire = std::make_shared<Acquire>();
    acquire->query = query;
    acquire->handler = std::move(handler);
    acquire->started = monotonicNow();
    acquire->hash = query.service.empty() ? hashOf(query.adapter) : 0;
    {
        const std::lock_guard guard(this->core->heldLock);
        this->core->pending[query.request] = acquire;
    }
    this->core->begin(acquire);
}

void GrantClient::cancel(const RequestId &request)
{
    AcquirePtr acquire;
    {
        const std::lock_guard guard(this->core->heldLock);
        const auto found = this->core->pending.find(request);
        if (found == this->core->pending.end()) {
            return;
        }
        acquire = found->second;
    }
    std::string endpoint;
    BackendServerId server;
    {
        const std::lock_guard guard(acquire->endpointLock);
        endpoint = acquire->endpoint;
        server = acquire->server;
    }
    if (!endpoint.empty()) {
        this->core->peers.notify(
                endpoint, releaseMessage(server, GrantId(), request, ReleaseReason::Cancelled));
    }
    this->core->fail(acquire, {ErrorCode::CallerGone, "the caller has gone"}, Millis(0));
}

void GrantClient::release(const BackendServerId &server, GrantId grant, ReleaseReason how)
{
    HeldPlace place;
    {
        const std::lock_guard guard(this->core->heldLock);
        const auto found = this->core->heldPlaces.find({server, grant});
        if (found == this->core->heldPlaces.end()) {
            return;
        }
        place = found->second;
        this->core->heldPlaces.erase(found);
    }
    {
        const std::lock_guard guard(place.shard->lock);
        NodeLoad &load = place.shard->memory.loads[place.node];
        recordRequestEnd(place.shard->memory, place.node);
        if (how == ReleaseReason::Returned && !place.service) {
            recordNotResident(place.shard->memory, hashOf(place.adapter), place.node);
        }
        if (how == ReleaseReason::ServerCrashed) {
            load.avoidUntil = monotonicNow() + silentOwnerAvoid;
        }
    }
    const std::string endpoint = this->core->ownerOf(server);
    if (!place.service && !endpoint.empty()) {
        this->core->peers.notify(endpoint, releaseMessage(server, grant, place.request, how));
    }
}

void GrantClient::tick(Millis now)
{
    std::vector<AcquirePtr> due;
    bool announce = false;
    {
        const std::lock_guard guard(this->core->heldLock);
        std::erase_if(this->core->paused, [now, &due](const auto &entry) {
            if (now < entry.first) {
                return false;
            }
            due.push_back(entry.second);
            return true;
        });
        announce = now - this->core->announcedAt >= announceInterval;
    }
    for (const AcquirePtr &acquire : due) {
        this->core->begin(acquire);
    }
    if (!announce) {
        return;
    }
    this->core->announceAll(now);
    std::vector<RouteShardPtr> shards;
    {
        const std::lock_guard guard(this->core->routesLock);
        for (const auto &[base, shard] : this->core->engines) {
            shards.push_back(shard);
        }
    }
    for (const RouteShardPtr &shard : shards) {
        const std::lock_guard guard(shard->lock);
        sweepIdleAdapters(shard->memory, this->core->costs, now);
    }
}

std::size_t GrantClient::held() const
{
    const std::lock_guard guard(this->core->heldLock);
    return this->core->heldPlaces.size();
}

RouteShardPtr GrantClient::Core::findShard(const GrantQuery &query) const
{
    const std::lock_guard guard(this->routesLock);
    if (!query.service.empty()) {
        const auto found = this->services.find(query.service);
        return found == this->services.end() ? nullptr : found->second;
    }
    const auto found = this->engines.find(query.adapter.base);
    return found == this->engines.end() ? nullptr : found->second;
}

RouteCosts GrantClient::Core::costsFor(const Acquire &acquire) const
{
    RouteCosts weighed = this->costs;
    const std::lock_guard guard(this->routesLock);
    const auto adapter = this->snapshot->findAdapter(acquire.query.adapter.adapter);
    weighed.packBatches = packsBatches(this->snapshot->limits.weightPercent);
    weighed.poolRegions = poolsRegions(acquire.shard->group, this->snapshot->limits,
                                       adapter ? adapter->bytes : 0);
    return weighed;
}

void GrantClient::Core::begin(const AcquirePtr &acquire)
{
    const Millis now = monotonicNow();
    if (now >= acquire->query.deadline) {
        this->fail(acquire, {ErrorCode::DeadlineExceeded, "no place before the deadline"},
                   noOwnerRetryAfter);
        return;
    }
    acquire->shard = this->findShard(acquire->query);
    if (acquire->shard == nullptr) {
        const bool service = !acquire->query.service.empty();
        this->fail(acquire,
                   {ErrorCode::NoBackendServer,
                    service ? "no backend server runs this service"
                            : "no backend server runs this base model"},
                   Millis(0));
        return;
    }
    if (!acquire->query.service.empty()) {
        this->grantService(acquire);
        return;
    }
    const RouteCosts weighed = this->costsFor(*acquire);
    {
        const std::lock_guard guard(acquire->shard->lock);
        RoutingState &memory = acquire->shard->memory;
        if (acquire->plan.queried == 0) {
            recordRequest(memory, this->costs, acquire->hash, now);
        }
        acquire->plan = CandidateProgress{chooseCandidates(acquire->shard->group, memory, weighed,
                                                           acquire->hash, now,
                                                           acquire->query.prefixHashes),
                                          0, acquire->plan.queried, std::nullopt};
    }
    acquire->ownersMissing = acquire->plan.candidates.count == 0;
    this->askNext(acquire);
}

void GrantClient::Core::grantService(const AcquirePtr &acquire)
{
    const Millis now = monotonicNow();
    Candidates candidates;
    {
        const std::lock_guard guard(acquire->shard->lock);
        candidates = chooseServiceNodes(acquire->shard->group, acquire->shard->memory, now);
    }
    const auto &exclude = acquire->query.exclude;
    for (std::size_t i = 0; i < candidates.count; ++i) {
        const Candidate &candidate = candidates.list[i];
        const RouteNode &node = acquire->shard->group.nodes[candidate.node];
        if (std::find(exclude.begin(), exclude.end(), node.id) != exclude.end()) {
            continue;
        }
        if (!acquire->finish()) {
            return;
        }
        const GrantId grant(this->nextServiceGrant++);
        this->hold(acquire, candidate.node, grant, true);
        LOG(INFO) << logprefix::route << "Service chosen. request=" << acquire->query.request
                  << " server=" << node.id;
        acquire->handler(AcquiredGrant{node.id,
                                       node.address,
                                       grant,
                                       {},
                                       Millis(0),
                                       Millis(0),
                                       false,
                                       candidate.distance == NodeDistance::AcrossLink},
                         Millis(0));
        return;
    }
    this->fail(acquire, {ErrorCode::NoBackendServer, "all replicas were tried"}, Millis(0));
}

bool GrantClient::Core::takeLink(const AcquirePtr &acquire, Millis now)
{
    const std::lock_guard guard(this->linkLock);
    const std::uint64_t bytes = linkBytesOf(acquire->query);
    if (takeLinkBytes(this->link, bytes, now)) {
        processMetrics().counter(metric::linkBytes).add(bytes);
        return true;
    }
    acquire->linkWait = linkWait(this->link, bytes, now);
    return false;
}

void GrantClient::Core::askNext(const AcquirePtr &acquire)
{
    const Millis now = monotonicNow();
    while (const auto ask = nextCandidate(acquire->plan, acquire->shard->group)) {
        const RouteNode &node = acquire->shard->group.nodes[ask->candidate.node];
        const auto &exclude = acquire->query.exclude;
        if (std::find(exclude.begin(), exclude.end(), node.id) != exclude.end()) {
            continue;
        }
        if (ask->candidate.distance == NodeDistance::AcrossLink && !this->takeLink(acquire, now)) {
            continue;
        }
        this->ask(acquire, ask->candidate, ask->lastChoice);
        return;
    }
    this->exhausted(acquire);
}

void GrantClient::Core::exhausted(const AcquirePtr &acquire)
{
    const Millis now = monotonicNow();
    if (acquire->linkWait > Millis(0)) {
        this->fail(acquire, {ErrorCode::LinkBudgetSpent, "the link between the regions is full"},
                   acquire->linkWait);
        return;
    }
    const Millis give = std::min(acquire->query.deadline, acquire->started + longestRounds);
    if (acquire->ownersMissing && now + roundPause < give) {
        acquire->ownersMissing = false;
        const std::lock_guard guard(this->heldLock);
        this->paused.emplace_back(now + roundPause, acquire);
        return;
    }
    this->fail(acquire, {ErrorCode::NoBackendServer, "no owner gave a place"}, noOwnerRetryAfter);
}

void GrantClient::Core::ask(const AcquirePtr &acquire, const Candidate &candidate, bool lastChoice)
{
    const Millis now = monotonicNow();
    if (now >= acquire->query.deadline) {
        this->fail(acquire, {ErrorCode::DeadlineExceeded, "no place before the deadline"},
                   noOwnerRetryAfter);
        return;
    }
    const BackendServerId &server = acquire->shard->group.nodes[candidate.node].id;
    const std::string endpoint = this->ownerOf(server);
    if (endpoint.empty()) {
        acquire->ownersMissing = true;
        this->askNext(acquire);
        return;
    }
    {
        const std::lock_guard guard(acquire->endpointLock);
        acquire->endpoint = endpoint;
        acquire->server = server;
    }
    LOG(INFO) << logprefix::route << "Asking. request=" << acquire->query.request
              << " adapter=" << acquire->query.adapter << " server=" << server
              << " resident=" << candidate.assumedResident << " last=" << lastChoice;
    this->peers.request(endpoint, requestMessage(*acquire, candidate, lastChoice, now),
                        replyTimeout,
                        [weak = this->weak_from_this(), acquire,
                         candidate](const Result<wire::Envelope> &reply) {
                            const auto core = weak.lock();
                            return core != nullptr && core->onReply(acquire, candidate, reply);
                        });
}

bool GrantClient::Core::onReply(const AcquirePtr &acquire, const Candidate &candidate,
                                const Result<wire::Envelope> &reply)
{
    if (!reply.has_value()) {
        this->onFailure(acquire, candidate, reply.error());
        return false;
    }
    if (!reply.value().has_grant_reply()) {
        this->onFailure(acquire, candidate, {ErrorCode::MessageInvalid, "not a grant reply"});
        return false;
    }
    const wire::GrantReply &answer = reply.value().grant_reply();
    switch (answer.decision()) {
    case wire::GrantReply::QUEUED:
        return !acquire->done;
    case wire::GrantReply::GRANTED:
        this->onGranted(acquire, candidate, answer);
        return false;
    case wire::GrantReply::USE_ANOTHER:
        this->onRedirect(acquire, candidate, Millis(answer.expected_wait_ms()));
        return false;
    default:
        this->fail(acquire, {errorCodeFromNumber(answer.error_code()), "refused by the owner"},
                   Millis(answer.retry_after_ms()));
        return false;
    }
}

void GrantClient::Core::onFailure(const AcquirePtr &acquire, const Candidate &candidate,
                                  const Error &error)
{
    if (acquire->done) {
        return;
    }
    const Millis now = monotonicNow();
    const bool otherOwner = error.code == ErrorCode::NotOwner;
    const BackendServerId &server = acquire->shard->group.nodes[candidate.node].id;
    LOG(INFO) << logprefix::route << "No answer from the owner. request=" << acquire->query.request
              << " server=" << server << " error=" << errorName(error.code);
    if (!otherOwner) {
        // The owner may have given the place all the same; this takes it back.
        this->peers.notify(acquire->endpoint,
                           releaseMessage(server, GrantId(), acquire->query.request,
                                          ReleaseReason::Cancelled));
    }
    acquire->ownersMissing = true;
    {
        const std::lock_guard guard(acquire->shard->lock);
        NodeLoad &load = acquire->shard->memory.loads[candidate.node];
        load.avoidUntil = now + (otherOwner ? otherOwnerAvoid : silentOwnerAvoid);
    }
    this->askNext(acquire);
}

void GrantClient::Core::onGranted(const AcquirePtr &acquire, const Candidate &candidate,
                                  const wire::GrantReply &reply)
{
    const Millis now = monotonicNow();
    const RouteNode &node = acquire->shard->group.nodes[candidate.node];
    const GrantId grant(reply.grant());
    if (!acquire->finish()) {
        this->peers.notify(
                acquire->endpoint,
                releaseMessage(node.id, grant, acquire->query.request, ReleaseReason::Cancelled));
        return;
    }
    const Millis waited = now - acquire->started;
    const Millis loadWait(reply.waited_for_load_ms());
    {
        const std::lock_guard guard(acquire->shard->lock);
        const Millis queueWait = loadWait > Millis(0) ? Millis(0) : waited;
        recordGrant(acquire->shard->memory, this->costs, acquire->hash, candidate.node, queueWait,
                    now);
        for (const std::uint64_t prefix : acquire->query.prefixHashes) {
            recordPrefix(acquire->shard->memory.prefixes, prefix, candidate.node, now);
        }
    }
    this->hold(acquire, candidate.node, grant, false);
    acquire->handler(AcquiredGrant{node.id, node.address, grant, FencingNumber(reply.fencing()),
                                   waited, loadWait, reply.suspect(),
                                   candidate.distance == NodeDistance::AcrossLink},
                     Millis(0));
}

void GrantClient::Core::onRedirect(const AcquirePtr &acquire, const Candidate &candidate,
                                   Millis wait)
{
    if (acquire->done) {
        return;
    }
    {
        const std::lock_guard guard(acquire->shard->lock);
        if (candidate.assumedResident) {
            recordExpectedWait(acquire->shard->memory, candidate.node, wait, monotonicNow());
        }
        recordNotResident(acquire->shard->memory, acquire->hash, candidate.node);
    }
    recordRedirect(acquire->plan, candidate.node, wait);
    this->askNext(acquire);
}

void GrantClient::Core::hold(const AcquirePtr &acquire, std::uint32_t node, GrantId grant,
                             bool service)
{
    {
        const std::lock_guard guard(acquire->shard->lock);
        recordRequestStart(acquire->shard->memory, node);
    }
    const GrantQuery &query = acquire->query;
    const std::lock_guard guard(this->heldLock);
    this->pending.erase(query.request);
    this->heldPlaces[{acquire->shard->group.nodes[node].id, grant}]
            = {query.request, query.adapter, query.fingerprint, query.runAlone, acquire->shard,
               node,          service};
}

void GrantClient::Core::fail(const AcquirePtr &acquire, const Error &error, Millis retryAfter)
{
    if (!acquire->finish()) {
        return;
    }
    {
        const std::lock_guard guard(this->heldLock);
        this->pending.erase(acquire->query.request);
    }
    LOG(INFO) << logprefix::route << "No place. request=" << acquire->query.request
              << " error=" << errorName(error.code) << " retry_after=" << retryAfter;
    acquire->handler(error, retryAfter);
}

void GrantClient::Core::announceAll(Millis now)
{
    std::map<std::string, wire::Envelope> messages;
    {
        const std::lock_guard guard(this->heldLock);
        this->announcedAt = now;
        for (const std::string &endpoint : this->announcedTo) {
            messages[endpoint].mutable_grant_announce();
        }
        this->announcedTo.clear();
        for (const auto &[key, place] : this->heldPlaces) {
            const std::string endpoint = place.service ? "" : this->ownerOf(key.first);
            if (endpoint.empty()) {
                continue;
            }
            wire::HeldGrant &held = *messages[endpoint].mutable_grant_announce()->add_held();
            held.set_grant(key.second.number());
            held.set_request_id(place.request.str());
            held.set_backend_server(key.first.str());
            *held.mutable_adapter() = balsamport::toWire(place.adapter);
            held.set_fingerprint(place.fingerprint.number());
            held.set_run_alone(place.runAlone);
            this->announcedTo.insert(endpoint);
        }
    }
    for (auto &[endpoint, message] : messages) {
        this->peers.notify(endpoint, std::move(message));
    }
}

} // namespace balsamport
