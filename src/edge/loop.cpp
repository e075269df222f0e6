#include <balsamport/edge/loop.h>

#include <asio.hpp>

#include <algorithm>
#include <csignal>
#include <deque>
#include <mutex>
#include <optional>
#include <utility>

namespace balsamport {

namespace {

/// Time for which tasks are executed before expired timers are called.
constexpr Millis maxBatchTime{2};

} // namespace

struct Loop::Impl
{
    struct Task
    {
        std::function<void()> function;
        Millis postedAt;
    };

    asio::io_context context{1};
    asio::executor_work_guard<asio::io_context::executor_type> work
            = asio::make_work_guard(context);
    asio::signal_set signals{context, SIGTERM, SIGINT, SIGHUP};
    std::function<void(int)> signalCallback;
    Millis longestWait{0}; ///< Used by the thread of the loop only.
    std::mutex mutex;
    std::deque<Task> normalTasks; ///< Guarded by mutex.
    std::deque<Task> lowTasks; ///< Guarded by mutex.
    bool batchPosted = false; ///< runBatch() will be called. Guarded by mutex.
    void post(std::function<void()> function, TaskPriority priority)
    {
        const std::lock_guard lock(this->mutex);
        auto &tasks = priority == TaskPriority::Low ? this->lowTasks : this->normalTasks;
        tasks.push_back(Task{std::move(function), monotonicNow()});
        this->postBatch();
    }

    /// Requires the mutex.
    void postBatch()
    {
        if (!this->batchPosted) {
            this->batchPosted = true;
            asio::post(this->context, [this] { this->runBatch(); });
        }
    }

    void runBatch()
    {
        const Millis end = monotonicNow() + maxBatchTime;
        while (std::optional<Task> task = this->takeTask()) {
            task->function();
            if (monotonicNow() >= end || this->context.stopped()) {
                break;
            }
        }
        const std::lock_guard lock(this->mutex);
        this->batchPosted = false;
        if (!this->normalTasks.empty() || !this->lowTasks.empty()) {
            this->postBatch();
        }
    }

    std::optional<Task> takeTask()
    {
        const Millis now = monotonicNow();
        const std::lock_guard lock(this->mutex);
        auto &tasks = this->normalTasks.empty() ? this->lowTasks : this->normalTasks;
        if (tasks.empty()) {
            return std::nullopt;
        }
        Task task = std::move(tasks.front());
        tasks.pop_front();
        this->longestWait = std::max(this->longestWait, now - task.postedAt);
        return task;
    }

    Millis taskDelay()
    {
        const Millis now = monotonicNow();
        const std::lock_guard lock(this->mutex);
        Millis delay{0};
        for (const auto *tasks : {&this->normalTasks, &this->lowTasks}) {
            delay = std::max(delay, tasks->empty() ? Millis(0) : now - tasks->front().postedAt);
        }
        return delay;
    }

    void awaitSignal()
    {
        this->signals.async_wait([this](const asio::error_code &error, int number) {
            if (error) {
                return;
            }
            if (this->signalCallback) {
                this->signalCallback(number);
            }
            this->awaitSignal();
        });
    }
};

namespace {

class AsioTimer : public LoopTimer
{
public:
    explicit AsioTimer(asio::io_context &context)
        : timer(context)
    { }

    void set(Millis delay, std::function<void()> callback) override
    {
        this->timer.expires_after(std::chrono::milliseconds(delay.count()));
        const std::uint64_t expected = ++*this->generation;
        this->timer.async_wait([expected, current = this->generation,
                                task = std::move(callback)](const asio::error_code &error) {
            // When a timer is set again, its previous expiry may already be queued.
            if (!error && expected == *current) {
                task();
            }
        });
    }

    void cancel() override
    {
        ++*this->generation;
        this->timer.cancel();
    }

    ~AsioTimer() override { ++*this->generation; }
    AsioTimer(const AsioTimer &) = delete;
    AsioTimer &operator=(const AsioTimer &) = delete;

private:
    asio::steady_timer timer;
    std::shared_ptr<std::uint64_t> generation = std::make_shared<std::uint64_t>(0);
};

} // namespace

Loop::Loop()
    : impl(std::make_unique<Impl>())
{
    this->impl->awaitSignal();
}

Loop::~Loop() = default;

void Loop::post(std::function<void()> task, TaskPriority priority)
{
    this->impl->post(std::move(task), priority);
}

Millis Loop::taskDelay() const
{
    return this->impl->taskDelay();
}

Millis Loop::takeLongestWait()
{
    return std::exchange(this->impl->longestWait, Millis(0));
}

std::unique_ptr<LoopTimer> Loop::makeTimer()
{
    return std::make_unique<AsioTimer>(this->impl->context);
}

void Loop::run()
{
    this->impl->context.run();
}

void Loop::stop()
{
    this->impl->context.stop();
}

void Loop::onSignals(std::function<void(int signal)> callback)
{
    this->impl->signalCallback = std::move(callback);
}

} // namespace balsamport
