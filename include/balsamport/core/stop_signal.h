#ifndef BALSAMPORT_CORE_STOP_SIGNAL_H
#define BALSAMPORT_CORE_STOP_SIGNAL_H

#include <memory>

namespace balsamport {

/// @brief Handles SIGTERM and SIGINT from its construction on, so that neither terminates the
/// process during startup.
class StopSignal
{
public:
    StopSignal();
    ~StopSignal();
    StopSignal(const StopSignal &) = delete;
    StopSignal &operator=(const StopSignal &) = delete;

    /// @brief Blocks until one of the signals has been received.
    void wait();

private:
    struct Impl;
    std::unique_ptr<Impl> impl;
};

} // namespace balsamport

#endif
