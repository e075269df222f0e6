#ifndef BALSAMPORT_EDGE_ENTRY_PRECEDENCE_H
#define BALSAMPORT_EDGE_ENTRY_PRECEDENCE_H

#include <balsamport/edge/dialect.h>
#include <balsamport/edge/published.h>

#include <functional>

namespace balsamport {

/// @brief Decides by their content which of two entries is in force after the store returned from a
/// copy that lacks confirmed changes.
///
/// Configurations and adapter declarations never give way to an older version or to one that cannot
/// be parsed. A server's deletion, its draining and its restart stay in force until the server is
/// written again; a server that the copy lacks is deleted.
/// @param readEntry parses an entry, as Dialect::readEntry does
[[nodiscard]] StaysInForce
entryPrecedence(std::function<Result<EntryContent>(const PublishedEntry &)> readEntry);

} // namespace balsamport

#endif
