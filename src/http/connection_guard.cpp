#include "connection_guard.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace balsamport {

namespace {

/// Memory that a received byte takes until the response to its request is complete: the parser's
/// body, which grows by doubling, and the copies for the handler, for the decisions about the
/// request and for the backend server. The record of a chunk of one byte takes as much.
constexpr std::uint64_t bytesPerReceivedByte = 4;
/// Requests up to this size go on while larger ones can be ended instead.
constexpr std::uint64_t smallRequestBytes = 16 * 1024;
/// Small requests go on until the limit is exceeded by this part of it.
constexpr std::uint64_t headroomDivisor = 4;
/// Longest time for a request of any size, and least bytes a second beyond it. Callers within the
/// limits of the configuration send a head within 3 s.
constexpr Millis minRequestTime{10'000};
constexpr std::int64_t minBytesPerSecond = 4 * 1024;
/// Connections that have been incomplete or idle for this long are ended first for a new one.
constexpr Millis minConnectionTime{500};

thread_local ConnectionMeter *currentMeter = nullptr;

} // namespace

asio::execution_context::id ConnectionGuardService::id;

ConnectionMeter::ConnectionMeter(std::shared_ptr<MemoryBudget> sharedBudget,
                                 std::function<void()> cancel)
    : budget(std::move(sharedBudget))
    , cancelRead(std::move(cancel))
    , reservation(this->budget)
    , activeAt(monotonicNow())
{ }

std::shared_ptr<ConnectionMeter> ConnectionMeter::current()
{
    return currentMeter == nullptr ? nullptr : currentMeter->shared_from_this();
}

ConnectionMeter::Scope::Scope(ConnectionMeter &meter) noexcept
    : outer(std::exchange(currentMeter, &meter))
{ }

ConnectionMeter::Scope::~Scope()
{
    currentMeter = this->outer;
}

MemoryReservation ConnectionMeter::completeRequest()
{
    ++this->requestsInProgress;
    this->incompleteBytes = 0;
    this->incompleteSince = Millis(-1);
    return std::exchange(this->reservation, MemoryReservation(this->budget));
}

ConnectionGuard::ConnectionGuard(std::shared_ptr<MemoryBudget> sharedBudget, std::size_t limit,
                                 std::function<void(std::string_view)> evictionHandler)
    : budget(std::move(sharedBudget))
    , maxConnections(limit)
    , onEviction(std::move(evictionHandler))
{ }

std::shared_ptr<ConnectionMeter> ConnectionGuard::add(std::function<void()> cancelRead)
{
    auto meter = std::make_shared<ConnectionMeter>(this->budget, std::move(cancelRead));
    this->meters.emplace(meter.get(), meter);
    if (this->meters.size() > this->maxConnections) {
        // New callers come last: they had no time to send a request yet.
        constexpr std::string_view reason = "connections";
        (void)(this->evictOldestIncomplete(0, minConnectionTime, reason)
               || this->evictIdle(*meter, minConnectionTime, reason)
               || this->evictOldestIncomplete(0, Millis(0), reason)
               || this->evictIdle(*meter, Millis(0), reason));
    }
    return meter;
}

void ConnectionGuard::remove(const std::shared_ptr<ConnectionMeter> &meter)
{
    meter->cancelRead = nullptr;
    meter->reservation.reset();
    this->meters.erase(meter.get());
}

void ConnectionGuard::recordReceived(ConnectionMeter &meter, std::size_t bytes)
{
    meter.activeAt = monotonicNow();
    if (meter.incompleteSince < Millis(0)) {
        meter.incompleteSince = meter.activeAt;
    }
    meter.incompleteBytes += bytes;
    meter.reservation.grow(bytes * bytesPerReceivedByte);
    while (this->budget && this->budget->isExceeded()
           && this->evictOldestIncomplete(smallRequestBytes, Millis(0), "memory")) { }
    const auto isBeyondHeadroom = [this] {
        return this->budget && this->budget->limit() != 0
                && this->budget->used()
                > this->budget->limit() + this->budget->limit() / headroomDivisor;
    };
    while (isBeyondHeadroom() && this->evictOldestIncomplete(0, Millis(0), "memory")) { }
}

void ConnectionGuard::endSlowRequests(asio::io_context &loop)
{
    constexpr std::int64_t millisPerSecond = 1'000;
    const Millis now = monotonicNow();
    for (auto &[address, meter] : this->meters) {
        const auto allowedBeyond = static_cast<std::int64_t>(meter->incompleteBytes)
                * millisPerSecond / minBytesPerSecond;
        if (meter->incompleteSince >= Millis(0) && !meter->evicted
            && now - meter->incompleteSince > minRequestTime + Millis(allowedBeyond)) {
            this->evict(*meter, "slow");
        }
    }
    if (!this->timer) {
        this->timer = std::make_unique<asio::steady_timer>(loop);
    }
    this->timer->expires_after(std::chrono::milliseconds(millisPerSecond));
    this->timer->async_wait(
            [weak = this->weak_from_this(), &loop](const asio::error_code &failure) {
                const auto self = weak.lock();
                if (self && !failure) {
                    self->endSlowRequests(loop);
                }
            });
}

bool ConnectionGuard::evictOldestIncomplete(std::uint64_t minBytes, Millis minAge,
                                            std::string_view reason)
{
    const Millis now = monotonicNow();
    ConnectionMeter *oldest = nullptr;
    for (auto &[address, meter] : this->meters) {
        const bool mayEnd = !meter->evicted && meter->incompleteSince >= Millis(0)
                && meter->incompleteBytes > minBytes && now - meter->incompleteSince >= minAge;
        if (mayEnd && (oldest == nullptr || meter->incompleteSince < oldest->incompleteSince)) {
            oldest = meter.get();
        }
    }
    if (oldest != nullptr) {
        this->evict(*oldest, reason);
    }
    return oldest != nullptr;
}

bool ConnectionGuard::evictIdle(const ConnectionMeter &except, Millis minIdleTime,
                                std::string_view reason)
{
    const Millis now = monotonicNow();
    ConnectionMeter *longest = nullptr;
    for (auto &[address, meter] : this->meters) {
        const bool idle = !meter->evicted && meter->incompleteSince < Millis(0)
                && meter->requestsInProgress == 0 && now - meter->activeAt >= minIdleTime;
        if (idle && meter.get() != &except
            && (longest == nullptr || meter->activeAt < longest->activeAt)) {
            longest = meter.get();
        }
    }
    if (longest != nullptr) {
        this->evict(*longest, reason);
    }
    return longest != nullptr;
}

void ConnectionGuard::evict(ConnectionMeter &meter, std::string_view reason)
{
    meter.evicted = true;
    meter.reservation.reset(); // The parser frees its bytes as soon as the read is cancelled.
    if (meter.cancelRead) {
        meter.cancelRead();
    }
    if (this->onEviction) {
        this->onEviction(reason);
    }
}

} // namespace balsamport
