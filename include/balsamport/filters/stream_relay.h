#ifndef BALSAMPORT_FILTERS_STREAM_RELAY_H
#define BALSAMPORT_FILTERS_STREAM_RELAY_H

#include <balsamport/http/http_server.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <mutex>
#include <string>

namespace balsamport {

/// @brief Passes a stream on to a caller and bounds what waits for a slow one.
///
/// The sender asks hasRoom() before it takes more from the backend server; where there is none,
/// `onRoom` is called once half of the buffer is free again. May be used from any thread.
class StreamRelay : public std::enable_shared_from_this<StreamRelay>
{
public:
    /// @param maxBytes bound of the bytes that wait for the caller
    /// @param onRoom called without a lock held
    StreamRelay(std::shared_ptr<ResponseWriter> writer, std::size_t maxBytes,
                std::function<void()> onRoom);

    /// @return false where the sender must pause until `onRoom`
    [[nodiscard]] bool hasRoom();

    /// @brief Sends text to the caller.
    void write(std::string text);

    /// @brief Calls back once nothing waits for the caller any more; at once where nothing does.
    void whenDrained(std::function<void()> callback);

    /// @return bytes that wait for the caller
    [[nodiscard]] std::size_t waitingBytes() const;

private:
    void written(std::size_t bytes);

    const std::shared_ptr<ResponseWriter> writer;
    const std::size_t maxBytes;
    const std::function<void()> onRoom;
    mutable std::mutex mutex;
    std::size_t waiting = 0;
    bool paused = false;
    std::function<void()> onDrained;
};

} // namespace balsamport

#endif
