#include <balsamport/core/pause_watch.h>

#include <chrono>

namespace balsamport {

PauseWatch::PauseWatch()
    : lastTick(monotonicNow().count())
    , thread([this] { this->run(); })
{ }

PauseWatch::~PauseWatch()
{
    {
        const std::scoped_lock lock(this->mutex);
        this->stopping = true;
    }
    this->wake.notify_all();
    this->thread.join();
}

bool PauseWatch::wasPausedWithin(Millis time) const noexcept
{
    const std::int64_t now = monotonicNow().count();
    if (now - this->lastTick > longestGap.count()) {
        return true;
    }
    return this->lastWake != 0 && now - this->lastWake < time.count();
}

void PauseWatch::note(Millis now) noexcept
{
    if (now.count() - this->lastTick > longestGap.count()) {
        this->lastWake = now.count();
    }
    this->lastTick = now.count();
}

void PauseWatch::run()
{
    std::unique_lock lock(this->mutex);
    while (!this->stopping) {
        this->wake.wait_for(lock, std::chrono::milliseconds(interval.count()));
        this->note(monotonicNow());
    }
}

} // namespace balsamport
