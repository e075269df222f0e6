#ifndef BALSAMPORT_CONTROLLERS_ENGINE_CLIENT_H
#define BALSAMPORT_CONTROLLERS_ENGINE_CLIENT_H

#include <balsamport/controllers/engine_operations.h>
#include <balsamport/http/http_client.h>

#include <string_view>

namespace balsamport {

/// @brief Gives orders to engines and reads their load over HTTP.
///
/// A load names its deadline and fencing number. With a victim, the load is sent only after the
/// engine has confirmed the unload.
/// @param client must live longer than the functions that are returned and their callbacks
/// Example: `GrantController controller(options, engineOperationsOver(client), peers);`
[[nodiscard]] EngineOperations engineOperationsOver(HttpClient &client);

/// @brief Reads an engine's load report.
/// @param body JSON of GET /v1/load
/// @param sent when it was asked for; the report's own age is taken off
/// @return BadResponse where it is not such a report
[[nodiscard]] Result<EngineLoadReport> parseLoadReport(std::string_view body, Millis sent);

/// @brief Reads the written form `base/adapter@version`.
/// @return InvalidRequest where it is none
[[nodiscard]] Result<AdapterRef> parseAdapterRef(std::string_view text);

} // namespace balsamport

#endif
