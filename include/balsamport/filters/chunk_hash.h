#ifndef BALSAMPORT_FILTERS_CHUNK_HASH_H
#define BALSAMPORT_FILTERS_CHUNK_HASH_H

#include <balsamport/core/error.h>

#include <cstdint>
#include <string_view>

namespace balsamport {

/// @brief Hashes the generated text of one chunk of a streamed response.
///
/// Ids and times differ between backend servers; the generated text must not.
/// @param data a JSON chunk of the OpenAI API
/// @return the hash of all members "content" and "text"; BadResponse where the data is not JSON
/// @complexity linear in the chunk
[[nodiscard]] Result<std::uint64_t> hashChunkText(std::string_view data);

} // namespace balsamport

#endif
