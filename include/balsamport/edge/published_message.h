#ifndef BALSAMPORT_EDGE_PUBLISHED_MESSAGE_H
#define BALSAMPORT_EDGE_PUBLISHED_MESSAGE_H

#include <balsamport/core/error.h>
#include <balsamport/edge/published.h>

#include <balsamport.pb.h>

#include <vector>

namespace balsamport {

/// @brief Writes entries for a peer; many or long ones as a compressed stream, because a
/// configuration of 2,000 routes would hold up the gossip behind it for seconds on a small link.
/// Example: `*message.mutable_published_items() = encodeEntries(changed);`
[[nodiscard]] wire::PublishedItems encodeEntries(const std::vector<PublishedEntry> &entries);

/// @brief Reads the entries of a peer's message.
/// @return MessageInvalid where its stream is damaged, or would become longer than entries may be
[[nodiscard]] Result<std::vector<PublishedEntry>> decodeEntries(const wire::PublishedItems &items);

} // namespace balsamport

#endif
