#include <balsamport/http/http_client.h>

#include "curl_exchange.h"

#include <balsamport/core/log.h>

#include <asio.hpp>

#include <algorithm>
#include <atomic>
#include <future>
#include <map>
#include <thread>
#include <unordered_map>
#include <utility>

namespace balsamport {

namespace {

constexpr long maxKeptConnections = 4096;

} // namespace

/// Drives libcurl's multi interface from Asio: curl names the sockets, Asio waits for them.
struct HttpClient::Loop
{
    using Socket = asio::posix::stream_descriptor;

    /// What curl waits for on one socket.
    struct Watch
    {
        explicit Watch(asio::io_context &context, curl_socket_t fd)
            : socket(context)
        {
            asio::error_code failure;
            this->socket.assign(fd, failure);
            if (failure) {
                // Nothing may be thrown through libcurl. Its own time-outs end the request.
                LOG(ERROR) << logprefix::http
                           << "Could not watch a socket. error=" << failure.message();
            }
        }
        ~Watch() { this->release(); }
        /// Stops watching, at once. The socket is libcurl's.
        void release()
        {
            if (this->socket.is_open()) {
                this->socket.release();
            }
        }
        Watch(const Watch &) = delete;
        Watch &operator=(const Watch &) = delete;

        Socket socket;
        int wanted = 0;
        bool waitingRead = false;
        bool waitingWrite = false;
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
        for (auto &[number, exchange] : this->exchanges) {
            curl_multi_remove_handle(this->multi, exchange->handle());
        }
        this->exchanges.clear();
        curl_multi_cleanup(this->multi);
    }

    static int onSocket(CURL * /*easy*/, curl_socket_t fd, int what, void *user, void * /*own*/)
    {
        static_cast<Loop *>(user)->watchSocket(fd, what);
        return 0;
    }

    static int onTimer(CURLM * /*multi*/, long timeoutMs, void *user)
    {
        static_cast<Loop *>(user)->setTimer(timeoutMs);
        return 0;
    }

    void watchSocket(curl_socket_t fd, int what)
    {
        if (what == CURL_POLL_REMOVE) {
            // A handler that runs now may still hold the watch, while libcurl goes on to use the
            // socket for its next request, or closes it and opens another of the same number.
            const auto found = this->watches.find(fd);
            if (found != this->watches.end()) {
                found->second->release();
                this->watches.erase(found);
            }
            return;
        }
        auto &watch = this->watches[fd];
        if (!watch) {
            watch = std::make_shared<Watch>(this->context, fd);
        }
        watch->wanted = what;
        this->waitRead(fd, watch);
        this->waitWrite(fd, watch);
    }

    void waitRead(curl_socket_t fd, const std::shared_ptr<Watch> &watch)
    {
        if (watch->waitingRead || (watch->wanted & CURL_POLL_IN) == 0) {
            return;
        }
        watch->waitingRead = true;
        watch->socket.async_wait(
                Socket::wait_read,
                [this, fd, weak = std::weak_ptr<Watch>(watch)](const asio::error_code &error) {
                    this->readable(fd, weak, error);
                });
    }

    void waitWrite(curl_socket_t fd, const std::shared_ptr<Watch> &watch)
    {
        if (watch->waitingWrite || (watch->wanted & CURL_POLL_OUT) == 0) {
            return;
        }
        watch->waitingWrite = true;
        watch->socket.async_wait(
                Socket::wait_write,
                [this, fd, weak = std::weak_ptr<Watch>(watch)](const asio::error_code &error) {
                    this->writable(fd, weak, error);
                });
    }

    void readable(curl_socket_t fd, const std::weak_ptr<Watch> &weak, const asio::error_code &error)
    {
        const std::shared_ptr<Watch> watch = weak.lock();
        if (!watch || error) {
            return;
        }
        watch->waitingRead = false;
        if ((watch->wanted & CURL_POLL_IN) == 0) {
            return;
        }
        this->act(fd, CURL_CSELECT_IN);
        this->waitAgain(fd, watch);
    }

    void writable(curl_socket_t fd, const std::weak_ptr<Watch> &weak, const asio::error_code &error)
    {
        const std::shared_ptr<Watch> watch = weak.lock();
        if (!watch || error) {
            return;
        }
        watch->waitingWrite = false;
        if ((watch->wanted & CURL_POLL_OUT) == 0) {
            return;
        }
        this->act(fd, CURL_CSELECT_OUT);
        this->waitAgain(fd, watch);
    }

    void waitAgain(curl_socket_t fd, const std::shared_ptr<Watch> &watch)
    {
        const auto found = this->watches.find(fd);
        if (found != this->watches.end() && found->second == watch) {
            this->waitRead(fd, watch);
            this->waitWrite(fd, watch);
        }
    }

    void setTimer(long timeoutMs)
    {
        this->timer.cancel();
        if (timeoutMs < 0) {
            return;
        }
        if (timeoutMs == 0) {
            // Curl wants to be called as soon as it has returned, which needs no timer.
            this->actSoon();
            return;
        }
        this->timer.expires_after(std::chrono::milliseconds(timeoutMs));
        this->timer.async_wait([this](const asio::error_code &error) {
            if (!error) {
                this->act(CURL_SOCKET_TIMEOUT, 0);
            }
        });
    }

