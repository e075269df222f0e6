#include <balsamport/http/http_client.h>

#include "curl_exchange.h"

#include <balsamport/core/log.h>

#include <asio.hpp>

#include <algorithm>
#include <atomic>
#include <deque>
#include <future>
#include <map>
#include <mutex>
#include <thread>
#include <unordered_map>
#include <utility>

namespace balsamport {

namespace {

constexpr long maxKeptConnections = 4096;

} // namespace

/// Drives libcurl's multi interface from Asio: curl reports its sockets, Asio waits for their
/// events.
struct HttpClient::Loop
{
    using Socket = asio::posix::stream_descriptor;

    /// The events that curl waits for on one socket.
    struct SocketWatch
    {
        explicit SocketWatch(asio::io_context &context, curl_socket_t fd)
            : socket(context)
        {
            asio::error_code failure;
            this->socket.assign(fd, failure);
            if (failure) {
                // No exception may pass through libcurl. Its own timeouts end the request.
                LOG(ERROR) << logprefix::http
                           << "Could not assign a socket to Asio. error=" << failure.message();
            }
        }
        ~SocketWatch() { this->release(); }
        /// Stops watching immediately. The socket itself belongs to libcurl and stays open.
        void release()
        {
            if (this->socket.is_open()) {
                this->socket.release();
            }
        }
        SocketWatch(const SocketWatch &) = delete;
        SocketWatch &operator=(const SocketWatch &) = delete;

        Socket socket;
        int requestedEvents = 0;
        bool readPending = false;
        bool writePending = false;
    };

    Loop()
        : work(asio::make_work_guard(this->context))
        , timer(this->context)
    {
        this->multi = curl_multi_init();
        curl_multi_setopt(this->multi, CURLMOPT_SOCKETFUNCTION, &Loop::onSocket);
        curl_multi_setopt(this->multi, CURLMOPT_SOCKETDATA, this);
        curl_multi_setopt(this->multi, CURLMOPT_TIMERFUNCTION, &Loop::onTimer);
        curl_multi_setopt(this->multi, CURLMOPT_TIMERDATA, this);
        curl_multi_setopt(this->multi, CURLMOPT_MAXCONNECTS, maxKeptConnections);
    }

    ~Loop()
    {
        for (auto &[exchangeId, exchange] : this->exchanges) {
            curl_multi_remove_handle(this->multi, exchange->handle());
        }
        this->exchanges.clear();
        curl_multi_cleanup(this->multi);
    }

    static int onSocket(CURL * /*easy*/, curl_socket_t fd, int events, void *user, void * /*own*/)
    {
        static_cast<Loop *>(user)->updateWatch(fd, events);
        return 0;
    }

    static int onTimer(CURLM * /*multi*/, long timeoutMs, void *user)
    {
        static_cast<Loop *>(user)->setTimer(timeoutMs);
        return 0;
    }

    void updateWatch(curl_socket_t fd, int events)
    {
        if (events == CURL_POLL_REMOVE) {
            // The calling handler may still hold the watch, while libcurl uses the socket for its
            // next request, or closes it and opens another one with the same descriptor.
            const auto found = this->watches.find(fd);
            if (found != this->watches.end()) {
                found->second->release();
                this->watches.erase(found);
            }
            return;
        }
        auto &watch = this->watches[fd];
        if (!watch) {
            watch = std::make_shared<SocketWatch>(this->context, fd);
        }
        watch->requestedEvents = events;
        this->awaitRead(fd, watch);
        this->awaitWrite(fd, watch);
    }

    void awaitRead(curl_socket_t fd, const std::shared_ptr<SocketWatch> &watch)
    {
        if (watch->readPending || (watch->requestedEvents & CURL_POLL_IN) == 0) {
            return;
        }
        watch->readPending = true;
        watch->socket.async_wait(
                Socket::wait_read,
                [this, fd, weak = std::weak_ptr<SocketWatch>(watch)](
                        const asio::error_code &error) { this->handleReadable(fd, weak, error); });
    }

    void awaitWrite(curl_socket_t fd, const std::shared_ptr<SocketWatch> &watch)
    {
        if (watch->writePending || (watch->requestedEvents & CURL_POLL_OUT) == 0) {
            return;
        }
        watch->writePending = true;
        watch->socket.async_wait(
                Socket::wait_write,
                [this, fd, weak = std::weak_ptr<SocketWatch>(watch)](
                        const asio::error_code &error) { this->handleWritable(fd, weak, error); });
    }

