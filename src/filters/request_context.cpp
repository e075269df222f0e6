#include <balsamport/filters/request_context.h>

#include <utility>

namespace balsamport {

RequestContext::RequestContext(std::shared_ptr<const IncomingRequest> request,
                               std::shared_ptr<ResponseWriter> writer, SnapshotPtr snapshot,
                               Endpoint endpoint, Millis arrived)
    : request(std::move(request))
    , writer(std::move(writer))
    , snapshot(std::move(snapshot))
    , endpoint(endpoint)
    , arrived(arrived)
{ }

RequestContext::~RequestContext()
{
    this->end();
}

void RequestContext::onEnd(std::function<void()> finisher)
{
    {
        const std::scoped_lock lock(this->mutex);
        if (!this->ended) {
            this->finishers.push_back(std::move(finisher));
            return;
        }
    }
    finisher();
}

bool RequestContext::claimAnswer() noexcept
{
    return !this->answered.exchange(true);
}

void RequestContext::end()
{
    std::vector<std::function<void()>> todo;
    {
        const std::scoped_lock lock(this->mutex);
        this->ended = true;
        todo.swap(this->finishers);
    }
    while (!todo.empty()) {
        todo.back()();
        todo.pop_back();
    }
}

} // namespace balsamport
