#ifndef BALSAMPORT_CORE_COMPRESSION_H
#define BALSAMPORT_CORE_COMPRESSION_H

#include <balsamport/core/error.h>

#include <cstddef>
#include <string>
#include <string_view>

namespace balsamport {

/// @brief Compresses bytes as a zlib stream, fast rather than small.
/// @complexity linear in the bytes
/// Example: `const std::string packed = compress(text);`
[[nodiscard]] std::string compress(std::string_view bytes);

/// @brief Restores what compress() made.
/// @param size of the result, as its sender says; no more memory than that is used
/// @return MessageInvalid where the stream is damaged, or its content has another size
/// Example: `const Result<std::string> text = decompress(packed, 4096);`
[[nodiscard]] Result<std::string> decompress(std::string_view stream, std::size_t size);

} // namespace balsamport

#endif
