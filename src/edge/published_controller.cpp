#include "published_controller.h"

#include <balsamport/core/metric_names.h>
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
    this->context.log.write(
            EventPriority::Routine, "store_read",
            {{"reader", rank == 0}, {"age_ms", this->age(now)}, {"revision", this->storeRevision}});
    if (this->storeRevision == 0) {
        this->listing.clear();
        this->listRevision = 0;
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
    const Result<PublishedPage> page = response.has_error()
            ? response.error()
            : this->context.dialect.readPage(response.value());
    if (page.has_error()) {
        this->recordFailure(page.error());
        return;
    }
    const PublishedPage &content = page.value();
    if (this->listRevision == 0) {
        this->listRevision = content.revision;
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
    this->storeRevision = this->listRevision;
    const std::uint64_t since = this->published.contentRevision;
    const std::vector<PublishedEntry> changed
            = replaceEntries(this->published, this->listing, this->listRevision);
    this->listing.clear();
    this->notify(changed, since, true);
    this->schedule(callInterval);
}

void PublishedController::watch(const std::string &prefix)
{
    OutgoingRequest request
            = this->context.dialect.writeWatch(prefix, this->storeRevision, watchWait);
    request.timeout = watchWait;
    this->call(std::move(request),
               [this](const Result<HttpResponse> &response) { this->handleWatch(response); });
}

void PublishedController::handleWatch(const Result<HttpResponse> &response)
{
    const Result<PublishedPage> page = response.has_error()
            ? response.error()
            : this->context.dialect.readPage(response.value());
    if (page.has_error()) {
        this->recordFailure(page.error());
        return;
    }
    this->recordSuccess();
    if (page.value().historyLost) {
        // The state held may be outdated; only the list that follows confirms it.
        this->context.log.write(EventPriority::Vital, "store_history_lost",
                                {{"revision", this->storeRevision}});
        this->storeRevision = 0;
        this->schedule(Millis(0));
        return;
    }
    this->confirm();
    const std::uint64_t since = this->published.contentRevision;
    const std::vector<PublishedEntry> relevant = this->withoutHeartbeats(page.value().entries);
    this->storeRevision = std::max(this->storeRevision, page.value().revision);
    this->notify(mergeEntries(this->published, relevant), since, true);
    const Millis elapsed = monotonicNow() - this->polledAt;
    this->schedule(std::max(callInterval - elapsed, Millis(0)));
}

std::vector<PublishedEntry>
PublishedController::withoutHeartbeats(const std::vector<PublishedEntry> &entries) const
{
    std::vector<PublishedEntry> result;
    for (const PublishedEntry &entry : entries) {
        const auto held = this->published.entries.find(entry.key);
        const bool known = held != this->published.entries.end();
        if (!known || !this->isHeartbeat(held->second, entry)) {
            result.push_back(entry);
        }
    }
    return result;
}

bool PublishedController::isHeartbeat(const PublishedEntry &held, const PublishedEntry &entry) const
{
    if (held.deleted || entry.deleted) {
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
                                {{"failures", this->failures}, {"revision", this->storeRevision}});
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

void PublishedController::notify(const std::vector<PublishedEntry> &changed, std::uint64_t since,
                                 bool fromStore)
{
    if (!changed.empty()) {
        this->onChange(changed, since, fromStore);
    }
}

void PublishedController::mergeFromPeer(const std::vector<PublishedEntry> &entries,
                                        std::uint64_t contentRevision, Millis age)
{
    const std::uint64_t since = this->published.contentRevision;
    this->notify(mergeEntries(this->published, entries), since, false);
    this->confirmFromPeer(contentRevision, age);
}

void PublishedController::confirmFromPeer(std::uint64_t contentRevision, Millis age)
{
    if (contentRevision <= this->published.contentRevision) {
        this->published.confirmedAt = std::max(this->published.confirmedAt, monotonicNow() - age);
    }
}

} // namespace balsamport
