#ifndef BALSAMPORT_CORE_MEMORY_USE_H
#define BALSAMPORT_CORE_MEMORY_USE_H

#include <cstdint>

namespace balsamport {

/// @brief Memory of this process, in bytes.
struct MemoryUse
{
    std::uint64_t residentBytes = 0; ///< In RAM, shared pages included. 0 if unknown.
    std::uint64_t heapUsedBytes = 0; ///< Allocated by malloc() and not freed.
    std::uint64_t heapFreeBytes = 0; ///< Freed, but not returned to the system.

    bool operator==(const MemoryUse &) const = default;
};

/// @return the memory that this process uses now
/// @complexity one system call, and one step for each arena of malloc()
[[nodiscard]] MemoryUse memoryUse() noexcept;

} // namespace balsamport

#endif
