#ifndef BALSAMPORT_CONTROLLERS_ENGINE_OPERATIONS_H
#define BALSAMPORT_CONTROLLERS_ENGINE_OPERATIONS_H

#include <balsamport/core/error.h>
#include <balsamport/policy/grant_scheduler.h>

#include <functional>
#include <optional>
#include <string>

namespace balsamport {

/// @brief An order to an engine to load an adapter, after unloading another where there is one.
struct AdapterLoadCommand
{
    BackendServerId backendServer;
    std::string address; ///< IP:PORT
    AdapterRef adapter;
    std::optional<AdapterRef> evictionCandidate;
    FencingNumber fencing;
    Millis deadline; ///< Monotonic; the engine must have ended by then.
    Millis sendBefore; ///< Monotonic; not sent at or after it.

    bool operator==(const AdapterLoadCommand &) const = default;
};

/// @brief What a controller does with engines. Functions return at once; the callbacks come on
/// another thread, each exactly once.
struct EngineOperations
{
    std::function<void(const AdapterLoadCommand &order, std::function<void(LoadOutcome)> done)>
            load;
    std::function<void(const std::string &address,
                       std::function<void(Result<EngineLoadReport>)> done)>
            report;
};

} // namespace balsamport

#endif
