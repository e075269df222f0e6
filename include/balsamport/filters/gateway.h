#ifndef BALSAMPORT_FILTERS_GATEWAY_H
#define BALSAMPORT_FILTERS_GATEWAY_H

#include <balsamport/filters/admission.h>
#include <balsamport/filters/dispatch.h>
#include <balsamport/filters/filter.h>
#include <balsamport/filters/sharded_response_cache.h>
#include <balsamport/filters/sources.h>

#include <atomic>
#include <functional>
#include <memory>
#include <string>

namespace balsamport {

/// @brief Dependencies of a gateway.
struct GatewaySources
{
    SnapshotSource snapshot;
    GrantSource grants;
    ClaimSource claims;
    BackendClient backend;
    std::shared_ptr<RetryTracker> retries;
    SuspectSource suspects;
    TimerSource timer;
    std::function<std::string()> metrics; ///< Prometheus text.
};

/// @brief Handles the requests of callers: selects the filter chain by path, and responds to health
/// checks and metrics queries itself.
class Gateway
{
public:
    explicit Gateway(GatewaySources sources, std::uint32_t maxInProgress = 4'096);

    /// @brief Handles one request; never blocks.
    void handle(const std::shared_ptr<const IncomingRequest> &request,
                const std::shared_ptr<ResponseWriter> &writer);

    /// @brief Responds to /health with 503 from this call on, and refuses new requests from
    /// `refuseFrom` on. Requests that the load balancer still sends until then are served.
    /// @param refuseFrom monotonic; a later call can bring this time forward but not postpone it
    void startDraining(Millis refuseFrom = Millis()) noexcept;
    [[nodiscard]] bool isDraining() const noexcept;

    /// @return the number of requests that have not ended yet
    [[nodiscard]] std::uint32_t requestsInProgress() const;

private:
    void handleRequest(const std::shared_ptr<const IncomingRequest> &request,
                       const std::shared_ptr<ResponseWriter> &writer, Endpoint endpoint);
    [[nodiscard]] bool handleProbe(const IncomingRequest &request, ResponseWriter &writer) const;

    const GatewaySources sources;
    const std::shared_ptr<ConcurrencyLimiter> limiter;
    const std::shared_ptr<ShardedResponseCache> responseCache;
    std::atomic<bool> draining{false};
    std::atomic<std::int64_t> refuseFromMs{0}; ///< Monotonic; valid only while draining.
    const FilterChain requests; ///< Model requests and plain services.
    const FilterChain models;
    const FilterChain tickets;
};

} // namespace balsamport

#endif