    void handleReadable(curl_socket_t fd, const std::weak_ptr<SocketWatch> &weak,
                        const asio::error_code &error)
    {
        const std::shared_ptr<SocketWatch> watch = weak.lock();
        if (!watch || error) {
            return;
        }
        watch->readPending = false;
        if ((watch->requestedEvents & CURL_POLL_IN) == 0) {
            return;
        }
        this->runSocketAction(fd, CURL_CSELECT_IN);
        this->awaitNext(fd, watch);
    }

    void handleWritable(curl_socket_t fd, const std::weak_ptr<SocketWatch> &weak,
                        const asio::error_code &error)
    {
        const std::shared_ptr<SocketWatch> watch = weak.lock();
        if (!watch || error) {
            return;
        }
        watch->writePending = false;
        if ((watch->requestedEvents & CURL_POLL_OUT) == 0) {
            return;
        }
        this->runSocketAction(fd, CURL_CSELECT_OUT);
        this->awaitNext(fd, watch);
    }

    void awaitNext(curl_socket_t fd, const std::shared_ptr<SocketWatch> &watch)
    {
        const auto found = this->watches.find(fd);
        if (found != this->watches.end() && found->second == watch) {
            this->awaitRead(fd, watch);
            this->awaitWrite(fd, watch);
        }
    }

    void setTimer(long timeoutMs)
    {
        this->timer.cancel();
        if (timeoutMs < 0) {
            return;
        }
        if (timeoutMs == 0) {
            // Curl is to be called as soon as it has returned, which needs no timer.
            this->postTimeoutAction();
            return;
        }
        this->timer.expires_after(std::chrono::milliseconds(timeoutMs));
        this->timer.async_wait([this](const asio::error_code &error) {
            if (!error) {
                this->runSocketAction(CURL_SOCKET_TIMEOUT, 0);
            }
        });
    }

    void postTimeoutAction()
    {
        if (this->timeoutActionPosted) {
            return;
        }
        this->timeoutActionPosted = true;
        asio::post(this->context, [this] {
            this->timeoutActionPosted = false;
            this->runSocketAction(CURL_SOCKET_TIMEOUT, 0);
        });
    }

    void runSocketAction(curl_socket_t fd, int events)
    {
        int running = 0;
        curl_multi_socket_action(this->multi, fd, events, &running);
        this->endFinished();
    }

    void endFinished()
    {
        int messagesLeft = 0;
        while (const CURLMsg *message = curl_multi_info_read(this->multi, &messagesLeft)) {
            if (message->msg != CURLMSG_DONE) {
                continue;
            }
            CURL *const easy = message->easy_handle;
            const CURLcode code = message->data.result;
            const auto found = this->idByHandle.find(easy);
            if (found != this->idByHandle.end()) {
                this->end(found->second, code);
            }
        }
    }

    std::unique_ptr<CurlExchange> detach(std::uint64_t exchangeId)
    {
        const auto found = this->exchanges.find(exchangeId);
        if (found == this->exchanges.end()) {
            return nullptr;
        }
        std::unique_ptr<CurlExchange> exchange = std::move(found->second);
        curl_multi_remove_handle(this->multi, exchange->handle());
        this->idByHandle.erase(exchange->handle());
        this->exchanges.erase(found);
        return exchange;
    }

    void end(std::uint64_t exchangeId, CURLcode code)
    {
        CurlExchange &current = *this->exchanges.at(exchangeId);
        if (code == CURLE_ABORTED_BY_CALLBACK && current.needsOtherConnection()) {
            curl_multi_remove_handle(this->multi, current.handle());
            curl_multi_add_handle(this->multi, current.handle());
            return;
        }
        const std::unique_ptr<CurlExchange> exchange = this->detach(exchangeId);
        if (exchange) {
            exchange->end(code);
        }
    }

    void removeWaiting()
    {
        const std::lock_guard lock(this->startMutex);
        this->waitingSince.pop_front();
    }

    void begin(std::uint64_t exchangeId, OutgoingRequest request, ExchangeHandlers handlers)
    {
        auto exchange = std::make_unique<CurlExchange>(std::move(request), std::move(handlers));
        this->idByHandle.emplace(exchange->handle(), exchangeId);
        CURL *const easy = exchange->handle();
        this->exchanges.emplace(exchangeId, std::move(exchange));
        curl_multi_add_handle(this->multi, easy);
    }

