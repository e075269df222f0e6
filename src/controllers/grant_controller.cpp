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
constexpr Millis keepAliveInterval{500}; ///< Between two QUEUED replies to one waiter.
constexpr Millis shareTimeout{800};
constexpr Millis sharePatience{50}; ///< How long a lender keeps a request before refusing it.
constexpr Millis shareRetry{10};
constexpr Millis shareRetryLongest{1'000};
constexpr Millis announceGrace{5'000}; ///< A younger grant may be missing in an announcement.

std::string gatewayName(const wire::VmInstance &sender)
{
    return sender.vm() + "#" + std::to_string(sender.incarnation());
}

wire::Envelope failure(ErrorCode code, const std::string &detail)
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

/// A peer that holds a share of the weight store.
struct ShareHolder
{
    std::uint64_t number = 0;
    bool far = false; ///< In another region.
    Millis askAfter;
    bool asked = false;
};

} // namespace

struct GrantController::Core : std::enable_shared_from_this<GrantController::Core>
{
    VmId self;
    EngineOperations orders;
    PeerMessages peers;
    std::atomic<bool> stopped{false};
    std::atomic<std::uint64_t> loadsStarted{0};

    mutable std::mutex mapLock; ///< Guards the three below; taken before no other lock.
    std::map<BackendServerId, std::shared_ptr<GrantShard>> shards;
    SnapshotPtr snapshot;
    std::map<std::string, std::uint64_t> gatewayRuns; ///< Newest incarnation by VM.

    std::mutex budgetLock; ///< Guards the six below; taken after a shard's lock.
    LoadBudget budget;
    Millis budgetConfirmedUntil;
    std::map<std::string, ShareHolder> holders; ///< By endpoint.
    std::map<std::uint64_t, std::string> lenders; ///< Endpoints by number; kept for returns.
    std::map<std::uint64_t, ReplySender> loanAsks; ///< Peers that wait for a token, by ask.
    std::uint64_t nextAsk = 1;

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
    void noteGateway(const wire::VmInstance &sender);
    void request(const wire::Envelope &message, const ReplySender &reply);
    void release(const wire::Envelope &message);
    void announce(const wire::Envelope &message);
    void lend(const wire::ShareBorrow &borrow, const ReplySender &reply);
    void serveAsks(Millis now);
    void sendReturns();
    void run(const std::shared_ptr<GrantShard> &shard, Millis now);
    void perform(const std::shared_ptr<GrantShard> &shard,
                 const std::vector<GrantSchedulerAction> &actions);
    void sendLoad(const std::shared_ptr<GrantShard> &shard, const LoadCommand &order);
    void readReport(const std::shared_ptr<GrantShard> &shard, Millis now);
    void borrow(Millis now);
    void borrowFrom(const std::string &endpoint, Millis waited, Millis now);
    void takeLoan(const std::string &endpoint, Millis asked, const Result<wire::Envelope> &reply);
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

GrantController::GrantController(VmId self, EngineOperations orders, PeerMessages peers)
    : core(std::make_shared<Core>())
{
    this->core->self = std::move(self);
    this->core->orders = std::move(orders);
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
        this->core->lend(message.share_borrow(), reply);
        return;
    }
    this->core->noteGateway(message.sender());
    if (message.has_grant_request()) {
        this->core->request(message, reply);
    } else if (message.has_grant_release()) {
        this->core->release(message);
    } else if (message.has_grant_announce()) {
        this->core->announce(message);
    }
}

void GrantController::tick(Millis now)
{
    for (const auto &shard : this->core->allShards()) {
        this->core->readReport(shard, now);
        this->core->run(shard, now);
    }
    this->core->serveAsks(now);
    this->core->borrow(now);
    this->core->sendReturns();
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
        describeShard(*shard, server);
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
            const auto home = preferredEngineOf(next, adapter);
            const auto shard = home ? this->findShard(home->str()) : nullptr;
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
    std::vector<BackendServerId> engines;
    for (const auto &[id, config] : next.backendServers) {
        if (config.kind == BackendServerKind::Engine) {
            engines.push_back(id);
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
    const auto tokens = tokenServers(next.limits.storeInFlight, engines);
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
                    const DataCentreId &home = next.backendServers.at(*server).dataCentre;
                    endpoints[owner.controllerEndpoint] = next.regionOf(home);
                }
            }
        }
    }
    setTokens(this->budget, held, tokenInterval(next.limits));
    this->budgetConfirmedUntil = confirmed;
    std::erase_if(this->holders,
                  [&endpoints](const auto &entry) { return !endpoints.contains(entry.first); });
    for (const auto &[endpoint, region] : endpoints) {
        const auto [at, added] = this->holders.try_emplace(endpoint);
        if (added) {
            at->second.number = this->nextAsk++;
            this->lenders[at->second.number] = endpoint;
        }
        at->second.far = region != ownRegion;
    }
}

