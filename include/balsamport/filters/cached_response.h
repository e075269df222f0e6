#ifndef BALSAMPORT_FILTERS_CACHED_RESPONSE_H
#define BALSAMPORT_FILTERS_CACHED_RESPONSE_H

#include <balsamport/filters/request_context.h>

#include <functional>
#include <optional>
#include <string>

namespace balsamport {

/// @return true where another gateway requests a response that this one may have cached
[[nodiscard]] bool isCachedResponseQuery(const IncomingRequest &request);

/// @brief Requests the first response to a key from the gateway that won the key. That gateway
/// runs nothing for the query.
/// @param address IP:PORT of that gateway
/// @param callback receives the response; nothing where that gateway does not have it
void fetchCachedResponse(const ContextPtr &context, const BackendClient &backend,
                         const std::string &address,
                         std::function<void(std::optional<HttpResponse>)> callback);

} // namespace balsamport

#endif
