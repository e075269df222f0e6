#ifndef BALSAMPORT_HTTP_CONNECTION_GUARD_H
#define BALSAMPORT_HTTP_CONNECTION_GUARD_H

#include <balsamport/core/clock.h>
#include <balsamport/core/memory_budget.h>

#include <asio.hpp>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string_view>
#include <unordered_map>

namespace balsamport {

class ConnectionGuard;

/// @brief What one connection of a caller holds. Shared by its socket, its requests and the guard.
class ConnectionMeter : public std::enable_shared_from_this<ConnectionMeter>
{
public:
    ConnectionMeter(std::shared_ptr<MemoryBudget> budget, std::function<void()> cancelRead);

    /// @return the meter of the connection whose bytes this thread is parsing; null for none
    [[nodiscard]] static std::shared_ptr<ConnectionMeter> current();

    /// @brief Makes a meter the current one of this thread.
    class Scope
    {
    public:
        explicit Scope(ConnectionMeter &meter) noexcept;
        ~Scope();
        Scope(const Scope &) = delete;
        Scope &operator=(const Scope &) = delete;

    private:
        ConnectionMeter *outer = nullptr;
    };

    /// @brief Records that a request was received completely.
    /// @return the memory that was reserved for its bytes
    [[nodiscard]] MemoryReservation completeRequest();
    /// @brief Records that the response to a request is complete.
    void completeResponse() noexcept { --this->requestsInProgress; }

    /// @return true once the guard ends the connection
    [[nodiscard]] bool isEvicted() const noexcept { return this->evicted; }

private:
    friend class ConnectionGuard;

    std::shared_ptr<MemoryBudget> budget; ///< May be null.
    std::function<void()> cancelRead; ///< Empty once the socket is closed.
    MemoryReservation reservation; ///< For the bytes of the incomplete request.
    std::uint64_t incompleteBytes = 0;
    Millis incompleteSince{-1}; ///< When its first byte arrived; -1 for no incomplete request.
    Millis activeAt; ///< When bytes last arrived.
    std::atomic<std::int32_t> requestsInProgress{0};
    bool evicted = false;
};

/// @brief Keeps the memory and the number of a server's connections within their limits, by ending
/// those whose requests have been incomplete for longest.
///
/// Used on the server's event loop only, which has one thread.
class ConnectionGuard : public std::enable_shared_from_this<ConnectionGuard>
{
public:
    /// @param limit of connections; the guard ends one before it is reached
    /// @param onEviction called with the reason; may be empty
    ConnectionGuard(std::shared_ptr<MemoryBudget> budget, std::size_t limit,
                    std::function<void(std::string_view reason)> onEviction);

    /// @brief Adds a connection.
    /// @param cancelRead cancels the pending read of its socket
    std::shared_ptr<ConnectionMeter> add(std::function<void()> cancelRead);
    void remove(const std::shared_ptr<ConnectionMeter> &meter);

    /// @brief Records received bytes, and ends connections if the memory is used up.
    void recordReceived(ConnectionMeter &meter, std::size_t bytes);

    /// @brief Ends connections whose requests arrive too slowly, now and every second.
    void endSlowRequests(asio::io_context &loop);

private:
    /// Ends the connection with the oldest incomplete request of more than some bytes.
    /// @param minAge of that request
    /// @return false if there is none
    bool evictOldestIncomplete(std::uint64_t minBytes, Millis minAge, std::string_view reason);
    /// Ends the connection that has been idle for longest, and for some time.
    bool evictIdle(const ConnectionMeter &except, Millis minIdleTime, std::string_view reason);
    void evict(ConnectionMeter &meter, std::string_view reason);

    std::shared_ptr<MemoryBudget> budget;
    std::size_t maxConnections;
    std::function<void(std::string_view reason)> onEviction;
    std::unordered_map<const ConnectionMeter *, std::shared_ptr<ConnectionMeter>> meters;
    std::unique_ptr<asio::steady_timer> timer;
};

/// @brief Lets the sockets of an event loop find the guard of its server.
class ConnectionGuardService : public asio::execution_context::service
{
public:
    // NOLINTNEXTLINE(readability-identifier-naming): Asio requires this name.
    static asio::execution_context::id id;

    explicit ConnectionGuardService(asio::execution_context &context)
        : asio::execution_context::service(context)
    { }

    std::shared_ptr<ConnectionGuard> guard;

private:
    void shutdown() override { this->guard.reset(); }
};

} // namespace balsamport

#endif