void GrantController::Core::noteGateway(const wire::VmInstance &sender)
{
    std::string gone;
    {
        const std::lock_guard guard(this->mapLock);
        std::uint64_t &newest = this->gatewayRuns[sender.vm()];
        if (sender.incarnation() <= newest) {
            return;
        }
        gone = newest == 0 ? "" : sender.vm() + "#" + std::to_string(newest);
        newest = sender.incarnation();
    }
    if (gone.empty()) {
        return;
    }
    for (const auto &shard : this->allShards()) {
        const std::lock_guard guard(shard->lock);
        const std::size_t dropped = dropGatewayGrants(shard->state, gone);
        if (dropped > 0) {
            LOG(INFO) << logprefix::grant
                      << "Gateway has restarted, its grants end. gateway=" << gone
                      << " server=" << shard->config.id << " grants=" << dropped;
        }
    }
}

void GrantController::Core::request(const wire::Envelope &message, const ReplySender &reply)
{
    const wire::GrantRequest &request = message.grant_request();
    const auto shard = this->findShard(request.backend_server());
    if (shard == nullptr) {
        reply(failure(ErrorCode::NotOwner, "unknown backend server"));
        return;
    }
    const Millis now = monotonicNow();
    {
        const std::lock_guard guard(shard->lock);
        if (shard->ownership.authority == OwnerAuthority::None) {
            reply(failure(ErrorCode::NotOwner, "another VM owns this backend server"));
            return;
        }
        if (request.deadline_ms() == 0) {
            requestPreload(shard->state, fromWire(request.adapter()), false, now);
            return;
        }
        const std::lock_guard budgetGuard(this->budgetLock);
        const auto answer = admitToShard(*shard, this->budget, request,
                                         gatewayName(message.sender()), reply, now);
        if (answer) {
            reply(*answer);
            return;
        }
    }
    this->run(shard, now);
    this->borrow(now);
    // Only a request that goes on waiting is told so; the others have their final answer.
    const std::lock_guard guard(shard->lock);
    tellQueued(*shard, now, keepAliveInterval);
}

void GrantController::Core::release(const wire::Envelope &message)
{
    const wire::GrantRelease &released = message.grant_release();
    const auto shard = this->findShard(released.backend_server());
    if (shard == nullptr) {
        return;
    }
    const Millis now = monotonicNow();
    {
        const std::lock_guard guard(shard->lock);
        releaseFromShard(*shard, released, gatewayName(message.sender()), now);
    }
    this->run(shard, now);
}

void GrantController::Core::announce(const wire::Envelope &message)
{
    const std::string gateway = gatewayName(message.sender());
    const Millis now = monotonicNow();
    std::map<std::string, std::vector<wire::HeldGrant>> byServer;
    for (const wire::HeldGrant &held : message.grant_announce().held()) {
        byServer[held.backend_server()].push_back(held);
    }
    for (const auto &shard : this->allShards()) {
        const std::lock_guard guard(shard->lock);
        announceToShard(*shard, byServer[shard->config.id.str()], gateway, now, announceGrace);
    }
}

void GrantController::Core::lend(const wire::ShareBorrow &borrow, const ReplySender &reply)
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
            const std::uint64_t ask = this->nextAsk++;
            this->loanAsks[ask] = reply;
            const Millis since = now - Millis(borrow.millitokens());
            queueLoanRequest(this->budget, {ask, since, now, now + sharePatience});
        }
    }
    this->serveAsks(now);
}

void GrantController::Core::serveAsks(Millis now)
{
    const std::lock_guard guard(this->budgetLock);
    const bool mayLend = now < this->budgetConfirmedUntil;
    for (const LoanReply &answer : processLoanRequests(this->budget, mayLend, now)) {
        wire::Envelope message;
        wire::ShareReply &share = *message.mutable_share_reply();
        share.set_in_flight(answer.loan == 0 ? 0 : 1);
        share.set_millitokens(static_cast<std::uint32_t>(answer.loan));
        const Millis time
                = answer.loan == 0 ? answer.retryAfter : maxLoadDuration + answer.queuedFor;
        share.set_lease_ms(static_cast<std::uint32_t>(time.count()));
        this->loanAsks[answer.number](std::move(message));
        this->loanAsks.erase(answer.number);
    }
}

void GrantController::Core::sendReturns()
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

void GrantController::Core::run(const std::shared_ptr<GrantShard> &shard, Millis now)
{
    std::vector<GrantSchedulerAction> actions;
    {
        const std::lock_guard guard(shard->lock);
        SchedulerContext context = contextOf(*shard, now);
        const std::lock_guard budgetGuard(this->budgetLock);
        if (now >= this->budgetConfirmedUntil && context.right == OwnerAuthority::Full) {
            LoadBudget borrowedOnly;
            borrowedOnly.interval = this->budget.interval;
            borrowedOnly.borrowed.swap(this->budget.borrowed);
            actions = schedule(shard->state, borrowedOnly, context, now);
            this->budget.borrowed.swap(borrowedOnly.borrowed);
        } else {
            actions = schedule(shard->state, this->budget, context, now);
        }
        answerWaiters(*shard, actions, now);
        tellQueued(*shard, now, keepAliveInterval);
    }
    this->perform(shard, actions);
    this->sendReturns();
}

