#ifndef BALSAMPORT_FILTERS_ADMISSION_H
#define BALSAMPORT_FILTERS_ADMISSION_H

#include <balsamport/filters/filter.h>

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>

namespace balsamport {

/// @brief Limits the requests in progress, with a fair share for each caller class.
///
/// A class may use the whole limit while others are idle. Once three quarters of the limit are in
/// use, only classes below their own share are admitted. May be used from any thread.
class ConcurrencyLimiter
{
public:
    explicit ConcurrencyLimiter(std::uint32_t limit) noexcept;

    /// @brief Admits a request, or refuses it.
    /// @param callerClass class of the caller
    /// @param totalWeight sum of the weights of all classes, at least the class's own
    /// @return false where the limit is reached
    [[nodiscard]] bool tryAcquire(const CallerClassConfig &callerClass, std::uint64_t totalWeight);
    void release(const CallerClassId &callerClass);
    [[nodiscard]] std::uint32_t count() const;

private:
    const std::uint32_t limit;
    mutable std::mutex mutex;
    std::uint32_t total = 0;
    std::map<CallerClassId, std::uint32_t> countByClass;
};

/// @brief Sets the priority of a request and admits it, or refuses it early with Overloaded.
[[nodiscard]] Filter makeAdmissionFilter(std::shared_ptr<ConcurrencyLimiter> limiter);

} // namespace balsamport

#endif
