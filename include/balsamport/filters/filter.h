#ifndef BALSAMPORT_FILTERS_FILTER_H
#define BALSAMPORT_FILTERS_FILTER_H

#include <balsamport/filters/request_context.h>

#include <functional>
#include <memory>
#include <vector>

namespace balsamport {

/// Continues with the next filter. May be called later and from any thread, at most once.
using Next = std::function<void()>;

/// @brief One stage of request handling: either calls `next`, or sends a response and ends the
/// request.
///
/// A filter never blocks: it starts an asynchronous operation and calls `next` from its callback.
using Filter = std::function<void(const ContextPtr &context, Next next)>;

/// @brief Combines two filters into one that runs them in order.
[[nodiscard]] Filter joinFilters(Filter first, Filter second);

/// @brief Filters that a request passes in order.
///
/// Example: `FilterChain({checkLimits, checkBody}).run(context);`
class FilterChain
{
public:
    explicit FilterChain(std::vector<Filter> filters);

    /// @brief Starts a request at the first filter. The chain may be destroyed before the request
    /// ends.
    void run(const ContextPtr &context) const;

private:
    std::shared_ptr<const std::vector<Filter>> filters;
};

} // namespace balsamport

#endif
