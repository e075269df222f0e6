#ifndef BALSAMPORT_PROGRAMS_GATEWAY_DAEMON_H
#define BALSAMPORT_PROGRAMS_GATEWAY_DAEMON_H

#include "gateway_settings.h"

#include <memory>

namespace balsamport {

/// @brief Everything that one gateway runs.
class GatewayDaemon
{
public:
    /// @return ListenFailed where the address cannot be bound
    [[nodiscard]] static Result<std::unique_ptr<GatewayDaemon>> start(GatewaySettings settings);
    ~GatewayDaemon();
    GatewayDaemon(const GatewayDaemon &) = delete;
    GatewayDaemon &operator=(const GatewayDaemon &) = delete;

    /// @brief Stops gracefully: /health turns to 503, new work is refused, requests in progress
    /// end.
    /// @return false where some did not end within the limit
    [[nodiscard]] bool drain();

private:
    struct Parts;
    explicit GatewayDaemon(std::unique_ptr<Parts> parts);
    std::unique_ptr<Parts> parts;
};

} // namespace balsamport

#endif
