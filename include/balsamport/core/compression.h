#ifndef BALSAMPORT_CORE_COMPRESSION_H
#define BALSAMPORT_CORE_COMPRESSION_H

#include <balsamport/core/error.h>

#include <cstddef>
#include <string>
#include <string_view>

namespace balsamport {

/// @brief Compresses bytes to a zlib stream at the fastest compression level.
/// @complexity linear in the number of bytes
/// Example: `const std::string packed = compress(text);`
[[nodiscard]] std::string compress(std::string_view bytes);

/// @brief Decompresses a stream of compress().
/// @param size expected size of the result in bytes, as declared by the sender; the result never
/// uses more memory
/// @return MessageInvalid if the stream is damaged or its content has another size
/// Example: `const Result<std::string> text = decompress(packed, 4096);`
[[nodiscard]] Result<std::string> decompress(std::string_view stream, std::size_t size);

} // namespace balsamport

#endif
