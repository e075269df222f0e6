#ifndef BALSAMPORT_CORE_MEMORY_BUDGET_H
#define BALSAMPORT_CORE_MEMORY_BUDGET_H

#include <atomic>
#include <cstdint>
#include <memory>

namespace balsamport {

/// @brief Counts the bytes that the connections of callers and backend servers hold in this
/// process, against one limit. May be used from any thread.
class MemoryBudget
{
public:
    /// @param limitBytes 0 for no limit
    explicit MemoryBudget(std::uint64_t limitBytes) noexcept;

    /// @brief Reserves bytes that are about to be held.
    /// @return false where the limit would be exceeded; nothing is reserved then
    [[nodiscard]] bool tryReserve(std::uint64_t bytes) noexcept;

    /// @brief Reserves bytes that are held already, also beyond the limit.
    void reserve(std::uint64_t bytes) noexcept;

    void release(std::uint64_t bytes) noexcept;

    /// @return true where more bytes are reserved than the limit allows
    [[nodiscard]] bool isExceeded() const noexcept;

    [[nodiscard]] std::uint64_t used() const noexcept { return this->usedBytes; }
    [[nodiscard]] std::uint64_t limit() const noexcept { return this->limitBytes; }

private:
    std::uint64_t limitBytes = 0;
    std::atomic<std::uint64_t> usedBytes{0};
};

/// @brief Bytes that one connection or one request has reserved. The destructor releases them.
class MemoryReservation
{
public:
    MemoryReservation() = default;
    explicit MemoryReservation(std::shared_ptr<MemoryBudget> budget) noexcept;
    ~MemoryReservation();
    MemoryReservation(MemoryReservation &&other) noexcept;
    MemoryReservation &operator=(MemoryReservation &&other) noexcept;
    MemoryReservation(const MemoryReservation &) = delete;
    MemoryReservation &operator=(const MemoryReservation &) = delete;

    /// @return false where the budget's limit would be exceeded; without a budget always true
    [[nodiscard]] bool tryGrow(std::uint64_t bytes) noexcept;

    /// @brief Reserves bytes that are held already, also beyond the limit.
    void grow(std::uint64_t bytes) noexcept;

    /// @brief Releases some bytes, at most those that are reserved.
    void shrink(std::uint64_t bytes) noexcept;

    /// @brief Releases all bytes.
    void reset() noexcept;

    [[nodiscard]] std::uint64_t bytes() const noexcept { return this->reservedBytes; }

private:
    std::shared_ptr<MemoryBudget> budget; ///< May be null.
    std::uint64_t reservedBytes = 0;
};

} // namespace balsamport

#endif
