#include <balsamport/controllers/grant_controller.h>

#include "grant_shard.h"

#include <balsamport/core/log.h>
#include <balsamport/policy/routing.h>
#include <balsamport/wire/convert.h>

#include <algorithm>
#include <atomic>
#include <map>
#include <mutex>
#include <set>
#include <unordered_map>

namespace balsamport {

namespace {

constexpr Millis reportInterval{200};
constexpr Millis keepAliveInterval{500}; ///< Between QUEUED replies to a waiting request.
constexpr Millis loanRequestTimeout{800};
constexpr Millis maxLoanRequestWait{50}; ///< A lender refuses a loan request after it.
constexpr Millis minLoanRetryDelay{10};
constexpr Millis maxLoanRetryDelay{1'000};
constexpr Millis announcementGrace{5'000}; ///< A younger grant may be missing in an announcement.

std::string gatewayRunName(const wire::VmInstance &sender)
{
    return sender.vm() + "#" + std::to_string(sender.incarnation());
}

wire::Envelope errorMessage(ErrorCode code, const std::string &detail)
{
    wire::Envelope message;
    *message.mutable_error() = toWire(Error{code, detail});
    return message;
}

ServerLimits limitsOf(const BackendServerConfig &config)
{
    return {config.adapterSlots, std::max(config.batchWidth, 1U), config.mixesAdapters,
            config.kind == BackendServerKind::Service, false};
}

/// A peer that owns a share of the weight store's load budget.
struct ShareOwner
{
    std::uint64_t number = 0;
    bool remote = false; ///< In another region.
    Millis requestAfter;
    bool requestPending = false;
};

} // namespace

struct GrantController::Core : std::enable_shared_from_this<GrantController::Core>
{
    VmId self;
    EngineOperations engines;
    PeerMessages peers;
    std::atomic<bool> stopped{false};
    std::atomic<std::uint64_t> loadsStarted{0};

    /// Guards the three below; no other lock is acquired while this one is held.
    mutable std::mutex mapLock;
    std::map<BackendServerId, std::shared_ptr<GrantShard>> shards;
    SnapshotPtr snapshot;
    std::map<std::string, std::uint64_t> gatewayRuns; ///< Highest incarnation by VM.

    std::mutex budgetLock; ///< Guards the six below; taken after a shard's lock.
    LoadBudget budget;
    Millis budgetConfirmedUntil;
    std::map<std::string, ShareOwner> shareOwners; ///< By endpoint.
    std::map<std::uint64_t, std::string> lenders; ///< Endpoints by number, for returned loans.
    std::map<std::uint64_t, ReplySender> loanRepliers; ///< Of waiting peers, by loan request.
    std::uint64_t nextNumber = 1;

    [[nodiscard]] std::vector<std::shared_ptr<GrantShard>> allShards() const
    {
        const std::lock_guard guard(this->mapLock);
        std::vector<std::shared_ptr<GrantShard>> list;
        list.reserve(this->shards.size());
        for (const auto &[id, shard] : this->shards) {
            list.push_back(shard);
        }
        return list;
    }

    [[nodiscard]] std::shared_ptr<GrantShard> findShard(const std::string &server) const
    {
        const std::lock_guard guard(this->mapLock);
        const auto found = this->shards.find(BackendServerId(server));
        return found == this->shards.end() ? nullptr : found->second;
    }

    void updateShards(const SnapshotPtr &next, const std::vector<ServerOwnership> &servers);
    void preloadRoutes(const Snapshot &next);
    void updateBudget(const Snapshot &next, const std::vector<ServerOwnership> &servers,
                      const FleetView *fleet);
    void dropEarlierGatewayRun(const wire::VmInstance &sender);
    void handleRequest(const wire::Envelope &message, const ReplySender &reply);
    void handleRelease(const wire::Envelope &message);
    void handleAnnouncement(const wire::Envelope &message);
    void handleBorrow(const wire::ShareBorrow &borrow, const ReplySender &reply);
    void serveLoanRequests(Millis now);
    void sendLoanReturns();
    void runScheduler(const std::shared_ptr<GrantShard> &shard, Millis now);
    void executeActions(const std::shared_ptr<GrantShard> &shard,
                        const std::vector<GrantSchedulerAction> &actions);
    void sendLoadCommand(const std::shared_ptr<GrantShard> &shard, const LoadCommand &loadCommand);
    void pollReport(const std::shared_ptr<GrantShard> &shard, Millis now);
    void borrowToken(Millis now);
    void requestLoan(const std::string &endpoint, Millis waited, Millis now);
    void handleLoanReply(const std::string &endpoint, Millis requestedAt,
                         const Result<wire::Envelope> &reply);
};

PeerMessages peerMessagesOver(MessageClient &client)
{
    PeerMessages peers;
    peers.request = [&client](const std::string &endpoint, wire::Envelope message, Millis timeout,
                              ReplyHandler handler) {
        client.request(endpoint, std::move(message), timeout, std::move(handler));
    };
    peers.notify = [&client](const std::string &endpoint, wire::Envelope message) {
        client.notify(endpoint, std::move(message));
    };
    return peers;
}

GrantController::GrantController(VmId self, EngineOperations engines, PeerMessages peers)
    : core(std::make_shared<Core>())
{
    this->core->self = std::move(self);
    this->core->engines = std::move(engines);
    this->core->peers = std::move(peers);
}

GrantController::~GrantController()
{
    this->core->stopped = true;
}

bool GrantController::handles(const wire::Envelope &message) noexcept
{
    return message.has_grant_request() || message.has_grant_release()
            || message.has_grant_announce() || message.has_share_borrow();
}

void GrantController::update(const SnapshotPtr &snapshot,
                             const std::vector<ServerOwnership> &servers,
                             const std::shared_ptr<const FleetView> &fleet)
{
    if (snapshot == nullptr) {
        return;
    }
    this->core->updateShards(snapshot, servers);
    this->core->preloadRoutes(*snapshot);
    this->core->updateBudget(*snapshot, servers, fleet.get());
}

void GrantController::handle(const wire::Envelope &message, const ReplySender &reply)
{
    if (message.has_share_borrow()) {
        this->core->handleBorrow(message.share_borrow(), reply);
        return;
    }
    this->core->dropEarlierGatewayRun(message.sender());
    if (message.has_grant_request()) {
        this->core->handleRequest(message, reply);
    } else if (message.has_grant_release()) {
        this->core->handleRelease(message);
    } else if (message.has_grant_announce()) {
        this->core->handleAnnouncement(message);
    }
}

void GrantController::tick(Millis now)
{
    for (const auto &shard : this->core->allShards()) {
        this->core->pollReport(shard, now);
        this->core->runScheduler(shard, now);
    }
    this->core->serveLoanRequests(now);
    this->core->borrowToken(now);
    this->core->sendLoanReturns();
}

void GrantController::fillStatus(wire::StatusReply &status) const
{
    status.set_loads_started(this->core->loadsStarted.load());
    const Millis now = monotonicNow();
    std::uint64_t linkBytes = 0;
    for (const auto &shard : this->core->allShards()) {
        const std::lock_guard guard(shard->lock);
        if (shard->ownership.authority == OwnerAuthority::None) {
            continue;
        }
        wire::ServerStatus &server = *status.add_servers();
        server.set_owner_vm(this->core->self.str());
        fillServerStatus(*shard, server);
        linkBytes += shard->crossesLink ? linkBytesLeft(shard->link, now) : 0;
    }
    status.set_link_bytes_left(linkBytes);
}

void GrantController::Core::updateShards(const SnapshotPtr &next,
                                         const std::vector<ServerOwnership> &servers)
{
    std::map<BackendServerId, ServerOwnership> owned;
    for (const ServerOwnership &ownership : servers) {
        owned.emplace(ownership.backendServer, ownership);
    }
    std::vector<std::shared_ptr<GrantShard>> list;
    {
        const std::lock_guard guard(this->mapLock);
        this->snapshot = next;
        for (const auto &[id, config] : next->backendServers) {
            std::shared_ptr<GrantShard> &shard = this->shards[id];
            if (shard == nullptr) {
                shard = std::make_shared<GrantShard>();
                shard->config = config;
                shard->state = makeServerState(limitsOf(config), GrantId(1));
            }
        }
        std::erase_if(this->shards, [&next](const auto &entry) {
            return !next->backendServers.contains(entry.first);
        });
        for (const auto &[id, shard] : this->shards) {
            list.push_back(shard);
        }
    }
    std::set<BaseModelId> bases;
    for (const auto &[id, config] : next->backendServers) {
        bases.insert(config.base);
    }
    std::set<BackendServerId> packed;
    for (const BaseModelId &base : bases) {
        const auto ranked = packedServers(*next, base);
        packed.insert(ranked.begin(), ranked.end());
    }
    for (const auto &shard : list) {
        const std::lock_guard guard(shard->lock);
        const BackendServerConfig &config = next->backendServers.at(shard->config.id);
        applyConfig(*shard, config, next->limits, next->callerClasses, packed.contains(config.id));
        applyLink(*shard, *next, monotonicNow());
        const auto found = owned.find(config.id);
        const ServerOwnership none{config.id, OwnerAuthority::None, {}, {}, {}};
        applyOwnership(*shard, found == owned.end() ? none : found->second, this->self);
    }
}

void GrantController::Core::preloadRoutes(const Snapshot &next)
{
    const Millis now = monotonicNow();
    for (const auto &[alias, route] : next.routes) {
        for (const AdapterRef &adapter : route.preload) {
            const auto preferred = preferredEngineOf(next, adapter);
            const auto shard = preferred ? this->findShard(preferred->str()) : nullptr;
            if (shard == nullptr) {
                continue;
            }
            const std::lock_guard guard(shard->lock);
            if (shard->ownership.authority != OwnerAuthority::None) {
                requestPreload(shard->state, adapter, true, now);
            }
        }
    }
}

void GrantController::Core::updateBudget(const Snapshot &next,
                                         const std::vector<ServerOwnership> &servers,
                                         const FleetView *fleet)
{
    std::vector<BackendServerId> engineIds;
    for (const auto &[id, config] : next.backendServers) {
        if (config.kind == BackendServerKind::Engine) {
            engineIds.push_back(id);
        }
    }
    RegionId ownRegion;
    for (const ServerOwnership &ownership : servers) {
        const auto found = next.backendServers.find(ownership.backendServer);
        if (ownership.authority != OwnerAuthority::None && found != next.backendServers.end()) {
            ownRegion = next.regionOf(found->second.dataCentre);
        }
    }
    const std::lock_guard guard(this->budgetLock);
    std::vector<HeldToken> held;
    std::map<std::string, RegionId> endpoints;
    Millis confirmed = Millis(std::numeric_limits<std::int64_t>::max());
    const auto tokens = tokenServers(next.limits.storeInFlight, engineIds);
    for (std::uint32_t token = 0; token < tokens.size(); ++token) {
        const BackendServerId *server = &tokens[token];
        const auto own = std::find_if(servers.begin(), servers.end(), [&server](const auto &o) {
            return o.backendServer == *server && o.authority != OwnerAuthority::None;
        });
        if (own != servers.end()) {
            held.push_back({token, own->ownerSince});
            const bool full = own->authority == OwnerAuthority::Full;
            confirmed = std::min(confirmed, full ? own->confirmedUntil : Millis(0));
        } else if (fleet != nullptr) {
            for (const Owner &owner : fleet->owners) {
                if (owner.backendServer == *server && owner.vm != this->self) {
                    const DataCentreId &dataCentre = next.backendServers.at(*server).dataCentre;
                    endpoints[owner.controllerEndpoint] = next.regionOf(dataCentre);
                }
            }
        }
    }
    setTokens(this->budget, held, tokenInterval(next.limits));
    this->budgetConfirmedUntil = confirmed;
    std::erase_if(this->shareOwners,
                  [&endpoints](const auto &entry) { return !endpoints.contains(entry.first); });
    for (const auto &[endpoint, region] : endpoints) {
        const auto [entry, added] = this->shareOwners.try_emplace(endpoint);
        if (added) {
            entry->second.number = this->nextNumber++;
            this->lenders[entry->second.number] = endpoint;
        }
        entry->second.remote = region != ownRegion;
    }
}

void GrantController::Core::dropEarlierGatewayRun(const wire::VmInstance &sender)
{
    std::string earlierRun;
    {
        const std::lock_guard guard(this->mapLock);
        std::uint64_t &newest = this->gatewayRuns[sender.vm()];
        if (sender.incarnation() <= newest) {
            return;
        }
        earlierRun = newest == 0 ? "" : sender.vm() + "#" + std::to_string(newest);
        newest = sender.incarnation();
    }
    if (earlierRun.empty()) {
        return;
    }
    for (const auto &shard : this->allShards()) {
        const std::lock_guard guard(shard->lock);
        const std::size_t dropped = dropGatewayGrants(shard->state, earlierRun);
        if (dropped > 0) {
            LOG(INFO) << logprefix::grant
                      << "Gateway restarted; released its grants. gateway=" << earlierRun
                      << " server=" << shard->config.id << " grants=" << dropped;
        }
    }
}

void GrantController::Core::handleRequest(const wire::Envelope &message, const ReplySender &reply)
{
    const wire::GrantRequest &request = message.grant_request();
    const auto shard = this->findShard(request.backend_server());
    if (shard == nullptr) {
        reply(errorMessage(ErrorCode::NotOwner, "unknown backend server"));
        return;
    }
    const Millis now = monotonicNow();
    {
        const std::lock_guard guard(shard->lock);
        if (shard->ownership.authority == OwnerAuthority::None) {
            reply(errorMessage(ErrorCode::NotOwner, "another VM owns this backend server"));
            return;
        }
        if (request.deadline_ms() == 0) {
            requestPreload(shard->state, fromWire(request.adapter()), false, now);
            return;
        }
        const std::lock_guard budgetGuard(this->budgetLock);
        const auto immediateReply = admitRequestToShard(
                *shard, this->budget, request, gatewayRunName(message.sender()), reply, now);
        if (immediateReply) {
            reply(*immediateReply);
            return;
        }
    }
    this->runScheduler(shard, now);
    this->borrowToken(now);
    // Only requests that keep waiting get QUEUED; the others have had their final reply.
    const std::lock_guard guard(shard->lock);
    sendQueuedUpdates(*shard, now, keepAliveInterval);
}

void GrantController::Core::handleRelease(const wire::Envelope &message)
{
    const wire::GrantRelease &released = message.grant_release();
    const auto shard = this->findShard(released.backend_server());
    if (shard == nullptr) {
        return;
    }
    const Millis now = monotonicNow();
    {
        const std::lock_guard guard(shard->lock);
        releaseFromShard(*shard, released, gatewayRunName(message.sender()), now);
    }
    this->runScheduler(shard, now);
}

void GrantController::Core::handleAnnouncement(const wire::Envelope &message)
{
    const std::string gateway = gatewayRunName(message.sender());
    const Millis now = monotonicNow();
    std::map<std::string, std::vector<wire::HeldGrant>> byServer;
    for (const wire::HeldGrant &held : message.grant_announce().held()) {
        byServer[held.backend_server()].push_back(held);
    }
    for (const auto &shard : this->allShards()) {
        const std::lock_guard guard(shard->lock);
        applyAnnouncement(*shard, byServer[shard->config.id.str()], gateway, now,
                          announcementGrace);
    }
}

void GrantController::Core::handleBorrow(const wire::ShareBorrow &borrow, const ReplySender &reply)
{
    const Millis now = monotonicNow();
    {
        const std::lock_guard guard(this->budgetLock);
        if (borrow.in_flight() == 0) {
            const Millis ago = Millis(borrow.lease_ms()) - Millis(1);
            const bool used = borrow.lease_ms() > 0;
            returnLoan(this->budget, borrow.millitokens(),
                       used ? std::optional(now - ago) : std::nullopt, now);
        } else {
            const std::uint64_t number = this->nextNumber++;
            this->loanRepliers[number] = reply;
            const Millis since = now - Millis(borrow.millitokens());
            queueLoanRequest(this->budget, {number, since, now, now + maxLoanRequestWait});
        }
    }
    this->serveLoanRequests(now);
}

void GrantController::Core::serveLoanRequests(Millis now)
{
    const std::lock_guard guard(this->budgetLock);
    const bool mayLend = now < this->budgetConfirmedUntil;
    for (const LoanReply &loanReply : processLoanRequests(this->budget, mayLend, now)) {
        wire::Envelope message;
        wire::ShareReply &share = *message.mutable_share_reply();
        share.set_in_flight(loanReply.loan == 0 ? 0 : 1);
        share.set_millitokens(static_cast<std::uint32_t>(loanReply.loan));
        const Millis time = loanReply.loan == 0 ? loanReply.retryAfter
                                                : maxLoadDuration + loanReply.queuedFor;
        share.set_lease_ms(static_cast<std::uint32_t>(time.count()));
        this->loanRepliers[loanReply.number](std::move(message));
        this->loanRepliers.erase(loanReply.number);
    }
}

void GrantController::Core::sendLoanReturns()
{
    std::vector<std::pair<std::string, LoanReturn>> returns;
    {
        const std::lock_guard guard(this->budgetLock);
        for (const LoanReturn &loan : this->budget.returns) {
            returns.emplace_back(this->lenders[loan.lender], loan);
        }
        this->budget.returns.clear();
    }
    for (const auto &[endpoint, loan] : returns) {
        wire::Envelope message;
        message.mutable_share_borrow()->set_in_flight(0);
        message.mutable_share_borrow()->set_millitokens(static_cast<std::uint32_t>(loan.loan));
        const Millis ago = monotonicNow() - loan.started;
        message.mutable_share_borrow()->set_lease_ms(
                loan.used ? static_cast<std::uint32_t>(ago.count()) + 1 : 0);
        this->peers.notify(endpoint, std::move(message));
    }
}

void GrantController::Core::runScheduler(const std::shared_ptr<GrantShard> &shard, Millis now)
{
    std::vector<GrantSchedulerAction> actions;
    {
        const std::lock_guard guard(shard->lock);
        SchedulerContext context = contextOf(*shard, now);
        const std::lock_guard budgetGuard(this->budgetLock);
        if (now >= this->budgetConfirmedUntil && context.authority == OwnerAuthority::Full) {
            LoadBudget borrowedOnly;
            borrowedOnly.interval = this->budget.interval;
            borrowedOnly.borrowed.swap(this->budget.borrowed);
            actions = schedule(shard->state, borrowedOnly, context, now);
            this->budget.borrowed.swap(borrowedOnly.borrowed);
        } else {
            actions = schedule(shard->state, this->budget, context, now);
        }
        sendFinalReplies(*shard, actions, now);
        sendQueuedUpdates(*shard, now, keepAliveInterval);
    }
    this->executeActions(shard, actions);
    this->sendLoanReturns();
}

void GrantController::Core::executeActions(const std::shared_ptr<GrantShard> &shard,
                                           const std::vector<GrantSchedulerAction> &actions)
{
    for (const GrantSchedulerAction &action : actions) {
        if (const auto *loadCommand = std::get_if<LoadCommand>(&action)) {
            this->sendLoadCommand(shard, *loadCommand);
        }
    }
}

void GrantController::Core::sendLoadCommand(const std::shared_ptr<GrantShard> &shard,
                                            const LoadCommand &loadCommand)
{
    ++this->loadsStarted;
    AdapterLoadCommand command;
    {
        const std::lock_guard guard(shard->lock);
        command = {shard->config.id,
                   shard->config.address,
                   loadCommand.adapter,
                   loadCommand.evictionCandidate,
                   shard->fencing,
                   loadCommand.deadline,
                   shard->ownership.confirmedUntil};
    }
    LOG(INFO) << logprefix::load << "Sending a load command. adapter=" << loadCommand.adapter
              << " server=" << command.backendServer << " victim="
              << (loadCommand.evictionCandidate ? loadCommand.evictionCandidate->str() : "none");
    this->engines.load(command,
                       [weak = this->weak_from_this(), shard,
                        adapter = loadCommand.adapter](LoadOutcome outcome) {
                           const auto core = weak.lock();
                           if (core == nullptr || core->stopped) {
                               return;
                           }
                           const Millis now = monotonicNow();
                           LOG(INFO) << logprefix::load << "Load command ended. adapter=" << adapter
                                     << " server=" << shard->config.id
                                     << " loaded=" << (outcome == LoadOutcome::Loaded ? 1 : 0);
                           {
                               const std::lock_guard guard(shard->lock);
                               const std::lock_guard budgetGuard(core->budgetLock);
                               finishLoadCommand(shard->state, core->budget, adapter, outcome, now);
                           }
                           core->runScheduler(shard, now);
                       });
}

void GrantController::Core::pollReport(const std::shared_ptr<GrantShard> &shard, Millis now)
{
    std::string address;
    {
        const std::lock_guard guard(shard->lock);
        const bool isDue
                = now - shard->reportRequestedAt >= reportInterval && !shard->reportPending;
        const bool engine = shard->config.kind == BackendServerKind::Engine;
        if (shard->ownership.authority == OwnerAuthority::None || !isDue || !engine) {
            return;
        }
        shard->reportPending = true;
        shard->reportRequestedAt = now;
        address = shard->config.address;
    }
    this->engines.report(
            address,
            [weak = this->weak_from_this(), shard](const Result<EngineLoadReport> &report) {
                const auto core = weak.lock();
                if (core == nullptr || core->stopped) {
                    return;
                }
                const Millis receivedAt = monotonicNow();
                {
                    const std::lock_guard guard(shard->lock);
                    const std::lock_guard budgetGuard(core->budgetLock);
                    applyReport(*shard, core->budget, report, receivedAt);
                }
                core->runScheduler(shard, receivedAt);
            });
}

void GrantController::Core::borrowToken(Millis now)
{
    std::optional<Millis> since;
    for (const auto &shard : this->allShards()) {
        const std::lock_guard guard(shard->lock);
        const auto need = waitingForTokenSince(shard->state, contextOf(*shard, now), now);
        since = need && since ? std::min(*need, *since) : (need ? need : since);
    }
    std::vector<std::string> endpoints;
    {
        const std::lock_guard guard(this->budgetLock);
        if (!since) {
            returnUnusedLoans(this->budget);
        }
        const auto ready = nextTokenReady(this->budget, now);
        if (!since || (ready && *ready <= now && now < this->budgetConfirmedUntil)) {
            return;
        }
        for (auto &[endpoint, shareOwner] : this->shareOwners) {
            const bool tooEarly = shareOwner.remote && now - *since < crossRegionBorrowDelay;
            if (!shareOwner.requestPending && now >= shareOwner.requestAfter && !tooEarly) {
                shareOwner.requestPending = true;
                endpoints.push_back(endpoint);
            }
        }
    }
    for (const std::string &endpoint : endpoints) {
        this->requestLoan(endpoint, now - *since, now);
    }
}

void GrantController::Core::requestLoan(const std::string &endpoint, Millis waited, Millis now)
{
    wire::Envelope message;
    message.mutable_share_borrow()->set_in_flight(1);
    message.mutable_share_borrow()->set_millitokens(static_cast<std::uint32_t>(waited.count()));
    this->peers.request(endpoint, std::move(message), loanRequestTimeout,
                        [weak = this->weak_from_this(), endpoint,
                         requestedAt = now](const Result<wire::Envelope> &reply) {
                            const auto core = weak.lock();
                            if (core != nullptr && !core->stopped) {
                                core->handleLoanReply(endpoint, requestedAt, reply);
                            }
                            return false;
                        });
}

void GrantController::Core::handleLoanReply(const std::string &endpoint, Millis requestedAt,
                                            const Result<wire::Envelope> &reply)
{
    const Millis now = monotonicNow();
    {
        const std::lock_guard guard(this->budgetLock);
        ShareOwner &shareOwner = this->shareOwners[endpoint];
        shareOwner.requestPending = false;
        shareOwner.requestAfter = now + maxLoanRetryDelay;
        if (!reply.has_value() || !reply.value().has_share_reply()) {
            return;
        }
        const wire::ShareReply &share = reply.value().share_reply();
        if (share.in_flight() == 0) {
            shareOwner.requestAfter = now
                    + std::clamp(Millis(share.lease_ms()), minLoanRetryDelay, maxLoanRetryDelay);
            return;
        }
        shareOwner.requestAfter = now;
        addBorrowed(this->budget, share.millitokens(), shareOwner.number,
                    requestedAt + Millis(share.lease_ms()) - maxLoadDuration);
    }
    for (const auto &shard : this->allShards()) {
        this->runScheduler(shard, now);
    }
    this->borrowToken(now);
}

} // namespace balsamport
