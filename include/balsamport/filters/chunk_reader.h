#ifndef BALSAMPORT_FILTERS_CHUNK_READER_H
#define BALSAMPORT_FILTERS_CHUNK_READER_H

#include <balsamport/core/error.h>

#include <cstdint>
#include <string_view>

namespace balsamport {

/// @brief Hashes the generated text of one chunk of an answer.
///
/// Ids and times differ from one backend server to another; the text must not.
/// @param data a JSON chunk in OpenAI's form
/// @return the hash of all members "content" and "text"; BadResponse for what is not JSON
/// @complexity linear in the chunk
[[nodiscard]] Result<std::uint64_t> hashChunkText(std::string_view data);

} // namespace balsamport

#endif
