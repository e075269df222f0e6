#include <balsamport/filters/stream_relay.h>

#include <utility>

namespace balsamport {

StreamRelay::StreamRelay(std::shared_ptr<ResponseWriter> writer, std::size_t maxBytes,
                         std::function<void()> onRoom)
    : writer(std::move(writer))
    , maxBytes(maxBytes)
    , onRoom(std::move(onRoom))
{ }

bool StreamRelay::hasRoom()
{
    const std::scoped_lock lock(this->mutex);
    this->paused = this->waiting >= this->maxBytes;
    return !this->paused;
}

void StreamRelay::write(std::string text)
{
    const std::size_t bytes = text.size();
    {
        const std::scoped_lock lock(this->mutex);
        this->waiting += bytes;
    }
    this->writer->write(std::move(text),
                        [self = this->shared_from_this(), bytes] { self->written(bytes); });
}

std::size_t StreamRelay::waitingBytes() const
{
    const std::scoped_lock lock(this->mutex);
    return this->waiting;
}

void StreamRelay::written(std::size_t bytes)
{
    bool wake = false;
    {
        const std::scoped_lock lock(this->mutex);
        this->waiting -= bytes;
        wake = this->paused && this->waiting <= this->maxBytes / 2;
        if (wake) {
            this->paused = false;
        }
    }
    if (wake) {
        this->onRoom();
    }
}

} // namespace balsamport
