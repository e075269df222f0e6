#include "published_controller.h"

#include <balsamport/core/metric_names.h>
#include <balsamport/edge/peers.h>

#include <algorithm>
#include <utility>

namespace balsamport {

namespace {

/// Between two calls to the store. Source: the store prices each call; with the way to the peers
/// this keeps changes well under the 3 s in which they must be in force.
constexpr Millis callPace{700};
/// A watch that sees no change waits this long; short, so that a silent connection is noticed.
constexpr Millis watchWait{1'000};
/// A call that is not answered by then has failed.
constexpr Millis callTimeout{900};
/// Daemons that do not read look this often whether they should.
constexpr Millis idlePace{400};
/// Daemons that know nothing yet look so often.
constexpr Millis firstPace{50};
/// The age of what was never read.
constexpr Millis never{1'000'000};
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
    return this->published.confirmedAt < Millis(0) ? never : now - this->published.confirmedAt;
}

void PublishedController::schedule(Millis delay)
{
    this->timer->set(delay, [this] { this->step(); });
}

void PublishedController::step()
{
    const Millis now = monotonicNow();
    const std::size_t rank = this->readerRank();
    const Millis age = this->age(now);
    const bool unread = age >= never;
    const bool othersRead = unread ? now - this->startedAt < initialReadDelay(rank)
                                   : rank != 0 && age < maxStaleness(rank);
    if (othersRead) {
        this->schedule(unread ? firstPace : idlePace);
        return;
    }
    this->stepAt = now;
    this->context.log.write(
            EventWeight::Routine, "store_read",
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
                               std::function<void(const Result<HttpAnswer> &)> handler)
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
               [this, prefixIndex](const Result<HttpAnswer> &answer) {
                   this->takeListPage(prefixIndex, answer);
               });
}

void PublishedController::takeListPage(std::size_t prefixIndex, const Result<HttpAnswer> &answer)
{
    const Result<PublishedPage> page
            = answer.has_error() ? answer.error() : this->context.dialect.readPage(answer.value());
    if (page.has_error()) {
        this->noteFailure(page.error());
        return;
    }
    const PublishedPage &read = page.value();
    if (this->listRevision == 0) {
        this->listRevision = read.revision;
    }
    this->listing.insert(this->listing.end(), read.entries.begin(), read.entries.end());
    if (read.hasMore && !read.entries.empty()) {
        this->list(prefixIndex, read.entries.back().key);
    } else {
        this->list(prefixIndex + 1, std::string());
    }
}

void PublishedController::finishList()
{
    this->noteAnswer();
    this->confirm();
    this->storeRevision = this->listRevision;
    const std::uint64_t since = this->published.contentRevision;
    const std::vector<PublishedEntry> changed
            = replaceEntries(this->published, this->listing, this->listRevision);
    this->listing.clear();
    this->change(changed, since, true);
    this->schedule(callPace);
}

void PublishedController::watch(const std::string &prefix)
{
    OutgoingRequest request
            = this->context.dialect.writeWatch(prefix, this->storeRevision, watchWait);
    request.timeout = watchWait;
    this->call(std::move(request),
               [this](const Result<HttpAnswer> &answer) { this->takeWatch(answer); });
}

void PublishedController::takeWatch(const Result<HttpAnswer> &answer)
{
    const Result<PublishedPage> page
            = answer.has_error() ? answer.error() : this->context.dialect.readPage(answer.value());
    if (page.has_error()) {
        this->noteFailure(page.error());
        return;
    }
    this->noteAnswer();
    if (page.value().historyLost) {
        // What is held may be old; only the list that follows confirms it.
        this->context.log.write(EventWeight::Vital, "store_history_lost",
                                {{"revision", this->storeRevision}});
        this->storeRevision = 0;
        this->schedule(Millis(0));
        return;
    }
    this->confirm();
    const std::uint64_t since = this->published.contentRevision;
    const std::vector<PublishedEntry> relevant = this->withoutHeartbeats(page.value().entries);
    this->storeRevision = std::max(this->storeRevision, page.value().revision);
    this->change(mergeEntries(this->published, relevant), since, true);
    const Millis spent = monotonicNow() - this->stepAt;
    this->schedule(std::max(callPace - spent, Millis(0)));
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
    const auto after = this->context.dialect.readEntry(entry);
    if (after.has_error() || !std::holds_alternative<ServerEntry>(after.value())) {
        return false; // Only servers beat; a long configuration is not read twice.
    }
    const auto before = this->context.dialect.readEntry(held);
    return before.has_value() && before.value() == after.value();
}

void PublishedController::noteAnswer()
{
    if (!this->reachable) {
        this->context.log.write(EventWeight::Vital, "store_back",
                                {{"failures", this->failures}, {"revision", this->storeRevision}});
    }
    this->reachable = true;
    this->failures = 0;
}

void PublishedController::confirm()
{
    this->published.confirmedAt = monotonicNow();
}

void PublishedController::noteFailure(const Error &error)
{
    const Millis now = monotonicNow();
    if (this->reachable) {
        this->context.log.write(EventWeight::Vital, "store_lost",
                                {{"error", errorName(error.code)},
                                 {"detail", error.detail},
                                 {"age_ms", this->age(now)}});
    }
    this->reachable = false;
    this->failedAt = now;
    this->failures = std::min(this->failures + 1, maxBackoffSteps);
    this->schedule(firstBackoff * this->failures);
}

void PublishedController::change(const std::vector<PublishedEntry> &changed, std::uint64_t since,
                                 bool own)
{
    if (!changed.empty()) {
        this->onChange(changed, since, own);
    }
}

void PublishedController::takeFromPeer(const std::vector<PublishedEntry> &entries,
                                       std::uint64_t contentRevision, Millis age)
{
    const std::uint64_t since = this->published.contentRevision;
    this->change(mergeEntries(this->published, entries), since, false);
    this->confirmFromPeer(contentRevision, age);
}

void PublishedController::confirmFromPeer(std::uint64_t contentRevision, Millis age)
{
    if (contentRevision <= this->published.contentRevision) {
        this->published.confirmedAt = std::max(this->published.confirmedAt, monotonicNow() - age);
    }
}

} // namespace balsamport
