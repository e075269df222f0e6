#ifndef BALSAMPORT_CONTROLLERS_ENGINE_OPERATIONS_H
#define BALSAMPORT_CONTROLLERS_ENGINE_OPERATIONS_H

#include <balsamport/core/error.h>
#include <balsamport/policy/grant_scheduler.h>

#include <functional>
#include <optional>
#include <string>

namespace balsamport {

/// @brief A command to an engine to load an adapter, after unloading an eviction candidate where
/// there is one.
struct AdapterLoadCommand
{
    BackendServerId backendServer;
    std::string address; ///< IP:PORT
    AdapterRef adapter;
    std::optional<AdapterRef> evictionCandidate;
    FencingNumber fencing;
    Millis deadline; ///< Monotonic; the engine must have completed the load by then.
    Millis sendBefore; ///< Monotonic; the command is not sent at or after this time.

    bool operator==(const AdapterLoadCommand &) const = default;
};

/// @brief The operations of a controller on engines. The functions return without waiting; each
/// callback is called exactly once, on another thread.
struct EngineOperations
{
    std::function<void(const AdapterLoadCommand &command, std::function<void(LoadOutcome)> done)>
            load;
    std::function<void(const std::string &address,
                       std::function<void(Result<EngineLoadReport>)> done)>
            report;
};

} // namespace balsamport

#endif
