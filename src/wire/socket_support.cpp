#include "socket_support.h"

#include <balsamport/core/log.h>

#include <sys/eventfd.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>

namespace balsamport {

namespace {

constexpr std::size_t curveKeyBytes = 32;
constexpr std::size_t z85KeyCharacters = 40;
/// Index of the CURVE public key in a ZAP request. Source: ZeroMQ RFC 27.
constexpr std::size_t zapCredentialFrame = 6;

std::string toZ85(const zmq::message_t &key)
{
    std::array<char, z85KeyCharacters + 1> text{};
    if (key.size() != curveKeyBytes
        || zmq_z85_encode(text.data(), key.data<std::uint8_t>(), key.size()) == nullptr) {
        return {};
    }
    return {text.data(), z85KeyCharacters};
}

std::vector<zmq::message_t> receiveFrames(zmq::socket_t &socket)
{
    std::vector<zmq::message_t> frames;
    while (true) {
        zmq::message_t frame;
        if (!socket.recv(frame, zmq::recv_flags::dontwait)) {
            return frames;
        }
        const bool more = frame.more();
        frames.push_back(std::move(frame));
        if (!more) {
            return frames;
        }
    }
}

/// Replies with the frames version, request id, status code, status text, user id and metadata.
void sendZapReply(zmq::socket_t &socket, const std::vector<zmq::message_t> &request, bool accepted)
{
    const std::string_view code = accepted ? "200" : "400";
    const std::string_view text = accepted ? "OK" : "key not accepted";
    socket.send(zmq::str_buffer("1.0"), zmq::send_flags::sndmore);
    socket.send(zmq::buffer(request[1].data(), request[1].size()), zmq::send_flags::sndmore);
    socket.send(zmq::buffer(code), zmq::send_flags::sndmore);
    socket.send(zmq::buffer(text), zmq::send_flags::sndmore);
    socket.send(zmq::str_buffer(""), zmq::send_flags::sndmore);
    socket.send(zmq::str_buffer(""), zmq::send_flags::none);
}

} // namespace

Wakeup::Wakeup()
    : fd(eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC))
{ }

Wakeup::~Wakeup()
{
    close(this->fd);
}

void Wakeup::signal() noexcept
{
    if (!this->signalled.exchange(true)) {
        const std::uint64_t one = 1;
        static_cast<void>(::write(this->fd, &one, sizeof one));
    }
}

zmq::pollitem_t Wakeup::pollItem() const noexcept
{
    return {nullptr, this->fd, ZMQ_POLLIN, 0};
}

void Wakeup::clear() noexcept
{
    std::uint64_t count = 0;
    static_cast<void>(::read(this->fd, &count, sizeof count));
    this->signalled = false;
}

zmq::message_t serialize(const wire::Envelope &envelope, const MessageMeter &meter)
{
    struct MeteredBytes
    {
        std::string bytes;
        MessageMeter meter;
    };
    auto owned = std::make_unique<MeteredBytes>(MeteredBytes{envelope.SerializeAsString(), meter});
    *meter += owned->bytes.size();
    const auto release = [](void * /*data*/, void *hint) {
        const std::unique_ptr<MeteredBytes> released(static_cast<MeteredBytes *>(hint));
        *released->meter -= released->bytes.size();
    };
    char *const data = owned->bytes.data();
    const std::size_t size = owned->bytes.size();
    return zmq::message_t(data, size, release, owned.release());
}

bool discardRemainingFrames(zmq::socket_t &socket, const zmq::message_t &last)
{
    bool more = last.more();
    const bool hadMore = more;
    while (more) {
        zmq::message_t frame;
        if (!socket.recv(frame, zmq::recv_flags::dontwait)) {
            return hadMore;
        }
        more = frame.more();
    }
    return hadMore;
}

CurveAuthenticator::CurveAuthenticator(zmq::context_t &zmqContext, const CurveKeys &keys)
    : acceptedKeys(keys.acceptedPublicKeys)
    , context(zmqContext)
{
    if (!keys.isEnabled()) {
        return;
    }
    this->acceptedKeys.push_back(keys.publicKey);
    this->zapSocket = zmq::socket_t(this->context, zmq::socket_type::rep);
    this->zapSocket.set(zmq::sockopt::linger, 0);
    this->zapSocket.bind("inproc://zeromq.zap.01");
    this->thread = std::thread([this] { this->run(); });
}

CurveAuthenticator::~CurveAuthenticator()
{
    if (this->thread.joinable()) {
        this->wakeup.signal();
        this->thread.join();
    }
}

void CurveAuthenticator::configureServer(zmq::socket_t &socket, const CurveKeys &keys)
{
    if (!keys.isEnabled()) {
        return;
    }
    socket.set(zmq::sockopt::zap_domain, "balsamport");
    socket.set(zmq::sockopt::curve_server, true);
    socket.set(zmq::sockopt::curve_secretkey, keys.secretKey);
}

void CurveAuthenticator::configureClient(zmq::socket_t &socket, const CurveKeys &keys)
{
    if (!keys.isEnabled()) {
        return;
    }
    socket.set(zmq::sockopt::curve_serverkey, keys.publicKey);
    socket.set(zmq::sockopt::curve_publickey, keys.publicKey);
    socket.set(zmq::sockopt::curve_secretkey, keys.secretKey);
}

void CurveAuthenticator::run()
{
    while (true) {
        zmq::pollitem_t items[]
                = {{this->zapSocket.handle(), 0, ZMQ_POLLIN, 0}, this->wakeup.pollItem()};
        zmq::poll(items, 2, std::chrono::milliseconds(-1));
        if ((items[1].revents & ZMQ_POLLIN) != 0) {
            return;
        }
        const std::vector<zmq::message_t> request = receiveFrames(this->zapSocket);
        if (request.size() <= zapCredentialFrame) {
            continue;
        }
        const std::string key = toZ85(request[zapCredentialFrame]);
        const bool isAccepted = std::find(this->acceptedKeys.begin(), this->acceptedKeys.end(), key)
                != this->acceptedKeys.end();
        if (!isAccepted) {
            LOG(WARNING) << logprefix::wire << "Refused a peer. reason=key_not_accepted";
        }
        sendZapReply(this->zapSocket, request, isAccepted);
    }
}

} // namespace balsamport
