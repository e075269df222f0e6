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

/// @brief What a gateway is built from.
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

/// @brief Answers callers: picks the chain or the small answer by path.
class Gateway
{
public:
    explicit Gateway(GatewaySources sources, std::uint32_t maxInProgress = 4'096);

    /// @brief Handles one request; never blocks.
    void handle(const std::shared_ptr<const IncomingRequest> &request,
                const std::shared_ptr<ResponseWriter> &writer);

    /// @brief Answers /health with 503 from now on, and refuses new work from a time on. Until then
    /// requests that the balancer still sends are served.
    /// @param refuseFrom monotonic; later calls do not put it off
    void startDraining(Millis refuseFrom = Millis()) noexcept;
    [[nodiscard]] bool isDraining() const noexcept;

    /// @return requests that are not finished yet
    [[nodiscard]] std::uint32_t requestsInProgress() const;

private:
    void handleRequest(const std::shared_ptr<const IncomingRequest> &request,
                       const std::shared_ptr<ResponseWriter> &writer, Endpoint endpoint);
    [[nodiscard]] bool answerProbe(const IncomingRequest &request, ResponseWriter &writer) const;

    const GatewaySources sources;
    const std::shared_ptr<InProgress> progress;
    const std::shared_ptr<ShardedResponseCache> answers;
    std::atomic<bool> leaving{false};
    std::atomic<std::int64_t> refuseFrom{0}; ///< Counts while `leaving` is set.
    const FilterChain requests; ///< Model requests and plain services.
    const FilterChain models;
    const FilterChain tickets;
};

} // namespace balsamport

#endif
