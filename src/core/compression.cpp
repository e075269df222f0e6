#include <balsamport/core/compression.h>

#include <zlib.h>

#include <new>

namespace balsamport {

std::string compress(std::string_view bytes)
{
    uLongf size = compressBound(static_cast<uLong>(bytes.size()));
    std::string stream(size, '\0');
    // With a buffer of compressBound() bytes, compress2() fails only if it is out of memory.
    const int status = compress2(reinterpret_cast<Bytef *>(stream.data()), &size,
                                 reinterpret_cast<const Bytef *>(bytes.data()),
                                 static_cast<uLong>(bytes.size()), Z_BEST_SPEED);
    if (status != Z_OK) {
        throw std::bad_alloc();
    }
    stream.resize(size);
    return stream;
}

Result<std::string> decompress(std::string_view stream, std::size_t size)
{
    std::string bytes(size, '\0');
    auto written = static_cast<uLongf>(size);
    const int status = uncompress(reinterpret_cast<Bytef *>(bytes.data()), &written,
                                  reinterpret_cast<const Bytef *>(stream.data()),
                                  static_cast<uLong>(stream.size()));
    if (status != Z_OK || written != size) {
        return Error{ErrorCode::MessageInvalid,
                     "a compressed stream is damaged or has an unexpected size"};
    }
    return bytes;
}

} // namespace balsamport
