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

void StreamRelay::whenDrained(std::function<void()> callback)
{
    {
        const std::scoped_lock lock(this->mutex);
        if (this->waiting != 0) {
            this->onDrained = std::move(callback);
            return;
        }
    }
    callback();
}

std::size_t StreamRelay::waitingBytes() const
{
    const std::scoped_lock lock(this->mutex);
    return this->waiting;
}

void StreamRelay::written(std::size_t bytes)
{
    bool wake = false;
    std::function<void()> drained;
    {
        const std::scoped_lock lock(this->mutex);
        this->waiting -= bytes;
        wake = this->paused && this->waiting <= this->maxBytes / 2;
        if (wake) {
            this->paused = false;
        }
        if (this->waiting == 0) {
            drained.swap(this->onDrained);
        }
    }
    if (drained) {
        drained();
    }
    if (wake) {
        this->onRoom();
    }
}

} // namespace balsamport
