#ifndef BALSAMPORT_FILTERS_STREAM_RELAY_H
#define BALSAMPORT_FILTERS_STREAM_RELAY_H

#include <balsamport/http/http_server.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>

namespace balsamport {

/// @brief Relays a stream to a caller, with backpressure: limits the bytes that are buffered for a
/// slow caller.
///
/// The sender checks hasCapacity() before it accepts more from the backend server. Where there is
/// no capacity, `onCapacity` is called once half of the buffer is free again. May be used from any
/// thread.
class StreamRelay : public std::enable_shared_from_this<StreamRelay>
{
public:
    /// @param maxBytes limit of the bytes that are buffered for the caller
    /// @param onCapacity called without a lock held
    StreamRelay(std::shared_ptr<ResponseWriter> writer, std::size_t maxBytes,
                std::function<void()> onCapacity);

    /// @return false where the sender must pause until `onCapacity` is called
    [[nodiscard]] bool hasCapacity();

    /// @brief Sends text to the caller.
    void write(std::string text);

    /// @brief Calls `callback` once nothing is buffered any more; immediately where nothing is.
    void onDrained(std::function<void()> callback);

    /// @return bytes that are buffered for the caller
    [[nodiscard]] std::size_t bufferedBytes() const;

private:
    void handleWritten(std::size_t bytes);

    const std::shared_ptr<ResponseWriter> writer;
    const std::size_t maxBytes;
    const std::function<void()> onCapacity;
    mutable std::mutex mutex;
    std::size_t buffered = 0; ///< Bytes; guarded by mutex.
    bool paused = false; ///< Guarded by mutex.
    std::function<void()> drainedCallback; ///< Guarded by mutex.
};

} // namespace balsamport

#endif
