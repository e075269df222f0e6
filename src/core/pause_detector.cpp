#include <balsamport/core/pause_detector.h>

#include <chrono>

namespace balsamport {

PauseDetector::PauseDetector()
    : lastTickAt(monotonicNow().count())
    , thread([this] { this->run(); })
{ }

PauseDetector::~PauseDetector()
{
    {
        const std::scoped_lock lock(this->mutex);
        this->stopping = true;
    }
    this->stopSignalled.notify_all();
    this->thread.join();
}

bool PauseDetector::wasPausedWithin(Millis period) const noexcept
{
    const std::int64_t now = monotonicNow().count();
    if (now - this->lastTickAt > pauseThreshold.count()) {
        return true;
    }
    return this->lastPauseEndedAt != 0 && now - this->lastPauseEndedAt < period.count();
}

void PauseDetector::recordTick(Millis now) noexcept
{
    if (now.count() - this->lastTickAt > pauseThreshold.count()) {
        this->lastPauseEndedAt = now.count();
    }
    this->lastTickAt = now.count();
}

void PauseDetector::run()
{
    std::unique_lock lock(this->mutex);
    while (!this->stopping) {
        this->stopSignalled.wait_for(lock, std::chrono::milliseconds(tickInterval.count()));
        this->recordTick(monotonicNow());
    }
}

} // namespace balsamport
