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

void RequestContext::onEnd(std::function<void()> callback)
{
    {
        const std::scoped_lock lock(this->mutex);
        if (!this->ended) {
            this->endCallbacks.push_back(std::move(callback));
            return;
        }
    }
    callback();
}

bool RequestContext::claimResponse() noexcept
{
    return !this->responseClaimed.exchange(true);
}

void RequestContext::end()
{
    std::vector<std::function<void()>> callbacks;
    {
        const std::scoped_lock lock(this->mutex);
        this->ended = true;
        callbacks.swap(this->endCallbacks);
    }
    while (!callbacks.empty()) {
        callbacks.back()();
        callbacks.pop_back();
    }
}

} // namespace balsamport
