#ifndef BALSAMPORT_CONTROLLERS_STATUS_METRICS_H
#define BALSAMPORT_CONTROLLERS_STATUS_METRICS_H

#include <balsamport/config/snapshot.h>
#include <balsamport/core/metrics.h>

#include <balsamport.pb.h>

#include <cstdint>
#include <map>

namespace balsamport {

/// @brief Takes a controller's state over into metrics, because only gateways are scraped.
///
/// For one thread. Backend servers are recorded only where the controller is their effective owner,
/// so that each is seen once in the fleet.
class StatusRecorder
{
public:
    explicit StatusRecorder(MetricsRegistry &metrics);

    /// @param snapshot for the widths of batches
    /// @complexity linear in the number of backend servers
    void record(const wire::StatusReply &status, const Snapshot &snapshot);

private:
    void raise(Counter &counter, std::uint64_t value);
    void recordServer(const wire::ServerStatus &server, const Snapshot &snapshot);

    MetricsRegistry &metrics;
    std::map<const Counter *, std::uint64_t> lastSeen; ///< Values of the controller's counters.
};

} // namespace balsamport

#endif
