#include <balsamport/filters/timer_thread.h>

#include <asio.hpp>

#include <thread>
#include <utility>

namespace balsamport {

struct TimerThread::Loop
{
    asio::io_context context{1};
    asio::executor_work_guard<asio::io_context::executor_type> work
            = asio::make_work_guard(this->context);
    std::thread thread;
};

TimerThread::TimerThread()
    : loop(std::make_unique<Loop>())
{
    this->loop->thread = std::thread([raw = this->loop.get()] { raw->context.run(); });
}

TimerThread::~TimerThread()
{
    this->stop();
}

void TimerThread::stop()
{
    this->loop->context.stop();
    if (this->loop->thread.joinable()) {
        this->loop->thread.join();
    }
}

void TimerThread::after(Millis delay, std::function<void()> task)
{
    auto timer = std::make_shared<asio::steady_timer>(this->loop->context,
                                                      std::chrono::milliseconds(delay.count()));
    timer->async_wait([timer, ownTask = std::move(task)](const asio::error_code &error) {
        if (!error) {
            ownTask();
        }
    });
}

void TimerThread::every(Millis interval, std::function<void()> task)
{
    this->after(interval, [this, interval, ownTask = std::move(task)]() mutable {
        ownTask();
        this->every(interval, std::move(ownTask));
    });
}

} // namespace balsamport