    void actSoon()
    {
        if (this->actPosted) {
            return;
        }
        this->actPosted = true;
        asio::post(this->context, [this] {
            this->actPosted = false;
            this->act(CURL_SOCKET_TIMEOUT, 0);
        });
    }

    void act(curl_socket_t fd, int events)
    {
        int running = 0;
        curl_multi_socket_action(this->multi, fd, events, &running);
        this->collect();
    }

    void collect()
    {
        int left = 0;
        while (const CURLMsg *message = curl_multi_info_read(this->multi, &left)) {
            if (message->msg != CURLMSG_DONE) {
                continue;
            }
            CURL *const easy = message->easy_handle;
            const CURLcode code = message->data.result;
            const auto found = this->numbers.find(easy);
            if (found != this->numbers.end()) {
                this->end(found->second, code);
            }
        }
    }

    std::unique_ptr<CurlExchange> detach(std::uint64_t number)
    {
        const auto found = this->exchanges.find(number);
        if (found == this->exchanges.end()) {
            return nullptr;
        }
        std::unique_ptr<CurlExchange> exchange = std::move(found->second);
        curl_multi_remove_handle(this->multi, exchange->handle());
        this->numbers.erase(exchange->handle());
        this->exchanges.erase(found);
        return exchange;
    }

    void end(std::uint64_t number, CURLcode code)
    {
        const std::unique_ptr<CurlExchange> exchange = this->detach(number);
        if (exchange) {
            exchange->end(code);
        }
    }

    void begin(std::uint64_t number, OutgoingRequest request, ExchangeHandlers handlers)
    {
        auto exchange = std::make_unique<CurlExchange>(std::move(request), std::move(handlers));
        this->numbers.emplace(exchange->handle(), number);
        CURL *const easy = exchange->handle();
        this->exchanges.emplace(number, std::move(exchange));
        curl_multi_add_handle(this->multi, easy);
    }

    void resume(std::uint64_t number)
    {
        const auto found = this->exchanges.find(number);
        if (found != this->exchanges.end()) {
            curl_easy_pause(found->second->handle(), CURLPAUSE_CONT);
            this->act(CURL_SOCKET_TIMEOUT, 0);
        }
    }

    void abandon(std::uint64_t number, ErrorCode code, const char *detail)
    {
        const std::unique_ptr<CurlExchange> exchange = this->detach(number);
        if (exchange) {
            exchange->endWith(Error{code, detail});
        }
    }

    void abandonAll()
    {
        while (!this->exchanges.empty()) {
            this->abandon(this->exchanges.begin()->first, ErrorCode::ConnectionBroken,
                          "the HTTP client stops");
        }
    }

    asio::io_context context{1};
    asio::executor_work_guard<asio::io_context::executor_type> work;
    asio::steady_timer timer;
    CURLM *multi = nullptr;
    bool actPosted = false; ///< actSoon() is under way.
    std::map<curl_socket_t, std::shared_ptr<Watch>> watches;
    std::unordered_map<std::uint64_t, std::unique_ptr<CurlExchange>> exchanges;
    std::unordered_map<CURL *, std::uint64_t> numbers;
    std::atomic<std::uint64_t> nextNumber{1};
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
        raw->abandonAll();
        raw->context.stop();
    });
    this->loop->thread.join();
}

std::uint64_t HttpClient::start(OutgoingRequest request, ExchangeHandlers handlers)
{
    const std::uint64_t number = this->loop->nextNumber++;
    asio::post(this->loop->context,
               [raw = this->loop.get(), number, ownedRequest = std::move(request),
                ownedHandlers = std::move(handlers)]() mutable {
                   raw->begin(number, std::move(ownedRequest), std::move(ownedHandlers));
               });
    return number;
}

void HttpClient::resume(std::uint64_t number)
{
    asio::post(this->loop->context, [raw = this->loop.get(), number] { raw->resume(number); });
}

void HttpClient::cancel(std::uint64_t number)
{
    asio::post(this->loop->context, [raw = this->loop.get(), number] {
        raw->abandon(number, ErrorCode::CallerGone, "the exchange was cancelled");
    });
}

Result<HttpResponse> HttpClient::fetch(OutgoingRequest request)
{
    struct Fetch
    {
        HttpResponse answer;
        std::promise<Result<HttpResponse>> promise;
    };
    auto state = std::make_shared<Fetch>();
    std::future<Result<HttpResponse>> future = state->promise.get_future();
    ExchangeHandlers handlers;
    handlers.onHead = [state](const ResponseHead &head) {
        state->answer.status = head.status;
        state->answer.headers = head.headers;
    };
    handlers.onBodyChunk = [state](std::string_view piece) {
        state->answer.body += piece;
        return true;
    };
    handlers.onDone = [state](const Result<void> &result) {
        if (result.has_error()) {
            state->promise.set_value(result.error());
        } else {
            state->promise.set_value(std::move(state->answer));
        }
    };
    this->start(std::move(request), std::move(handlers));
    return future.get();
}

} // namespace balsamport
