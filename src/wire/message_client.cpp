#include <balsamport/wire/message_client.h>

#include "socket_support.h"

#include <balsamport/core/log.h>
#include <balsamport/wire/convert.h>
#include <balsamport/wire/message_server.h>

#include <algorithm>
#include <atomic>
#include <deque>
#include <future>
#include <map>
#include <mutex>
#include <optional>
#include <thread>
#include <unordered_map>
#include <utility>

namespace balsamport {

namespace {

constexpr Millis maxPollTime{1000};
/// Time after which a connection that sent and received nothing is closed. Longer than any regular
/// interval between messages.
constexpr Millis maxConnectionIdleTime{60'000};

struct PendingRequest
{
    Millis deadline;
    Millis timeout;
    ReplyHandler handler;
};

struct OutgoingMessage
{
    std::string endpoint;
    zmq::message_t body; ///< Shares its bytes with the copies for other endpoints.
};

/// Adds a leading zero to the port. ZeroMQ ignores a second connection to an endpoint that is
/// spelled the same way.
std::string withPaddedPort(std::string endpoint)
{
    const std::size_t colon = endpoint.rfind(':');
    return colon == std::string::npos ? endpoint : endpoint.insert(colon + 1, 1, '0');
}

} // namespace

struct MessageClient::Loop
{
    /// The connection to one endpoint.
    struct Connection
    {
        zmq::socket_t socket;
        Millis usedAt; ///< When a message was last sent or received.
    };

    Loop(MessageSender name, CurveKeys curveKeys, MessageQueueLimits queueLimits)
        : self(std::move(name))
        , keys(std::move(curveKeys))
        , limits(queueLimits)
    { }

    void run()
    {
        while (!this->stopping) {
            this->wait();
            this->wakeup.clear();
            this->sendUnsent();
            this->sendAll();
            for (auto &[endpoint, connection] : this->connections) {
                this->receiveAll(connection);
            }
            this->failExpired();
            this->closeIdle();
        }
        this->sendAll();
    }

    void wait()
    {
        std::vector<zmq::pollitem_t> items;
        items.push_back(this->wakeup.pollItem());
        for (auto &[endpoint, connection] : this->connections) {
            const bool blocked = this->unsent.count(endpoint) != 0;
            const int events = blocked ? ZMQ_POLLIN | ZMQ_POLLOUT : ZMQ_POLLIN;
            items.push_back({connection.socket.handle(), 0, static_cast<short>(events), 0});
        }
        zmq::poll(items, std::chrono::milliseconds(this->timeToNextDeadline().count()));
    }

    Millis timeToNextDeadline()
    {
        const std::lock_guard lock(this->mutex);
        if (this->deadlines.empty()) {
            return maxPollTime;
        }
        const Millis remaining = this->deadlines.begin()->first - monotonicNow() + Millis(1);
        return std::clamp(remaining, Millis(0), maxPollTime);
    }

    void sendAll()
    {
        std::deque<OutgoingMessage> batch;
        {
            const std::lock_guard lock(this->mutex);
            batch.swap(this->outgoing);
        }
        for (OutgoingMessage &message : batch) {
            this->sendTo(message.endpoint, std::move(message.body));
        }
    }

    /// @return the serialized message; nothing if too many bytes wait to be sent
    std::optional<zmq::message_t> prepare(wire::Envelope &envelope)
    {
        if (*this->queuedBytes > this->limits.bytes) {
            ++this->dropped;
            return std::nullopt;
        }
        envelope.mutable_sender()->set_vm(this->self.vm);
        envelope.mutable_sender()->set_incarnation(this->self.incarnation);
        return serialize(envelope, this->queuedBytes);
    }

    /// Sends the messages that wait for a connection. Used only during a key rotation.
    void sendUnsent()
    {
        std::map<std::string, std::deque<zmq::message_t>> messages;
        messages.swap(this->unsent);
        for (auto &[endpoint, bodies] : messages) {
            for (zmq::message_t &body : bodies) {
                this->sendTo(endpoint, std::move(body));
            }
        }
    }

    void sendTo(const std::string &endpoint, zmq::message_t body)
    {
        const std::size_t bytes = body.size();
        try {
            if (this->socketFor(endpoint).send(body, zmq::send_flags::dontwait)) {
                this->sent += bytes;
                return;
            }
            // A message is dropped if the queue is full; a request then ends with its timeout.
            if (this->isRotating()
                && this->unsent[endpoint].size()
                        < static_cast<std::size_t>(this->limits.messagesPerPeer)) {
                this->unsent[endpoint].push_back(std::move(body));
            }
        } catch (const zmq::error_t &error) {
            LOG(WARNING) << logprefix::wire << "Failed to send. endpoint=" << endpoint
                         << " reason=" << error.what();
        }
    }

