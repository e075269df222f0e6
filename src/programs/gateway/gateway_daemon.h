#ifndef BALSAMPORT_PROGRAMS_GATEWAY_DAEMON_H
#define BALSAMPORT_PROGRAMS_GATEWAY_DAEMON_H

#include "gateway_settings.h"

#include <memory>

namespace balsamport {

/// @brief The HTTP server, the filters and the clients of one gateway.
class GatewayDaemon
{
public:
    /// @return the daemon, ListenFailed where the address cannot be bound, or an error of the key
    /// files
    [[nodiscard]] static Result<std::unique_ptr<GatewayDaemon>> start(GatewaySettings settings);
    ~GatewayDaemon();
    GatewayDaemon(const GatewayDaemon &) = delete;
    GatewayDaemon &operator=(const GatewayDaemon &) = delete;

    /// @brief Drains the gateway: /health responds with 503, new requests are refused, and requests
    /// in progress finish.
    /// @return false where some did not finish within GatewaySettings::drainTimeout
    [[nodiscard]] bool drain();

private:
    struct Parts;
    explicit GatewayDaemon(std::unique_ptr<Parts> parts);
    std::unique_ptr<Parts> parts;
};

} // namespace balsamport

#endif
