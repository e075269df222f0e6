#ifndef BALSAMPORT_FILTERS_FILTER_H
#define BALSAMPORT_FILTERS_FILTER_H

#include <balsamport/filters/request_context.h>

#include <functional>
#include <memory>
#include <vector>

namespace balsamport {

/// Goes on with the next filter. May be called later and from any thread, at most once.
using Next = std::function<void()>;

/// @brief One step of a request's way. Either calls `next`, or answers and ends the request.
///
/// A filter never blocks: it starts what it waits for and calls `next` from the callback.
using Filter = std::function<void(const ContextPtr &context, Next next)>;

/// @brief Makes one filter of two.
[[nodiscard]] Filter joinFilters(Filter first, Filter second);

/// @brief Filters in their order.
///
/// Example: `FilterChain({checkLimits, checkBody}).run(context);`
class FilterChain
{
public:
    explicit FilterChain(std::vector<Filter> filters);

    /// @brief Starts a request at the first filter. The chain may be destroyed before its end.
    void run(const ContextPtr &context) const;

private:
    std::shared_ptr<const std::vector<Filter>> filters;
};

} // namespace balsamport

#endif
