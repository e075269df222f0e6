#ifndef BALSAMPORT_STANDINS_DELAYED_TASKS_H
#define BALSAMPORT_STANDINS_DELAYED_TASKS_H

#include <balsamport/core/clock.h>

#include <asio.hpp>

#include <functional>
#include <memory>
#include <thread>

namespace balsamport::standins {

/// @brief Runs functions after a delay, on one thread of its own.
class DelayedTasks
{
public:
    DelayedTasks()
        : work(asio::make_work_guard(this->context))
        , thread([this] { this->context.run(); })
    { }
    ~DelayedTasks()
    {
        this->context.stop();
        this->thread.join();
    }
    DelayedTasks(const DelayedTasks &) = delete;
    DelayedTasks &operator=(const DelayedTasks &) = delete;

    /// @brief Runs a function once after a delay, unless the object is destroyed before.
    void after(Millis delay, std::function<void()> task)
    {
        auto timer = std::make_shared<asio::steady_timer>(this->context,
                                                          std::chrono::milliseconds(delay.count()));
        timer->async_wait([timer, callback = std::move(task)](const asio::error_code &error) {
            if (!error) {
                callback();
            }
        });
    }

private:
    asio::io_context context{1};
    asio::executor_work_guard<asio::io_context::executor_type> work;
    std::thread thread;
};

} // namespace balsamport::standins

#endif
