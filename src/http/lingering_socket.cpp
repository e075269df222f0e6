#include "lingering_socket.h"

#include <linux/sockios.h>
#include <sys/ioctl.h>

#include <array>
#include <chrono>
#include <memory>
#include <utility>

namespace balsamport {

namespace {

/// Longest time for which a closed connection waits for its peer.
constexpr std::chrono::milliseconds maxLingerTime{2'000};
/// Received bytes after which a closed connection no longer waits for its peer.
constexpr std::size_t maxDiscardedBytes = 1024 * 1024;

/// A connection whose sending side has ended. Owned by its pending operations.
class LingeringConnection : public std::enable_shared_from_this<LingeringConnection>
{
public:
    explicit LingeringConnection(asio::ip::tcp::socket ownSocket)
        : socket(std::move(ownSocket))
        , strand(asio::make_strand(this->socket.get_executor()))
        , timer(this->strand, maxLingerTime)
    { }

    void start()
    {
        this->timer.async_wait([self = this->shared_from_this()](const asio::error_code &) {
            asio::error_code ignored;
            self->socket.close(ignored);
        });
        this->discard();
    }

private:
    void discard()
    {
        this->socket.async_read_some(
                asio::buffer(this->buffer),
                asio::bind_executor(this->strand,
                                    [self = this->shared_from_this()](
                                            const asio::error_code &failure, std::size_t bytes) {
                                        self->discardedBytes += bytes;
                                        if (failure || self->discardedBytes > maxDiscardedBytes) {
                                            self->timer.cancel();
                                        } else {
                                            self->discard();
                                        }
                                    }));
    }

    asio::ip::tcp::socket socket;
    asio::strand<asio::ip::tcp::socket::executor_type> strand;
    asio::steady_timer timer;
    std::array<char, 4'096> buffer{};
    std::size_t discardedBytes = 0;
};

bool hasUnsentBytes(int socket)
{
    int bytes = 0;
    return ioctl(socket, SIOCOUTQ, &bytes) == 0 && bytes > 0;
}

} // namespace

void LingeringSocket::shutdown(shutdown_type /*what*/, asio::error_code &failure)
{
    asio::ip::tcp::socket::shutdown(shutdown_send, failure);
}

bool LingeringSocket::joinGuard()
{
    asio::execution_context &context = this->get_executor().context();
    if (!asio::has_service<ConnectionGuardService>(context)) {
        return false;
    }
    this->guard = asio::use_service<ConnectionGuardService>(context).guard;
    if (!this->guard) {
        return false;
    }
    this->meter = this->guard->add([this] {
        asio::error_code ignored;
        this->cancel(ignored);
    });
    return true;
}

void LingeringSocket::cancelSoon()
{
    asio::post(this->get_executor(), [weak = std::weak_ptr<ConnectionMeter>(this->meter), this] {
        if (const auto held = weak.lock(); held && this->is_open()) {
            asio::error_code ignored;
            this->cancel(ignored);
        }
    });
}

LingeringSocket::~LingeringSocket()
{
    this->leaveGuard();
}

void LingeringSocket::leaveGuard()
{
    if (this->meter) {
        this->guard->remove(this->meter);
        this->meter.reset();
    }
}

void LingeringSocket::close()
{
    this->leaveGuard();
    if (!this->is_open()) {
        return;
    }
    asio::error_code ignored;
    if (!hasUnsentBytes(this->native_handle())) {
        asio::ip::tcp::socket::close(ignored);
        return;
    }
    this->cancel(ignored);
    asio::ip::tcp::socket &closing = *this;
    std::make_shared<LingeringConnection>(std::move(closing))->start();
}

} // namespace balsamport
