#include <balsamport/edge/loop.h>

#include <asio.hpp>

#include <algorithm>
#include <csignal>
#include <utility>

namespace balsamport {

struct Loop::Impl
{
    asio::io_context context{1};
    asio::executor_work_guard<asio::io_context::executor_type> work
            = asio::make_work_guard(context);
    asio::signal_set signals{context, SIGTERM, SIGINT, SIGHUP};
    std::function<void(int)> signalCallback;
    Millis longestWait{0}; ///< Used by the thread of the loop only.

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

void Loop::post(std::function<void()> task)
{
    asio::post(this->impl->context,
               [raw = this->impl.get(), postedAt = monotonicNow(), task = std::move(task)] {
                   raw->longestWait = std::max(raw->longestWait, monotonicNow() - postedAt);
                   task();
               });
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
