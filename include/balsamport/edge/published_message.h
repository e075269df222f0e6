#ifndef BALSAMPORT_EDGE_PUBLISHED_MESSAGE_H
#define BALSAMPORT_EDGE_PUBLISHED_MESSAGE_H

#include <balsamport/core/error.h>
#include <balsamport/edge/published.h>

#include <balsamport.pb.h>

#include <vector>

namespace balsamport {

/// @brief Encodes entries for a peer. Large messages are compressed, because an uncompressed
/// configuration of 2,000 routes would delay the gossip behind it for seconds on a slow link.
/// Example: `*message.mutable_published_items() = encodeEntries(changed);`
[[nodiscard]] wire::PublishedItems encodeEntries(const std::vector<PublishedEntry> &entries);

/// @brief Encodes an update for a peer.
[[nodiscard]] wire::PublishedItems encodeUpdate(const PublishedUpdate &update);

/// @brief Decodes a peer's update.
/// @return MessageInvalid as decodeEntries() does
[[nodiscard]] Result<PublishedUpdate> decodeUpdate(const wire::PublishedItems &items);

/// @brief Decodes the entries of a peer's message.
/// @return MessageInvalid if the compressed data is damaged or its content would exceed 16 MiB
[[nodiscard]] Result<std::vector<PublishedEntry>> decodeEntries(const wire::PublishedItems &items);

} // namespace balsamport

#endif
