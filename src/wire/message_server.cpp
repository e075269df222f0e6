#include <balsamport/wire/message_server.h>

#include "socket_support.h"

#include <balsamport/core/log.h>

#include <atomic>
#include <deque>
#include <mutex>
#include <thread>
#include <utility>

namespace balsamport {

namespace {

constexpr int maxPollMilliseconds = 1000;
constexpr int lingerMilliseconds = 500;

struct OutgoingReply
{
    std::string peer;
    wire::Envelope envelope;
};

} // namespace

struct MessageServer::Loop : std::enable_shared_from_this<MessageServer::Loop>
{
    Loop(MessageSender name, MessageHandler messageHandler)
        : self(std::move(name))
        , handler(std::move(messageHandler))
        , router(this->context, zmq::socket_type::router)
    { }

    void queueReply(std::string peer, wire::Envelope envelope)
    {
        {
            const std::lock_guard lock(this->mutex);
            if (this->stopped) {
                return;
            }
            this->replies.push_back(OutgoingReply{std::move(peer), std::move(envelope)});
        }
        this->wakeup.signal();
    }

    void run()
    {
        while (true) {
            zmq::pollitem_t items[]
                    = {{this->router.handle(), 0, ZMQ_POLLIN, 0}, this->wakeup.pollItem()};
            zmq::poll(items, 2, std::chrono::milliseconds(maxPollMilliseconds));
            this->wakeup.clear();
            this->receiveAll();
            this->sendAll();
            const std::lock_guard lock(this->mutex);
            if (this->stopping) {
                this->stopped = true;
                return;
            }
        }
    }

    void receiveAll()
    {
        while (true) {
            zmq::message_t peer;
            if (!this->router.recv(peer, zmq::recv_flags::dontwait)) {
                return;
            }
            zmq::message_t body;
            if (!peer.more() || !this->router.recv(body, zmq::recv_flags::dontwait)) {
                continue;
            }
            const bool hasExtraFrames = discardRemainingFrames(this->router, body);
            this->received += body.size();
            wire::Envelope envelope;
            if (hasExtraFrames
                || !envelope.ParseFromArray(body.data(), static_cast<int>(body.size()))) {
                LOG(WARNING) << logprefix::wire
                             << "Dropped an invalid message. bytes=" << body.size();
                continue;
            }
            this->dispatch(peer.to_string(), envelope);
        }
    }

    void dispatch(std::string peer, const wire::Envelope &envelope)
    {
        const std::uint64_t correlation = envelope.correlation();
        const std::weak_ptr<Loop> weak = this->weak_from_this();
        const ReplySender replier
                = [weak, peer = std::move(peer), correlation](wire::Envelope reply) {
                      const std::shared_ptr<Loop> loop = weak.lock();
                      if (!loop || correlation == 0) {
                          return;
                      }
                      reply.set_correlation(correlation);
                      loop->queueReply(peer, std::move(reply));
                  };
        this->handler(envelope, replier);
    }

    void sendAll()
    {
        std::deque<OutgoingReply> batch;
        {
            const std::lock_guard lock(this->mutex);
            batch.swap(this->replies);
        }
        for (OutgoingReply &reply : batch) {
            reply.envelope.mutable_sender()->set_vm(this->self.vm);
            reply.envelope.mutable_sender()->set_incarnation(this->self.incarnation);
            zmq::message_t body = serialize(reply.envelope, this->queuedBytes);
            this->sent += body.size();
            try {
                this->router.send(zmq::buffer(reply.peer),
                                  zmq::send_flags::sndmore | zmq::send_flags::dontwait);
                this->router.send(body, zmq::send_flags::dontwait);
            } catch (const zmq::error_t &error) {
                LOG(WARNING) << logprefix::wire << "Dropped a reply. reason=" << error.what();
            }
        }
    }

    MessageSender self;
    MessageHandler handler;
    zmq::context_t context;
    zmq::socket_t router;
    Wakeup wakeup;
    std::mutex mutex;
    std::deque<OutgoingReply> replies; ///< Guarded by `mutex`.
    bool stopping = false; ///< Guarded by `mutex`.
    bool stopped = false; ///< Guarded by `mutex`.
    std::atomic<std::uint64_t> received{0};
    std::atomic<std::uint64_t> sent{0};
    MessageMeter queuedBytes = std::make_shared<std::atomic<std::uint64_t>>(0);
    std::unique_ptr<CurveAuthenticator> authenticator;
    std::thread thread;
};

Result<std::unique_ptr<MessageServer>> MessageServer::start(const std::string &endpoint,
                                                            const MessageSender &self,
                                                            const CurveKeys &keys,
                                                            MessageHandler handler)
{
    auto loop = std::make_shared<Loop>(self, std::move(handler));
    try {
        loop->authenticator = std::make_unique<CurveAuthenticator>(loop->context, keys);
        loop->router.set(zmq::sockopt::maxmsgsize, maxMessageBytes);
        loop->router.set(zmq::sockopt::linger, lingerMilliseconds);
        loop->router.set(zmq::sockopt::router_handover, true);
        CurveAuthenticator::configureServer(loop->router, keys);
        loop->router.bind(endpoint);
    } catch (const zmq::error_t &error) {
        return Error{ErrorCode::ListenFailed, endpoint + ": " + error.what()};
    }
    loop->thread = std::thread([raw = loop.get()] { raw->run(); });
    return std::unique_ptr<MessageServer>(new MessageServer(std::move(loop)));
}

MessageServer::MessageServer(std::shared_ptr<Loop> ownedLoop)
    : loop(std::move(ownedLoop))
{ }

MessageServer::~MessageServer()
{
    {
        const std::lock_guard lock(this->loop->mutex);
        this->loop->stopping = true;
    }
    this->loop->wakeup.signal();
    this->loop->thread.join();
}

std::uint64_t MessageServer::bytesReceived() const noexcept
{
    return this->loop->received;
}

std::uint64_t MessageServer::bytesSent() const noexcept
{
    return this->loop->sent;
}

std::uint64_t MessageServer::bytesQueued() const noexcept
{
    return *this->loop->queuedBytes;
}

} // namespace balsamport