    [[nodiscard]] bool isRotating() const
    {
        return this->keys.isEnabled() && !this->keys.acceptedPublicKeys.empty();
    }

    zmq::socket_t &socketFor(const std::string &endpoint)
    {
        const auto found = this->connections.find(endpoint);
        if (found != this->connections.end()) {
            found->second.usedAt = monotonicNow();
            return found->second.socket;
        }
        zmq::socket_t socket(this->context, zmq::socket_type::dealer);
        socket.set(zmq::sockopt::linger, 200);
        socket.set(zmq::sockopt::sndhwm, this->limits.messagesPerPeer);
        socket.set(zmq::sockopt::maxmsgsize, MessageServer::maxMessageBytes);
        socket.set(zmq::sockopt::reconnect_ivl, 50);
        socket.set(zmq::sockopt::reconnect_ivl_max, 1000);
        CurveAuthenticator::configureClient(socket, this->keys);
        if (this->isRotating()) {
            // The peer has one of several keys. With `immediate`, only the connection whose
            // handshake succeeds receives messages.
            socket.set(zmq::sockopt::immediate, true);
            std::string spelling = endpoint;
            for (const std::string &peerKey : this->keys.acceptedPublicKeys) {
                socket.set(zmq::sockopt::curve_serverkey, peerKey);
                spelling = withPaddedPort(spelling);
                socket.connect(spelling);
            }
            socket.set(zmq::sockopt::curve_serverkey, this->keys.publicKey);
        }
        socket.connect(endpoint);
        Connection connection{std::move(socket), monotonicNow()};
        return this->connections.emplace(endpoint, std::move(connection)).first->second.socket;
    }

    /// Closes connections that are not used, with the messages that their peers have not taken.
    void closeIdle()
    {
        const Millis now = monotonicNow();
        if (now - this->idleCheckedAt < maxConnectionIdleTime / 2) {
            return;
        }
        this->idleCheckedAt = now;
        std::erase_if(this->connections, [now](const auto &entry) {
            return now - entry.second.usedAt > maxConnectionIdleTime;
        });
    }

    void receiveAll(Connection &connection)
    {
        while (true) {
            zmq::message_t body;
            if (!connection.socket.recv(body, zmq::recv_flags::dontwait)) {
                return;
            }
            connection.usedAt = monotonicNow();
            const bool hasExtraFrames = discardRemainingFrames(connection.socket, body);
            this->received += body.size();
            wire::Envelope envelope;
            if (hasExtraFrames
                || !envelope.ParseFromArray(body.data(), static_cast<int>(body.size()))) {
                LOG(WARNING) << logprefix::wire
                             << "Dropped an invalid reply. bytes=" << body.size();
                continue;
            }
            this->deliver(envelope);
        }
    }

    void deliver(const wire::Envelope &envelope)
    {
        ReplyHandler handler = this->findHandler(envelope.correlation());
        if (!handler) {
            return;
        }
        const bool failed = envelope.has_error();
        const bool expectsMore
                = failed ? (handler(fromWire(envelope.error())), false) : handler(envelope);
        const std::lock_guard lock(this->mutex);
        const auto found = this->pending.find(envelope.correlation());
        if (found == this->pending.end()) {
            return;
        }
        this->removeDeadline(found->second.deadline, found->first);
        if (!expectsMore) {
            this->pending.erase(found);
            return;
        }
        found->second.deadline = monotonicNow() + found->second.timeout;
        this->deadlines.emplace(found->second.deadline, found->first);
    }

    /// @return nothing for an unknown number, for example of a cancelled request
    ReplyHandler findHandler(std::uint64_t number)
    {
        const std::lock_guard lock(this->mutex);
        const auto found = this->pending.find(number);
        return found == this->pending.end() ? ReplyHandler() : found->second.handler;
    }

    void failExpired()
    {
        const Millis now = monotonicNow();
        std::vector<ReplyHandler> expired;
        {
            const std::lock_guard lock(this->mutex);
            while (!this->deadlines.empty() && this->deadlines.begin()->first <= now) {
                const std::uint64_t number = this->deadlines.begin()->second;
                this->deadlines.erase(this->deadlines.begin());
                const auto found = this->pending.find(number);
                if (found != this->pending.end()) {
                    expired.push_back(std::move(found->second.handler));
                    this->pending.erase(found);
                }
            }
        }
        for (const ReplyHandler &handler : expired) {
            handler(Error{ErrorCode::Timeout, "no reply from the peer in time"});
        }
    }

