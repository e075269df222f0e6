#include <balsamport/core/compression.h>

#include <zlib.h>

#include <new>

namespace balsamport {

std::string compress(std::string_view bytes)
{
    uLongf size = compressBound(static_cast<uLong>(bytes.size()));
    std::string stream(size, '\0');
    // With a destination of the bound's size this cannot fail but for lack of memory.
    const int outcome = compress2(reinterpret_cast<Bytef *>(stream.data()), &size,
                                  reinterpret_cast<const Bytef *>(bytes.data()),
                                  static_cast<uLong>(bytes.size()), Z_BEST_SPEED);
    if (outcome != Z_OK) {
        throw std::bad_alloc();
    }
    stream.resize(size);
    return stream;
}

Result<std::string> decompress(std::string_view stream, std::size_t size)
{
    std::string bytes(size, '\0');
    auto written = static_cast<uLongf>(size);
    const int outcome = uncompress(reinterpret_cast<Bytef *>(bytes.data()), &written,
                                   reinterpret_cast<const Bytef *>(stream.data()),
                                   static_cast<uLong>(stream.size()));
    if (outcome != Z_OK || written != size) {
        return Error{ErrorCode::MessageInvalid, "a compressed stream is damaged"};
    }
    return bytes;
}

} // namespace balsamport
