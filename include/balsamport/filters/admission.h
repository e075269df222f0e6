#ifndef BALSAMPORT_FILTERS_ADMISSION_H
#define BALSAMPORT_FILTERS_ADMISSION_H

#include <balsamport/filters/filter.h>

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>

namespace balsamport {

/// @brief Counts the requests in progress and bounds them, with a fair share for each class.
///
/// A class may use the whole bound while others are idle, but above its own share it must leave
/// the last quarter of the bound to the classes that are below theirs.
class InProgress
{
public:
    explicit InProgress(std::uint32_t limit) noexcept;

    /// @brief Lets a request in, or refuses it.
    /// @param callerClass class of the caller
    /// @param totalWeight sum of the weights of all classes, at least the class's own
    /// @return false where the bound is reached
    [[nodiscard]] bool tryEnter(const CallerClassConfig &callerClass, std::uint64_t totalWeight);
    void leave(const CallerClassId &callerClass);
    [[nodiscard]] std::uint32_t count() const;

private:
    const std::uint32_t limit;
    mutable std::mutex mutex;
    std::uint32_t total = 0;
    std::map<CallerClassId, std::uint32_t> byClass;
};

/// @brief Sets the priority and lets a request in, or refuses it early with Overloaded.
[[nodiscard]] Filter makeAdmissionFilter(std::shared_ptr<InProgress> inProgress);

} // namespace balsamport

#endif
