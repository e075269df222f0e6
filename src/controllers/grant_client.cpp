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
constexpr Millis silentOwnerAvoidTime{2'000};
constexpr Millis otherOwnerAvoidTime{300};
constexpr Millis roundInterval{100}; ///< Wait before all candidates are requested again.
constexpr Millis maxRoundsTime{5'000};
constexpr Millis announceInterval{2'000};
constexpr Millis noOwnerRetryAfter{1'000};
constexpr std::uint64_t responseBytesPerToken = 200; ///< A streamed event with its framing.

/// One base model's or service's routing, under its own lock.
struct RouteShard
{
    std::mutex lock;
    RouteGroup group; ///< Never changes after it is built.
    RoutingState routing;
};

using RouteShardPtr = std::shared_ptr<RouteShard>;

/// A grant that this gateway holds.
struct GrantRecord
{
    RequestId request;
    AdapterRef adapter;
    Fingerprint fingerprint;
    bool runAlone = false;
    RouteShardPtr shard;
    std::uint32_t node = 0;
    bool service = false;
};

using GrantRecordKey = std::pair<BackendServerId, GrantId>;

/// A call of acquire() in progress. Replies to it are handled one at a time.
struct Acquisition
{
    GrantQuery query;
    GrantHandler handler;
    std::uint64_t hash = 0;
    Millis started;
    RouteShardPtr shard;
    CandidateProgress progress;
    Millis linkWait; ///< Time until the link's budget allows a candidate that was skipped.
    bool ownersMissing = false;
    std::atomic<bool> done{false};
    std::mutex endpointLock;
    std::string endpoint; ///< Owner that was requested last.
    BackendServerId server; ///< Server that was requested last.

    /// @return true for the first call, which may call the handler
    bool finish() { return !this->done.exchange(true); }
};

using AcquisitionPtr = std::shared_ptr<Acquisition>;

wire::GrantRelease::How toWire(ReleaseReason reason) noexcept
{
    switch (reason) {
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
    return query.promptBytes + query.maxTokens * responseBytesPerToken;
}

wire::Envelope requestMessage(const Acquisition &acquisition, const Candidate &candidate,
                              bool lastChoice, Millis now)
{
    wire::Envelope message;
    wire::GrantRequest &request = *message.mutable_grant_request();
    const GrantQuery &query = acquisition.query;
    request.set_request_id(query.request.str());
    request.set_backend_server(acquisition.shard->group.nodes[candidate.node].id.str());
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
    request.set_tried_servers(acquisition.progress.queried - 1);
    request.set_last_choice(lastChoice);
    request.set_across_link(candidate.distance == NodeDistance::AcrossLink);
    return message;
}

wire::Envelope releaseMessage(const BackendServerId &server, GrantId grant,
                              const RequestId &request, ReleaseReason reason)
{
    wire::Envelope message;
    wire::GrantRelease &release = *message.mutable_grant_release();
    release.set_grant(grant.number());
    release.set_backend_server(server.str());
    release.set_request_id(request.str());
    release.set_how(toWire(reason));
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
    std::map<GrantRecordKey, GrantRecord> heldGrants;
    std::map<RequestId, AcquisitionPtr> pending;
    std::vector<std::pair<Millis, AcquisitionPtr>> retries; ///< With the time of the next round.
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
    [[nodiscard]] RouteCosts costsFor(const Acquisition &acquisition) const;
    void startRound(const AcquisitionPtr &acquisition);
    void grantService(const AcquisitionPtr &acquisition);
    void requestNextCandidate(const AcquisitionPtr &acquisition);
    void requestGrant(const AcquisitionPtr &acquisition, const Candidate &candidate,
                      bool lastChoice);
    bool onReply(const AcquisitionPtr &acquisition, const Candidate &candidate,
                 const Result<wire::Envelope> &reply);
    void onFailure(const AcquisitionPtr &acquisition, const Candidate &candidate,
                   const Error &error);
    void onGranted(const AcquisitionPtr &acquisition, const Candidate &candidate,
                   const wire::GrantReply &reply);
    void onRedirect(const AcquisitionPtr &acquisition, const Candidate &candidate, Millis wait);
    void handleNoCandidate(const AcquisitionPtr &acquisition);
    void recordHeldGrant(const AcquisitionPtr &acquisition, std::uint32_t node, GrantId grant,
                         bool service);
    void failAcquisition(const AcquisitionPtr &acquisition, const Error &error, Millis retryAfter);
    void announceHeldGrants(Millis now);
    [[nodiscard]] bool reserveLinkBytes(const AcquisitionPtr &acquisition, Millis now);
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

/// Builds shards for the new groups and copies the routing state of the old ones.
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
        shard->routing.loads.resize(group.nodes.size());
        if (old != before.end()) {
            const std::lock_guard guard(old->second->lock);
            shard->routing = remapRoutingState(old->second->group, old->second->routing, group);
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
    bool ownersChanged = false;
    {
        const std::lock_guard guard(this->core->routesLock);
        this->core->engines = rebuild(table.engines, this->core->engines);
        this->core->services = rebuild(table.services, this->core->services);
        ownersChanged = this->core->owners != owners;
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
    if (ownersChanged) {
        this->core->announceHeldGrants(now);
    }
}

void GrantClient::acquire(const GrantQuery &query, GrantHandler handler)
{
    const auto acquisition = std::make_shared<Acquisition>();
    acquisition->query = query;
    acquisition->handler = std::move(handler);
    acquisition->started = monotonicNow();
    acquisition->hash = query.service.empty() ? hashOf(query.adapter) : 0;
    {
        const std::lock_guard guard(this->core->heldLock);
        this->core->pending[query.request] = acquisition;
    }
    this->core->startRound(acquisition);
}

void GrantClient::cancel(const RequestId &request)
{
    AcquisitionPtr acquisition;
    {
        const std::lock_guard guard(this->core->heldLock);
        const auto found = this->core->pending.find(request);
        if (found == this->core->pending.end()) {
            return;
        }
        acquisition = found->second;
    }
    std::string endpoint;
    BackendServerId server;
    {
        const std::lock_guard guard(acquisition->endpointLock);
        endpoint = acquisition->endpoint;
        server = acquisition->server;
    }
    if (!endpoint.empty()) {
        this->core->peers.notify(
                endpoint, releaseMessage(server, GrantId(), request, ReleaseReason::Cancelled));
    }
    this->core->failAcquisition(acquisition, {ErrorCode::CallerGone, "the caller has gone"},
                                Millis(0));
}

void GrantClient::release(const BackendServerId &server, GrantId grant, ReleaseReason reason)
{
    GrantRecord held;
    {
        const std::lock_guard guard(this->core->heldLock);
        const auto found = this->core->heldGrants.find({server, grant});
        if (found == this->core->heldGrants.end()) {
            return;
        }
        held = found->second;
        this->core->heldGrants.erase(found);
    }
    {
        const std::lock_guard guard(held.shard->lock);
        NodeLoad &load = held.shard->routing.loads[held.node];
        recordRequestEnd(held.shard->routing, held.node);
        if (reason == ReleaseReason::Returned && !held.service) {
            recordNotResident(held.shard->routing, hashOf(held.adapter), held.node);
        }
        if (reason == ReleaseReason::ServerCrashed) {
            load.avoidUntil = monotonicNow() + silentOwnerAvoidTime;
        }
    }
    const std::string endpoint = this->core->ownerOf(server);
    if (!held.service && !endpoint.empty()) {
        this->core->peers.notify(endpoint, releaseMessage(server, grant, held.request, reason));
    }
}

void GrantClient::tick(Millis now)
{
    std::vector<AcquisitionPtr> due;
    bool announce = false;
    {
        const std::lock_guard guard(this->core->heldLock);
        std::erase_if(this->core->retries, [now, &due](const auto &entry) {
            if (now < entry.first) {
                return false;
            }
            due.push_back(entry.second);
            return true;
        });
        announce = now - this->core->announcedAt >= announceInterval;
    }
    for (const AcquisitionPtr &acquisition : due) {
        this->core->startRound(acquisition);
    }
    if (!announce) {
        return;
    }
    this->core->announceHeldGrants(now);
    std::vector<RouteShardPtr> shards;
    {
        const std::lock_guard guard(this->core->routesLock);
        for (const auto &[base, shard] : this->core->engines) {
            shards.push_back(shard);
        }
    }
    for (const RouteShardPtr &shard : shards) {
        const std::lock_guard guard(shard->lock);
        sweepIdleAdapters(shard->routing, this->core->costs, now);
    }
}

std::size_t GrantClient::held() const
{
    const std::lock_guard guard(this->core->heldLock);
    return this->core->heldGrants.size();
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

RouteCosts GrantClient::Core::costsFor(const Acquisition &acquisition) const
{
    RouteCosts queryCosts = this->costs;
    const std::lock_guard guard(this->routesLock);
    const auto adapter = this->snapshot->findAdapter(acquisition.query.adapter.adapter);
    queryCosts.packBatches = packsBatches(this->snapshot->limits.weightPercent);
    queryCosts.poolRegions = poolsRegions(acquisition.shard->group, this->snapshot->limits,
                                          adapter ? adapter->bytes : 0);
    return queryCosts;
}

void GrantClient::Core::startRound(const AcquisitionPtr &acquisition)
{
    const Millis now = monotonicNow();
    if (now >= acquisition->query.deadline) {
        this->failAcquisition(acquisition,
                              {ErrorCode::DeadlineExceeded, "no place before the deadline"},
                              noOwnerRetryAfter);
        return;
    }
    acquisition->shard = this->findShard(acquisition->query);
    if (acquisition->shard == nullptr) {
        const bool service = !acquisition->query.service.empty();
        this->failAcquisition(acquisition,
                              {ErrorCode::NoBackendServer,
                               service ? "no backend server runs this service"
                                       : "no backend server runs this base model"},
                              Millis(0));
        return;
    }
    if (!acquisition->query.service.empty()) {
        this->grantService(acquisition);
        return;
    }
    const RouteCosts queryCosts = this->costsFor(*acquisition);
    {
        const std::lock_guard guard(acquisition->shard->lock);
        RoutingState &routing = acquisition->shard->routing;
        if (acquisition->progress.queried == 0) {
            recordRequest(routing, this->costs, acquisition->hash, now);
        }
        acquisition->progress = CandidateProgress{
                chooseCandidates(acquisition->shard->group, routing, queryCosts, acquisition->hash,
                                 now, acquisition->query.prefixHashes),
                0, acquisition->progress.queried, std::nullopt};
    }
    acquisition->ownersMissing = acquisition->progress.candidates.count == 0;
    this->requestNextCandidate(acquisition);
}

void GrantClient::Core::grantService(const AcquisitionPtr &acquisition)
{
    const Millis now = monotonicNow();
    Candidates candidates;
    {
        const std::lock_guard guard(acquisition->shard->lock);
        candidates
                = chooseServiceNodes(acquisition->shard->group, acquisition->shard->routing, now);
    }
    const auto &exclude = acquisition->query.exclude;
    for (std::size_t i = 0; i < candidates.count; ++i) {
        const Candidate &candidate = candidates.list[i];
        const RouteNode &node = acquisition->shard->group.nodes[candidate.node];
        if (std::find(exclude.begin(), exclude.end(), node.id) != exclude.end()) {
            continue;
        }
        if (!acquisition->finish()) {
            return;
        }
        const GrantId grant(this->nextServiceGrant++);
        this->recordHeldGrant(acquisition, candidate.node, grant, true);
        LOG(INFO) << logprefix::route
                  << "Chose a service replica. request=" << acquisition->query.request
                  << " server=" << node.id;
        acquisition->handler(AcquiredGrant{node.id,
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
    this->failAcquisition(acquisition, {ErrorCode::NoBackendServer, "all replicas were tried"},
                          Millis(0));
}

bool GrantClient::Core::reserveLinkBytes(const AcquisitionPtr &acquisition, Millis now)
{
    const std::lock_guard guard(this->linkLock);
    const std::uint64_t bytes = linkBytesOf(acquisition->query);
    if (takeLinkBytes(this->link, bytes, now)) {
        processMetrics().counter(metric::linkBytes).add(bytes);
        return true;
    }
    acquisition->linkWait = linkWait(this->link, bytes, now);
    return false;
}

void GrantClient::Core::requestNextCandidate(const AcquisitionPtr &acquisition)
{
    const Millis now = monotonicNow();
    while (const auto next = nextCandidate(acquisition->progress, acquisition->shard->group)) {
        const RouteNode &node = acquisition->shard->group.nodes[next->candidate.node];
        const auto &exclude = acquisition->query.exclude;
        if (std::find(exclude.begin(), exclude.end(), node.id) != exclude.end()) {
            continue;
        }
        if (next->candidate.distance == NodeDistance::AcrossLink
            && !this->reserveLinkBytes(acquisition, now)) {
            continue;
        }
        this->requestGrant(acquisition, next->candidate, next->lastChoice);
        return;
    }
    this->handleNoCandidate(acquisition);
}

void GrantClient::Core::handleNoCandidate(const AcquisitionPtr &acquisition)
{
    const Millis now = monotonicNow();
    if (acquisition->linkWait > Millis(0)) {
        this->failAcquisition(acquisition,
                              {ErrorCode::LinkBudgetSpent, "the link between the regions is full"},
                              acquisition->linkWait);
        return;
    }
    const Millis deadline
            = std::min(acquisition->query.deadline, acquisition->started + maxRoundsTime);
    if (acquisition->ownersMissing && now + roundInterval < deadline) {
        acquisition->ownersMissing = false;
        const std::lock_guard guard(this->heldLock);
        this->retries.emplace_back(now + roundInterval, acquisition);
        return;
    }
    this->failAcquisition(acquisition, {ErrorCode::NoBackendServer, "no owner gave a place"},
                          noOwnerRetryAfter);
}

void GrantClient::Core::requestGrant(const AcquisitionPtr &acquisition, const Candidate &candidate,
                                     bool lastChoice)
{
    const Millis now = monotonicNow();
    if (now >= acquisition->query.deadline) {
        this->failAcquisition(acquisition,
                              {ErrorCode::DeadlineExceeded, "no place before the deadline"},
                              noOwnerRetryAfter);
        return;
    }
    const BackendServerId &server = acquisition->shard->group.nodes[candidate.node].id;
    const std::string endpoint = this->ownerOf(server);
    if (endpoint.empty()) {
        acquisition->ownersMissing = true;
        this->requestNextCandidate(acquisition);
        return;
    }
    {
        const std::lock_guard guard(acquisition->endpointLock);
        acquisition->endpoint = endpoint;
        acquisition->server = server;
    }
    LOG(INFO) << logprefix::route << "Requesting a grant. request=" << acquisition->query.request
              << " adapter=" << acquisition->query.adapter << " server=" << server
              << " resident=" << candidate.assumedResident << " last=" << lastChoice;
    this->peers.request(endpoint, requestMessage(*acquisition, candidate, lastChoice, now),
                        replyTimeout,
                        [weak = this->weak_from_this(), acquisition,
                         candidate](const Result<wire::Envelope> &reply) {
                            const auto core = weak.lock();
                            return core != nullptr && core->onReply(acquisition, candidate, reply);
                        });
}

bool GrantClient::Core::onReply(const AcquisitionPtr &acquisition, const Candidate &candidate,
                                const Result<wire::Envelope> &reply)
{
    if (!reply.has_value()) {
        this->onFailure(acquisition, candidate, reply.error());
        return false;
    }
    if (!reply.value().has_grant_reply()) {
        this->onFailure(acquisition, candidate, {ErrorCode::MessageInvalid, "not a grant reply"});
        return false;
    }
    const wire::GrantReply &grantReply = reply.value().grant_reply();
    switch (grantReply.decision()) {
    case wire::GrantReply::QUEUED:
        return !acquisition->done;
    case wire::GrantReply::GRANTED:
        this->onGranted(acquisition, candidate, grantReply);
        return false;
    case wire::GrantReply::USE_ANOTHER:
        this->onRedirect(acquisition, candidate, Millis(grantReply.expected_wait_ms()));
        return false;
    default:
        this->failAcquisition(
                acquisition, {errorCodeFromNumber(grantReply.error_code()), "refused by the owner"},
                Millis(grantReply.retry_after_ms()));
        return false;
    }
}

void GrantClient::Core::onFailure(const AcquisitionPtr &acquisition, const Candidate &candidate,
                                  const Error &error)
{
    if (acquisition->done) {
        return;
    }
    const Millis now = monotonicNow();
    const bool hasOtherOwner = error.code == ErrorCode::NotOwner;
    const BackendServerId &server = acquisition->shard->group.nodes[candidate.node].id;
    LOG(INFO) << logprefix::route
              << "Grant request to the owner failed. request=" << acquisition->query.request
              << " server=" << server << " error=" << errorName(error.code);
    if (!hasOtherOwner) {
        // The owner may have granted the request nevertheless; this releases the grant.
        this->peers.notify(acquisition->endpoint,
                           releaseMessage(server, GrantId(), acquisition->query.request,
                                          ReleaseReason::Cancelled));
    }
    acquisition->ownersMissing = true;
    {
        const std::lock_guard guard(acquisition->shard->lock);
        NodeLoad &load = acquisition->shard->routing.loads[candidate.node];
        load.avoidUntil = now + (hasOtherOwner ? otherOwnerAvoidTime : silentOwnerAvoidTime);
    }
    this->requestNextCandidate(acquisition);
}

void GrantClient::Core::onGranted(const AcquisitionPtr &acquisition, const Candidate &candidate,
                                  const wire::GrantReply &reply)
{
    const Millis now = monotonicNow();
    const RouteNode &node = acquisition->shard->group.nodes[candidate.node];
    const GrantId grant(reply.grant());
    if (!acquisition->finish()) {
        this->peers.notify(acquisition->endpoint,
                           releaseMessage(node.id, grant, acquisition->query.request,
                                          ReleaseReason::Cancelled));
        return;
    }
    const Millis waited = now - acquisition->started;
    const Millis loadWait(reply.waited_for_load_ms());
    {
        const std::lock_guard guard(acquisition->shard->lock);
        const Millis queueWait = loadWait > Millis(0) ? Millis(0) : waited;
        recordGrant(acquisition->shard->routing, this->costs, acquisition->hash, candidate.node,
                    queueWait, now);
        for (const std::uint64_t prefix : acquisition->query.prefixHashes) {
            recordPrefix(acquisition->shard->routing.prefixes, prefix, candidate.node, now);
        }
    }
    this->recordHeldGrant(acquisition, candidate.node, grant, false);
    acquisition->handler(AcquiredGrant{node.id, node.address, grant, FencingNumber(reply.fencing()),
                                       waited, loadWait, reply.suspect(),
                                       candidate.distance == NodeDistance::AcrossLink},
                         Millis(0));
}

void GrantClient::Core::onRedirect(const AcquisitionPtr &acquisition, const Candidate &candidate,
                                   Millis wait)
{
    if (acquisition->done) {
        return;
    }
    {
        const std::lock_guard guard(acquisition->shard->lock);
        if (candidate.assumedResident) {
            recordExpectedWait(acquisition->shard->routing, candidate.node, wait, monotonicNow());
        }
        recordNotResident(acquisition->shard->routing, acquisition->hash, candidate.node);
    }
    recordRedirect(acquisition->progress, candidate.node, wait);
    this->requestNextCandidate(acquisition);
}

void GrantClient::Core::recordHeldGrant(const AcquisitionPtr &acquisition, std::uint32_t node,
                                        GrantId grant, bool service)
{
    {
        const std::lock_guard guard(acquisition->shard->lock);
        recordRequestStart(acquisition->shard->routing, node);
    }
    const GrantQuery &query = acquisition->query;
    const std::lock_guard guard(this->heldLock);
    this->pending.erase(query.request);
    this->heldGrants[{acquisition->shard->group.nodes[node].id, grant}]
            = {query.request, query.adapter, query.fingerprint, query.runAlone, acquisition->shard,
               node,          service};
}

void GrantClient::Core::failAcquisition(const AcquisitionPtr &acquisition, const Error &error,
                                        Millis retryAfter)
{
    if (!acquisition->finish()) {
        return;
    }
    {
        const std::lock_guard guard(this->heldLock);
        this->pending.erase(acquisition->query.request);
    }
    LOG(INFO) << logprefix::route << "No grant. request=" << acquisition->query.request
              << " error=" << errorName(error.code) << " retry_after=" << retryAfter;
    acquisition->handler(error, retryAfter);
}

void GrantClient::Core::announceHeldGrants(Millis now)
{
    std::map<std::string, wire::Envelope> messages;
    {
        const std::lock_guard guard(this->heldLock);
        this->announcedAt = now;
        for (const std::string &endpoint : this->announcedTo) {
            messages[endpoint].mutable_grant_announce();
        }
        this->announcedTo.clear();
        for (const auto &[key, record] : this->heldGrants) {
            const std::string endpoint = record.service ? "" : this->ownerOf(key.first);
            if (endpoint.empty()) {
                continue;
            }
            wire::HeldGrant &held = *messages[endpoint].mutable_grant_announce()->add_held();
            held.set_grant(key.second.number());
            held.set_request_id(record.request.str());
            held.set_backend_server(key.first.str());
            *held.mutable_adapter() = balsamport::toWire(record.adapter);
            held.set_fingerprint(record.fingerprint.number());
            held.set_run_alone(record.runAlone);
            this->announcedTo.insert(endpoint);
        }
    }
    for (auto &[endpoint, message] : messages) {
        this->peers.notify(endpoint, std::move(message));
    }
}

} // namespace balsamport
