#include <balsamport/core/stop_signal.h>

#include <asio.hpp>

#include <csignal>

namespace balsamport {

struct StopSignal::Impl
{
    asio::io_context context{1};
    asio::signal_set signals{context, SIGTERM, SIGINT};
};

StopSignal::StopSignal()
    : impl(std::make_unique<Impl>())
{
    this->impl->signals.async_wait([](const asio::error_code & /*error*/, int /*number*/) {});
}

StopSignal::~StopSignal() = default;

void StopSignal::wait()
{
    this->impl->context.run();
}

} // namespace balsamport
