#ifndef BALSAMPORT_FILTERS_BACKEND_REQUEST_H
#define BALSAMPORT_FILTERS_BACKEND_REQUEST_H

#include <balsamport/filters/request_context.h>
#include <balsamport/http/http_client.h>

#include <cstdint>

namespace balsamport {

/// @brief Builds the request that the backend server of the held placement gets.
///
/// The model is replaced by the resolved adapter version; the caller's key for the gateway and
/// headers that belong to one connection are left out.
[[nodiscard]] OutgoingRequest backendRequestOf(const RequestContext &context, Millis now);

/// @brief Builds the request that continues a broken stream.
/// @param chunksReceived chunks that have come in so far; at least one
[[nodiscard]] OutgoingRequest resumeRequestOf(const RequestContext &context,
                                              std::uint64_t chunksReceived, Millis now);

/// @brief Builds the request that ends a request on an engine whose caller has gone.
[[nodiscard]] OutgoingRequest cancelRequestOf(const RequestContext &context);

/// @brief Keeps the headers of a backend server's answer that the caller gets.
[[nodiscard]] HttpHeaders callerHeadersOf(const HttpHeaders &backendHeaders);

} // namespace balsamport

#endif