    void resume(std::uint64_t exchangeId)
    {
        const auto found = this->exchanges.find(exchangeId);
        if (found != this->exchanges.end()) {
            curl_easy_pause(found->second->handle(), CURLPAUSE_CONT);
            this->runSocketAction(CURL_SOCKET_TIMEOUT, 0);
        }
    }

    void fail(std::uint64_t exchangeId, ErrorCode code, const char *detail)
    {
        const std::unique_ptr<CurlExchange> exchange = this->detach(exchangeId);
        if (exchange) {
            exchange->endWith(Error{code, detail});
        }
    }

    void failAll()
    {
        while (!this->exchanges.empty()) {
            this->fail(this->exchanges.begin()->first, ErrorCode::ConnectionBroken,
                       "the HTTP client stops");
        }
    }

    asio::io_context context{1};
    asio::executor_work_guard<asio::io_context::executor_type> work;
    asio::steady_timer timer;
    CURLM *multi = nullptr;
    bool timeoutActionPosted = false; ///< The task of postTimeoutAction() has not run yet.
    std::map<curl_socket_t, std::shared_ptr<SocketWatch>> watches;
    std::unordered_map<std::uint64_t, std::unique_ptr<CurlExchange>> exchanges;
    std::unordered_map<CURL *, std::uint64_t> idByHandle;
    std::atomic<std::uint64_t> nextId{1};
    std::mutex startMutex;
    /// When the exchanges that have not begun were started, oldest first. Guarded by startMutex.
    std::deque<Millis> waitingSince;
    std::thread thread;
};

HttpClient::HttpClient()
{
    startCurl();
    this->loop = std::make_unique<Loop>();
    this->loop->thread = std::thread([raw = this->loop.get()] { raw->context.run(); });
}

HttpClient::~HttpClient()
{
    asio::post(this->loop->context, [raw = this->loop.get()] {
        raw->failAll();
        raw->context.stop();
    });
    this->loop->thread.join();
}

std::uint64_t HttpClient::start(OutgoingRequest request, ExchangeHandlers handlers)
{
    const std::uint64_t exchangeId = this->loop->nextId++;
    const std::lock_guard lock(this->loop->startMutex);
    this->loop->waitingSince.push_back(monotonicNow());
    asio::post(this->loop->context,
               [raw = this->loop.get(), exchangeId, ownedRequest = std::move(request),
                ownedHandlers = std::move(handlers)]() mutable {
                   raw->removeWaiting();
                   raw->begin(exchangeId, std::move(ownedRequest), std::move(ownedHandlers));
               });
    return exchangeId;
}

Millis HttpClient::startDelay() const
{
    const std::lock_guard lock(this->loop->startMutex);
    return this->loop->waitingSince.empty() ? Millis(0)
                                            : monotonicNow() - this->loop->waitingSince.front();
}

void HttpClient::resume(std::uint64_t exchangeId)
{
    asio::post(this->loop->context,
               [raw = this->loop.get(), exchangeId] { raw->resume(exchangeId); });
}

void HttpClient::cancel(std::uint64_t exchangeId)
{
    asio::post(this->loop->context, [raw = this->loop.get(), exchangeId] {
        raw->fail(exchangeId, ErrorCode::CallerGone, "the exchange was cancelled");
    });
}

Result<HttpResponse> HttpClient::fetch(OutgoingRequest request)
{
    struct FetchState
    {
        HttpResponse response;
        std::promise<Result<HttpResponse>> promise;
    };
    auto state = std::make_shared<FetchState>();
    std::future<Result<HttpResponse>> future = state->promise.get_future();
    ExchangeHandlers handlers;
    handlers.onHead = [state](const ResponseHead &head) {
        state->response.status = head.status;
        state->response.headers = head.headers;
    };
    handlers.onBodyChunk = [state](std::string_view chunk) {
        state->response.body += chunk;
        return true;
    };
    handlers.onDone = [state](const Result<void> &result) {
        if (result.has_error()) {
            state->promise.set_value(result.error());
        } else {
            state->promise.set_value(std::move(state->response));
        }
    };
    this->start(std::move(request), std::move(handlers));
    return future.get();
}

} // namespace balsamport
