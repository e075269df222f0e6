#ifndef BALSAMPORT_HTTP_REQUEST_CHECK_H
#define BALSAMPORT_HTTP_REQUEST_CHECK_H

#include <balsamport/core/error.h>
#include <balsamport/http/http_server.h>

namespace balsamport {

/// @brief Checks what the server's parser accepts although RFC 9110 and RFC 9112 don't.
///
/// A backend server may read such a head otherwise than the daemon did, and see the end of the
/// request, or its host, elsewhere.
/// @return InvalidRequest for the request target, InvalidHeader for a field
/// @complexity linear in the length of the head
[[nodiscard]] Result<void> checkRequestHead(const IncomingRequest &request);

} // namespace balsamport

#endif