    void removeDeadline(Millis deadline, std::uint64_t number)
    {
        const auto range = this->deadlines.equal_range(deadline);
        for (auto entry = range.first; entry != range.second; ++entry) {
            if (entry->second == number) {
                this->deadlines.erase(entry);
                return;
            }
        }
    }

    MessageSender self;
    CurveKeys keys;
    MessageQueueLimits limits;
    zmq::context_t context;
    Wakeup wakeup;
    /// By endpoint. Used by the client's thread only.
    std::map<std::string, Connection> connections;
    Millis idleCheckedAt{0}; ///< Used by the client's thread only.
    /// Messages that wait for a connection, by endpoint. Used by the client's thread only.
    std::map<std::string, std::deque<zmq::message_t>> unsent;
    std::mutex mutex;
    std::deque<OutgoingMessage> outgoing; ///< Guarded by `mutex`.
    std::unordered_map<std::uint64_t, PendingRequest> pending; ///< Guarded by `mutex`.
    std::multimap<Millis, std::uint64_t> deadlines; ///< Guarded by `mutex`.
    std::atomic<std::uint64_t> nextNumber{1};
    std::atomic<bool> stopping{false};
    std::atomic<std::uint64_t> received{0};
    std::atomic<std::uint64_t> sent{0};
    std::atomic<std::uint64_t> dropped{0};
    MessageMeter queuedBytes = std::make_shared<std::atomic<std::uint64_t>>(0);
    std::thread thread;
};

MessageClient::MessageClient(MessageSender self, CurveKeys keys, MessageQueueLimits limits)
    : loop(std::make_unique<Loop>(std::move(self), std::move(keys), limits))
{
    this->loop->thread = std::thread([raw = this->loop.get()] { raw->run(); });
}

MessageClient::~MessageClient()
{
    this->loop->stopping = true;
    this->loop->wakeup.signal();
    this->loop->thread.join();
}

std::uint64_t MessageClient::request(const std::string &endpoint, wire::Envelope message,
                                     Millis timeout, ReplyHandler handler)
{
    const std::uint64_t number = this->loop->nextNumber++;
    message.set_correlation(number);
    std::optional<zmq::message_t> body = this->loop->prepare(message);
    // A request that is not sent fails at once.
    const Millis deadline = monotonicNow() + (body ? timeout : Millis(0));
    {
        const std::lock_guard lock(this->loop->mutex);
        this->loop->pending.emplace(number, PendingRequest{deadline, timeout, std::move(handler)});
        this->loop->deadlines.emplace(deadline, number);
        if (body) {
            this->loop->outgoing.push_back(OutgoingMessage{endpoint, std::move(*body)});
        }
    }
    this->loop->wakeup.signal();
    return number;
}

void MessageClient::cancel(std::uint64_t number)
{
    const std::lock_guard lock(this->loop->mutex);
    const auto found = this->loop->pending.find(number);
    if (found != this->loop->pending.end()) {
        this->loop->removeDeadline(found->second.deadline, number);
        this->loop->pending.erase(found);
    }
}

void MessageClient::notify(const std::string &endpoint, wire::Envelope message)
{
    this->notifyAll({endpoint}, std::move(message));
}

void MessageClient::notifyAll(const std::vector<std::string> &endpoints, wire::Envelope message)
{
    message.set_correlation(0);
    std::optional<zmq::message_t> body = this->loop->prepare(message);
    if (!body || endpoints.empty()) {
        return;
    }
    {
        const std::lock_guard lock(this->loop->mutex);
        for (const std::string &endpoint : endpoints) {
            OutgoingMessage copy{endpoint, zmq::message_t()};
            copy.body.copy(*body);
            this->loop->outgoing.push_back(std::move(copy));
        }
    }
    this->loop->wakeup.signal();
}

Result<wire::Envelope> MessageClient::call(const std::string &endpoint, wire::Envelope message,
                                           Millis timeout)
{
    auto promise = std::make_shared<std::promise<Result<wire::Envelope>>>();
    std::future<Result<wire::Envelope>> future = promise->get_future();
    this->request(endpoint, std::move(message), timeout,
                  [promise](const Result<wire::Envelope> &reply) {
                      promise->set_value(reply);
                      return false;
                  });
    return future.get();
}

std::uint64_t MessageClient::bytesReceived() const noexcept
{
    return this->loop->received;
}

std::uint64_t MessageClient::bytesSent() const noexcept
{
    return this->loop->sent;
}

std::uint64_t MessageClient::bytesQueued() const noexcept
{
    return *this->loop->queuedBytes;
}

std::uint64_t MessageClient::messagesDropped() const noexcept
{
    return this->loop->dropped;
}

} // namespace balsamport
