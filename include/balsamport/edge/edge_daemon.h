#ifndef BALSAMPORT_EDGE_EDGE_DAEMON_H
#define BALSAMPORT_EDGE_EDGE_DAEMON_H

#include <balsamport/core/error.h>
#include <balsamport/core/event_log.h>
#include <balsamport/edge/dialect.h>
#include <balsamport/edge/edge_settings.h>

#include <functional>
#include <memory>

namespace balsamport {

/// @brief The daemon of an entry VM: serves callers, owns engines, and exchanges gossip with its
/// peers.
class EdgeDaemon
{
public:
    /// @brief Opens all listening sockets.
    /// @param reload reads the settings file again on SIGHUP; a failure is logged and the current
    /// settings stay in force
    /// @return ListenFailed if an address cannot be bound
    [[nodiscard]] static Result<std::unique_ptr<EdgeDaemon>>
    start(EdgeSettings settings, Dialect dialect, EventLog &log,
          std::function<Result<EdgeSettings>()> reload);
    ~EdgeDaemon();
    EdgeDaemon(const EdgeDaemon &) = delete;
    EdgeDaemon &operator=(const EdgeDaemon &) = delete;

    /// @brief Runs until a stop signal has arrived and the requests in progress have ended.
    void run();

private:
    struct Impl;
    explicit EdgeDaemon(std::unique_ptr<Impl> impl);
    std::unique_ptr<Impl> impl;
};

} // namespace balsamport

#endif
