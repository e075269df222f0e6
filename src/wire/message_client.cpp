#include <balsamport/wire/message_client.h>

#include "socket_support.h"

#include <balsamport/core/log.h>
#include <balsamport/wire/convert.h>
#include <balsamport/wire/message_server.h>

#include <algorithm>
#include <atomic>
#include <deque>
#include <future>
#include <iterator>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <thread>
#include <unordered_map>
#include <utility>

namespace balsamport {

namespace {

constexpr Millis maxPollTime{1000};
/// Time after which a connection that sent and received nothing is closed. Longer than any wait for
/// a reply.
constexpr Millis maxConnectionIdleTime{600'000};

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
    std::size_t countedBytes = 0; ///< Of the body, in one of its copies.
};

/// A connection may go silent without being closed. A ping without a response ends it, and the next
/// one is made at once, so that a peer is heard again within four seconds.
constexpr Millis heartbeatInterval{2'000};
/// Longer than a busy peer on a fraction of a core takes to respond, or than lost packets are sent
/// again.
constexpr Millis heartbeatTimeout{1'500};
/// The peer drops its end of a connection without pings for this long.
constexpr Millis heartbeatLifetime{10'000};

/// Memory of a message in a queue, in addition to its body.
constexpr std::size_t entryBytes = 200;
/// Messages that a socket takes before its peer accepts them. The client keeps further ones, so
/// that it can drop them.
constexpr int maxSocketMessages = 625;
constexpr int socketMessagesDivisor = 16;

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
        Millis usedAt; ///< When its socket last took a message, or received one.
        bool stalled = false; ///< Messages were dropped, because the peer accepted none.
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
            this->outgoingBytes -= message.countedBytes + entryBytes;
            this->send(message.endpoint, std::move(message.body));
        }
        this->dropExcess();
    }

    /// @return the serialized message; nothing if the thread of the client cannot keep up
    std::optional<zmq::message_t> prepare(wire::Envelope &envelope)
    {
        if (this->outgoingBytes > this->limits.bytes / 2) {
            ++this->dropped;
            return std::nullopt;
        }
        envelope.mutable_sender()->set_vm(this->self.vm);
        envelope.mutable_sender()->set_incarnation(this->self.incarnation);
        return serialize(envelope, this->queuedBytes);
    }

    /// Queues a message for the thread. Requires the mutex.
    void queue(const std::string &endpoint, zmq::message_t body, std::size_t countedBytes)
    {
        ++this->entries;
        this->outgoingBytes += countedBytes + entryBytes;
        this->outgoing.push_back(OutgoingMessage{endpoint, std::move(body), countedBytes});
    }

    /// Sends what peers accept of the messages that wait for them.
    void sendUnsent()
    {
        for (auto entry = this->unsent.begin(); entry != this->unsent.end();) {
            std::deque<zmq::message_t> &messages = entry->second;
            while (!messages.empty() && this->trySend(entry->first, messages.front())) {
                messages.pop_front();
            }
            entry = messages.empty() ? this->unsent.erase(entry) : std::next(entry);
        }
    }

    void send(const std::string &endpoint, zmq::message_t body)
    {
        const auto waiting = this->unsent.find(endpoint);
        if (waiting == this->unsent.end() && this->trySend(endpoint, body)) {
            return;
        }
        std::deque<zmq::message_t> &messages = this->unsent[endpoint];
        messages.push_back(std::move(body));
        if (messages.size() > static_cast<std::size_t>(this->limits.messagesPerPeer)) {
            this->dropOldest(endpoint, messages, messages.size() - 1);
        }
    }

    /// @return false if the peer accepts no message now
    bool trySend(const std::string &endpoint, zmq::message_t &body)
    {
        const std::size_t bytes = body.size();
        try {
            Connection &connection = this->connectionTo(endpoint);
            if (!connection.socket.send(body, zmq::send_flags::dontwait)) {
                return false;
            }
            connection.usedAt = monotonicNow();
            this->sent += bytes;
            if (connection.stalled) {
                connection.stalled = false;
                const std::lock_guard lock(this->mutex);
                this->stalledEndpoints.erase(endpoint);
            }
        } catch (const zmq::error_t &error) {
            LOG(WARNING) << logprefix::wire << "Failed to send. endpoint=" << endpoint
                         << " reason=" << error.what();
        }
        --this->entries;
        return true;
    }

    /// Drops the oldest messages for a peer, down to `kept`.
    void dropOldest(const std::string &endpoint, std::deque<zmq::message_t> &messages,
                    std::size_t kept)
    {
        this->dropped += messages.size() - kept;
        this->entries -= messages.size() - kept;
        messages.erase(messages.begin(), messages.end() - static_cast<std::ptrdiff_t>(kept));
        Connection &connection = this->connectionTo(endpoint);
        if (!connection.stalled) {
            connection.stalled = true;
            const std::lock_guard lock(this->mutex);
            this->stalledEndpoints.insert(endpoint);
        }
    }

    /// Drops the messages for the peers that have accepted the fewest, while too many bytes wait.
    /// The last message for each stays: once the peer accepts it, it counts as stalled no longer.
    void dropExcess()
    {
        while (this->bytesQueued() > this->limits.bytes) {
            const auto longest = std::max_element(
                    this->unsent.begin(), this->unsent.end(),
                    [](const auto &a, const auto &b) { return a.second.size() < b.second.size(); });
            if (longest == this->unsent.end() || longest->second.size() < 2) {
                return;
            }
            this->dropOldest(longest->first, longest->second, 1);
        }
    }

    [[nodiscard]] std::uint64_t bytesQueued() const noexcept
    {
        return *this->queuedBytes + this->entries * entryBytes;
    }

    [[nodiscard]] bool isRotating() const
    {
        return this->keys.isEnabled() && !this->keys.acceptedPublicKeys.empty();
    }

    Connection &connectionTo(const std::string &endpoint)
    {
        const auto found = this->connections.find(endpoint);
        if (found != this->connections.end()) {
            return found->second;
        }
        zmq::socket_t socket(this->context, zmq::socket_type::dealer);
        socket.set(zmq::sockopt::linger, 200);
        socket.set(zmq::sockopt::sndhwm,
                   std::clamp(this->limits.messagesPerPeer / socketMessagesDivisor, 1,
                              maxSocketMessages));
        socket.set(zmq::sockopt::maxmsgsize, MessageServer::maxMessageBytes);
        socket.set(zmq::sockopt::reconnect_ivl, 50);
        socket.set(zmq::sockopt::reconnect_ivl_max, 1000);
        socket.set(zmq::sockopt::heartbeat_ivl, static_cast<int>(heartbeatInterval.count()));
        socket.set(zmq::sockopt::heartbeat_timeout, static_cast<int>(heartbeatTimeout.count()));
        socket.set(zmq::sockopt::heartbeat_ttl, static_cast<int>(heartbeatLifetime.count()));
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
        return this->connections.emplace(endpoint, std::move(connection)).first->second;
    }

    /// Closes connections that are not used, with the messages that their peers have not taken.
    void closeIdle()
    {
        const Millis now = monotonicNow();
        if (now - this->idleCheckedAt < maxConnectionIdleTime / 2) {
            return;
        }
        this->idleCheckedAt = now;
        for (auto entry = this->connections.begin(); entry != this->connections.end();) {
            if (now - entry->second.usedAt <= maxConnectionIdleTime) {
                ++entry;
                continue;
            }
            const auto waiting = this->unsent.find(entry->first);
            if (waiting != this->unsent.end()) {
                this->entries -= waiting->second.size();
                this->unsent.erase(waiting);
            }
            {
                const std::lock_guard lock(this->mutex);
                this->stalledEndpoints.erase(entry->first);
            }
            entry = this->connections.erase(entry);
        }
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
    /// Messages that sockets did not take, by endpoint. Used by the client's thread only.
    std::map<std::string, std::deque<zmq::message_t>> unsent;
    std::mutex mutex;
    std::deque<OutgoingMessage> outgoing; ///< Guarded by `mutex`.
    /// Of `outgoing`, and of what the thread took of it and has not handled.
    std::atomic<std::uint64_t> outgoingBytes{0};
    std::atomic<std::uint64_t> entries{0}; ///< Of `outgoing` and `unsent`.
    std::set<std::string> stalledEndpoints; ///< Requests to them fail at once. Guarded by `mutex`.
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
    {
        const std::lock_guard lock(this->loop->mutex);
        if (body && this->loop->stalledEndpoints.count(endpoint) != 0) {
            ++this->loop->dropped;
            body.reset();
        }
        // A request that is not sent fails at once.
        const Millis deadline = monotonicNow() + (body ? timeout : Millis(0));
        this->loop->pending.emplace(number, PendingRequest{deadline, timeout, std::move(handler)});
        this->loop->deadlines.emplace(deadline, number);
        if (body) {
            const std::size_t bytes = body->size();
            this->loop->queue(endpoint, std::move(*body), bytes);
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
        std::size_t countedBytes = body->size();
        for (const std::string &endpoint : endpoints) {
            zmq::message_t copy;
            copy.copy(*body);
            this->loop->queue(endpoint, std::move(copy), std::exchange(countedBytes, 0));
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
    return this->loop->bytesQueued();
}

std::uint64_t MessageClient::messagesDropped() const noexcept
{
    return this->loop->dropped;
}

} // namespace balsamport
