#include <balsamport/filters/filter.h>

#include <utility>

namespace balsamport {

namespace {

using Filters = std::shared_ptr<const std::vector<Filter>>;

void runFrom(const Filters &filters, std::size_t index, const ContextPtr &context)
{
    if (index == filters->size()) {
        return;
    }
    (*filters)[index](context, [filters, index, context] { runFrom(filters, index + 1, context); });
}

} // namespace

Filter joinFilters(Filter first, Filter second)
{
    return [first = std::move(first), second = std::move(second)](const ContextPtr &context,
                                                                  Next next) {
        first(context, [second, context, next = std::move(next)] { second(context, next); });
    };
}

FilterChain::FilterChain(std::vector<Filter> filters)
    : filters(std::make_shared<const std::vector<Filter>>(std::move(filters)))
{ }

void FilterChain::run(const ContextPtr &context) const
{
    runFrom(this->filters, 0, context);
}

} // namespace balsamport