void GrantController::Core::perform(const std::shared_ptr<GrantShard> &shard,
                                    const std::vector<GrantSchedulerAction> &actions)
{
    for (const GrantSchedulerAction &action : actions) {
        if (const auto *order = std::get_if<LoadCommand>(&action)) {
            this->sendLoad(shard, *order);
        }
    }
}

void GrantController::Core::sendLoad(const std::shared_ptr<GrantShard> &shard,
                                     const LoadCommand &order)
{
    ++this->loadsStarted;
    AdapterLoadCommand engineOrder;
    {
        const std::lock_guard guard(shard->lock);
        engineOrder = {shard->config.id,
                       shard->config.address,
                       order.adapter,
                       order.evictionCandidate,
                       shard->fencing,
                       order.deadline,
                       shard->ownership.confirmedUntil};
    }
    LOG(INFO) << logprefix::load << "Ordered. adapter=" << order.adapter
              << " server=" << engineOrder.backendServer
              << " victim=" << (order.evictionCandidate ? order.evictionCandidate->str() : "none");
    this->orders.load(
            engineOrder,
            [weak = this->weak_from_this(), shard, adapter = order.adapter](LoadOutcome outcome) {
                const auto core = weak.lock();
                if (core == nullptr || core->stopped) {
                    return;
                }
                const Millis now = monotonicNow();
                LOG(INFO) << logprefix::load << "Ended. adapter=" << adapter
                          << " server=" << shard->config.id
                          << " loaded=" << (outcome == LoadOutcome::Loaded ? 1 : 0);
                {
                    const std::lock_guard guard(shard->lock);
                    const std::lock_guard budgetGuard(core->budgetLock);
                    finishLoadCommand(shard->state, core->budget, adapter, outcome, now);
                }
                core->run(shard, now);
            });
}

void GrantController::Core::readReport(const std::shared_ptr<GrantShard> &shard, Millis now)
{
    std::string address;
    {
        const std::lock_guard guard(shard->lock);
        const bool due = now - shard->reportAskedAt >= reportInterval && !shard->reportPending;
        const bool engine = shard->config.kind == BackendServerKind::Engine;
        if (shard->ownership.authority == OwnerAuthority::None || !due || !engine) {
            return;
        }
        shard->reportPending = true;
        shard->reportAskedAt = now;
        address = shard->config.address;
    }
    this->orders.report(
            address,
            [weak = this->weak_from_this(), shard](const Result<EngineLoadReport> &report) {
                const auto core = weak.lock();
                if (core == nullptr || core->stopped) {
                    return;
                }
                const Millis answered = monotonicNow();
                {
                    const std::lock_guard guard(shard->lock);
                    const std::lock_guard budgetGuard(core->budgetLock);
                    takeReport(*shard, core->budget, report, answered);
                }
                core->run(shard, answered);
            });
}

void GrantController::Core::borrow(Millis now)
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
        for (auto &[endpoint, holder] : this->holders) {
            const bool tooEarly = holder.far && now - *since < crossRegionBorrowDelay;
            if (!holder.asked && now >= holder.askAfter && !tooEarly) {
                holder.asked = true;
                endpoints.push_back(endpoint);
            }
        }
    }
    for (const std::string &endpoint : endpoints) {
        this->borrowFrom(endpoint, now - *since, now);
    }
}

void GrantController::Core::borrowFrom(const std::string &endpoint, Millis waited, Millis now)
{
    wire::Envelope message;
    message.mutable_share_borrow()->set_in_flight(1);
    message.mutable_share_borrow()->set_millitokens(static_cast<std::uint32_t>(waited.count()));
    this->peers.request(endpoint, std::move(message), shareTimeout,
                        [weak = this->weak_from_this(), endpoint,
                         asked = now](const Result<wire::Envelope> &reply) {
                            const auto core = weak.lock();
                            if (core != nullptr && !core->stopped) {
                                core->takeLoan(endpoint, asked, reply);
                            }
                            return false;
                        });
}

void GrantController::Core::takeLoan(const std::string &endpoint, Millis asked,
                                     const Result<wire::Envelope> &reply)
{
    const Millis now = monotonicNow();
    {
        const std::lock_guard guard(this->budgetLock);
        ShareHolder &holder = this->holders[endpoint];
        holder.asked = false;
        holder.askAfter = now + shareRetryLongest;
        if (!reply.has_value() || !reply.value().has_share_reply()) {
            return;
        }
        const wire::ShareReply &share = reply.value().share_reply();
        if (share.in_flight() == 0) {
            holder.askAfter
                    = now + std::clamp(Millis(share.lease_ms()), shareRetry, shareRetryLongest);
            return;
        }
        holder.askAfter = now;
        addBorrowed(this->budget, share.millitokens(), holder.number,
                    asked + Millis(share.lease_ms()) - maxLoadDuration);
    }
    for (const auto &shard : this->allShards()) {
        this->run(shard, now);
    }
    this->borrow(now);
}

} // namespace balsamport
