#include <balsamport/filters/stream_relay.h>

#include <utility>

namespace balsamport {

StreamRelay::StreamRelay(std::shared_ptr<ResponseWriter> writer, std::size_t maxBytes,
                         std::function<void()> onCapacity)
    : writer(std::move(writer))
    , maxBytes(maxBytes)
    , onCapacity(std::move(onCapacity))
{ }

bool StreamRelay::hasCapacity()
{
    const std::scoped_lock lock(this->mutex);
    this->paused = this->buffered >= this->maxBytes;
    return !this->paused;
}

void StreamRelay::write(std::string text)
{
    const std::size_t bytes = text.size();
    {
        const std::scoped_lock lock(this->mutex);
        this->buffered += bytes;
    }
    this->writer->write(std::move(text),
                        [self = this->shared_from_this(), bytes] { self->handleWritten(bytes); });
}

void StreamRelay::onDrained(std::function<void()> callback)
{
    {
        const std::scoped_lock lock(this->mutex);
        if (this->buffered != 0) {
            this->drainedCallback = std::move(callback);
            return;
        }
    }
    callback();
}

std::size_t StreamRelay::bufferedBytes() const
{
    const std::scoped_lock lock(this->mutex);
    return this->buffered;
}

void StreamRelay::handleWritten(std::size_t bytes)
{
    bool resume = false;
    std::function<void()> drained;
    {
        const std::scoped_lock lock(this->mutex);
        this->buffered -= bytes;
        resume = this->paused && this->buffered <= this->maxBytes / 2;
        if (resume) {
            this->paused = false;
        }
        if (this->buffered == 0) {
            drained.swap(this->drainedCallback);
        }
    }
    if (drained) {
        drained();
    }
    if (resume) {
        this->onCapacity();
    }
}

} // namespace balsamport
