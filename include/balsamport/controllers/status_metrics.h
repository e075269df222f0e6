#ifndef BALSAMPORT_CONTROLLERS_STATUS_METRICS_H
#define BALSAMPORT_CONTROLLERS_STATUS_METRICS_H

#include <balsamport/config/snapshot.h>
#include <balsamport/core/metrics.h>

#include <balsamport.pb.h>

#include <cstdint>
#include <map>

namespace balsamport {

/// @brief Records a controller's status in the metrics of its gateway, because only gateways are
/// scraped.
///
/// Not thread-safe. A backend server is recorded only where the controller is its effective owner,
/// so that the fleet reports each server once.
class StatusRecorder
{
public:
    explicit StatusRecorder(MetricsRegistry &metrics);

    /// @brief Records one status.
    /// @param snapshot gives the batch widths of the servers
    /// @complexity linear in the number of backend servers
    void record(const wire::StatusReply &status, const Snapshot &snapshot);

private:
    void addIncrease(Counter &counter, std::uint64_t value);
    void recordServer(const wire::ServerStatus &server, const Snapshot &snapshot);

    MetricsRegistry &metrics;
    std::map<const Counter *, std::uint64_t> lastValues; ///< From the controller's last status.
};

} // namespace balsamport

#endif
