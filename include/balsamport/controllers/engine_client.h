#ifndef BALSAMPORT_CONTROLLERS_ENGINE_CLIENT_H
#define BALSAMPORT_CONTROLLERS_ENGINE_CLIENT_H

#include <balsamport/controllers/engine_operations.h>
#include <balsamport/http/http_client.h>

#include <string_view>

namespace balsamport {

/// @brief Creates operations that send commands to engines and read their load over HTTP.
///
/// A load carries its deadline and fencing number. With an eviction candidate, the load is sent
/// only after the engine has confirmed the unload.
/// @param client must outlive the returned functions and their callbacks
/// Example: `GrantController controller(self, engineOperationsOver(client), peers);`
[[nodiscard]] EngineOperations engineOperationsOver(HttpClient &client);

/// @brief Parses an engine's load report.
/// @param body JSON of GET /v1/load
/// @param sent monotonic time of the request; the age that the report states is subtracted
/// @return BadResponse where the body is not a load report
[[nodiscard]] Result<EngineLoadReport> parseLoadReport(std::string_view body, Millis sent);

/// @brief Parses the form `base/adapter@version`.
/// @return InvalidRequest where the text has another form
[[nodiscard]] Result<AdapterRef> parseAdapterRef(std::string_view text);

} // namespace balsamport

#endif
