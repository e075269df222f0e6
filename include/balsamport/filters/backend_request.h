#ifndef BALSAMPORT_FILTERS_BACKEND_REQUEST_H
#define BALSAMPORT_FILTERS_BACKEND_REQUEST_H

#include <balsamport/filters/request_context.h>
#include <balsamport/http/http_client.h>

#include <cstdint>

namespace balsamport {

/// @brief Builds the request that is sent to the backend server of the current placement.
///
/// The model is replaced by the resolved adapter version. The caller's key for the gateway and the
/// headers that belong to one connection are left out.
/// @param now monotonic
[[nodiscard]] OutgoingRequest backendRequestOf(const RequestContext &context, Millis now);

/// @brief Builds the request that continues a broken stream.
/// @param chunksReceived chunks received so far; at least one
/// @param now monotonic
[[nodiscard]] OutgoingRequest resumeRequestOf(const RequestContext &context,
                                              std::uint64_t chunksReceived, Millis now);

/// @brief Builds the request that cancels a request on an engine, for example because its caller
/// has disconnected.
[[nodiscard]] OutgoingRequest cancelRequestOf(const RequestContext &context);

/// @brief Selects the headers of a backend server's response that are passed on to the caller.
[[nodiscard]] HttpHeaders callerHeadersOf(const HttpHeaders &backendHeaders);

} // namespace balsamport

#endif
