#include "published_controller.h"

#include <balsamport/core/metric_names.h>
#include <balsamport/edge/entry_precedence.h>
#include <balsamport/edge/peers.h>

#include <algorithm>
#include <utility>

namespace balsamport {

namespace {

/// Interval between two calls to the store. Source: the store prices each call; with the transfer
/// to the peers this stays well below the 3 s within which changes must be in force.
constexpr Millis callInterval{700};
/// Longest wait of a watch for a change; short, so that a silent connection is detected.
constexpr Millis watchWait{1'000};
/// Time-out of a call, in addition to the wait of a watch.
constexpr Millis callTimeout{900};
/// Interval at which daemons that do not read check whether they should.
constexpr Millis idleInterval{400};
/// The same for daemons without published state.
constexpr Millis initialInterval{50};
/// Age of a state that was never confirmed.
constexpr Millis unconfirmedAge{1'000'000};
constexpr Millis firstBackoff{250};
constexpr std::uint32_t maxBackoffSteps = 3;

} // namespace

PublishedController::PublishedController(EdgeContext &owner, std::function<std::size_t()> rank,
                                         ChangeHandler changeHandler)
    : context(owner)
    , readerRank(std::move(rank))
    , onChange(std::move(changeHandler))
    , staysInForce(entryPrecedence(owner.dialect.readEntry))
    , timer(owner.loop.makeTimer())
{ }

void PublishedController::start()
{
    this->startedAt = monotonicNow();
    this->schedule(Millis(0));
}

Millis PublishedController::age(Millis now) const noexcept
{
    return this->published.confirmedAt < Millis(0) ? unconfirmedAge
                                                   : now - this->published.confirmedAt;
}

void PublishedController::schedule(Millis delay)
{
    this->timer->set(delay, [this] { this->poll(); });
}

void PublishedController::poll()
{
    const Millis now = monotonicNow();
    const std::size_t rank = this->readerRank();
    const Millis age = this->age(now);
    const bool isUnconfirmed = age >= unconfirmedAge;
    const bool leftToOthers = isUnconfirmed ? now - this->startedAt < initialReadDelay(rank)
                                            : rank != 0 && age < maxStaleness(rank);
    if (leftToOthers) {
        this->schedule(isUnconfirmed ? initialInterval : idleInterval);
        return;
    }
    this->polledAt = now;
    this->context.log.write(EventPriority::Routine, "store_read",
                            {{"reader", rank == 0},
                             {"age_ms", this->age(now)},
                             {"revision", this->readRevision.value_or(StoreRevision()).number}});
    if (!this->readRevision) {
        this->listing.clear();
        this->listRevision.reset();
        this->list(0, std::string());
        return;
    }
    const std::vector<std::string> &prefixes = this->context.dialect.storePrefixes;
    this->watch(prefixes[this->watchIndex % prefixes.size()]);
}

void PublishedController::call(OutgoingRequest request,
                               std::function<void(const Result<HttpResponse> &)> handler)
{
    this->context.metrics.counter(metric::edgeStoreCalls).add();
    request.timeout += callTimeout;
    request.connectTimeout = callTimeout;
    fetchOnLoop(this->context, std::move(request), std::move(handler));
}

void PublishedController::list(std::size_t prefixIndex, const std::string &after)
{
    const std::vector<std::string> &prefixes = this->context.dialect.storePrefixes;
    if (prefixIndex >= prefixes.size()) {
        this->finishList();
        return;
    }
    this->call(this->context.dialect.writeList(prefixes[prefixIndex], after),
               [this, prefixIndex](const Result<HttpResponse> &response) {
                   this->handleListPage(prefixIndex, response);
               });
}

void PublishedController::handleListPage(std::size_t prefixIndex,
                                         const Result<HttpResponse> &response)
{
    const Result<PublishedPage> page = this->readPage(response);
    if (page.has_error()) {
        this->recordFailure(page.error());
        return;
    }
    const PublishedPage &content = page.value();
    if (!this->listRevision) {
        this->listRevision = content.revision;
    } else if (content.revision.era != this->listRevision->era) {
        this->listAgain("between two pages of a listing", content.revision.era);
        return;
    }
    this->listing.insert(this->listing.end(), content.entries.begin(), content.entries.end());
    if (content.hasMore && !content.entries.empty()) {
        this->list(prefixIndex, content.entries.back().key);
    } else {
        this->list(prefixIndex + 1, std::string());
    }
}

void PublishedController::finishList()
{
    this->recordSuccess();
    this->confirm();
    this->readRevision = this->listRevision;
    const StoreRevision since = this->published.contentRevision;
    const std::vector<PublishedEntry> changed = replaceEntries(
            this->published, this->listing, this->listRevision.value(), this->staysInForce);
    this->listing.clear();
    this->notify(changed, since, true);
    this->schedule(callInterval);
}

void PublishedController::watch(const std::string &prefix)
{
    OutgoingRequest request
            = this->context.dialect.writeWatch(prefix, this->readRevision->number, watchWait);
    request.timeout = watchWait;
    this->call(std::move(request),
               [this](const Result<HttpResponse> &response) { this->handleWatch(response); });
}

void PublishedController::handleWatch(const Result<HttpResponse> &response)
{
    const Result<PublishedPage> page = this->readPage(response);
    if (page.has_error()) {
        this->recordFailure(page.error());
        return;
    }
    this->recordSuccess();
    const StoreRevision &revision = page.value().revision;
    // The state held may be outdated; only the list that follows confirms it. In another era the
    // store may have passed the revision read last, and then responds without an error.
    if (revision.era != this->readRevision->era) {
        this->listAgain("the store has returned from a copy", revision.era);
        return;
    }
    if (page.value().historyLost) {
        this->listAgain("the store has dropped its history", revision.era);
        return;
    }
    this->confirm();
    const StoreRevision since = this->published.contentRevision;
    const WatchedChanges watched
            = separateHeartbeats(this->published, page.value().entries,
                                 [this](const PublishedEntry &held, const PublishedEntry &entry) {
                                     return this->isHeartbeat(held, entry);
                                 });
    for (const PublishedEntry &heartbeat : watched.heartbeats) {
        this->markWritten(heartbeat);
    }
    this->readRevision = std::max(*this->readRevision, revision);
    this->notify(mergeEntries(this->published, watched.changes, this->staysInForce), since, true);
    const Millis elapsed = monotonicNow() - this->polledAt;
    this->schedule(std::max(callInterval - elapsed, Millis(0)));
}

Result<PublishedPage> PublishedController::readPage(const Result<HttpResponse> &response) const
{
    if (response.has_error()) {
        return response.error();
    }
    Result<PublishedPage> page = this->context.dialect.readPage(response.value());
    if (page.has_error()) {
        return page;
    }
    const std::uint64_t heldEra = this->published.contentRevision.era;
    PublishedPage &content = page.value();
    if (!content.statesEra) {
        content.revision.era = heldEra;
        for (PublishedEntry &entry : content.entries) {
            entry.revision.era = heldEra;
        }
    } else if (content.revision.era < heldEra) {
        return Error{ErrorCode::BadResponse, "the response of the store is of an earlier era"};
    }
    return page;
}

void PublishedController::listAgain(std::string_view reason, std::uint64_t era)
{
    this->context.log.write(EventPriority::Vital, "store_history_lost",
                            {{"revision", this->readRevision.value_or(StoreRevision()).number},
                             {"reason", reason},
                             {"held_era", this->published.contentRevision.era},
                             {"era", era}});
    this->readRevision.reset();
    this->schedule(Millis(0));
}

void PublishedController::markWritten(const PublishedEntry &heartbeat)
{
    PublishedEntry &held = this->published.entries.at(heartbeat.key);
    if (held.revision.era == heartbeat.revision.era) {
        held.origin = EntryOrigin::Written;
    }
}

bool PublishedController::isHeartbeat(const PublishedEntry &held, const PublishedEntry &entry) const
{
    if (held.deleted || entry.deleted || held.origin == EntryOrigin::Kept) {
        return false;
    }
    const auto newContent = this->context.dialect.readEntry(entry);
    if (newContent.has_error() || !std::holds_alternative<ServerEntry>(newContent.value())) {
        return false; // Only servers send heartbeats; a long configuration is not parsed twice.
    }
    const auto heldContent = this->context.dialect.readEntry(held);
    return heldContent.has_value() && heldContent.value() == newContent.value();
}

void PublishedController::recordSuccess()
{
    if (!this->reachable) {
        this->context.log.write(EventPriority::Vital, "store_back",
                                {{"failures", this->failures},
                                 {"revision", this->readRevision.value_or(StoreRevision()).number},
                                 {"era", this->published.contentRevision.era}});
    }
    this->reachable = true;
    this->failures = 0;
}

void PublishedController::confirm()
{
    this->published.confirmedAt = monotonicNow();
}

void PublishedController::recordFailure(const Error &error)
{
    const Millis now = monotonicNow();
    if (this->reachable) {
        this->context.log.write(EventPriority::Vital, "store_lost",
                                {{"error", errorName(error.code)},
                                 {"detail", error.detail},
                                 {"age_ms", this->age(now)}});
    }
    this->reachable = false;
    this->failedAt = now;
    this->failures = std::min(this->failures + 1, maxBackoffSteps);
    this->schedule(firstBackoff * this->failures);
}

void PublishedController::notify(const std::vector<PublishedEntry> &changed,
                                 const StoreRevision &since, bool fromStore)
{
    if (!changed.empty()) {
        this->onChange(changed, since, fromStore);
    }
}

void PublishedController::mergeFromPeer(const PublishedUpdate &update, Millis age)
{
    const StoreRevision since = this->published.contentRevision;
    this->notify(applyUpdate(this->published, update, this->staysInForce), since, false);
    this->confirmFromPeer(update.contentRevision, age);
}

void PublishedController::confirmFromPeer(const StoreRevision &contentRevision, Millis age)
{
    // What a peer confirmed in an earlier era says nothing about the content of this one.
    if (contentRevision.era == this->published.contentRevision.era
        && contentRevision <= this->published.contentRevision) {
        this->published.confirmedAt = std::max(this->published.confirmedAt, monotonicNow() - age);
    }
}

} // namespace balsamport
