#include "curl_exchange.h"

#include <algorithm>
#include <mutex>
#include <utility>

namespace balsamport {

namespace {

constexpr std::int64_t millisPerSecond = 1000;
/// Limit of the bytes of all heads of one response, interim ones included. Source: common limits of
/// HTTP servers are 8 to 64 KiB.
constexpr std::size_t maxHeadBytes = 64 * 1024;

} // namespace

void startCurl()
{
    static std::once_flag once;
    std::call_once(once, [] { curl_global_init(CURL_GLOBAL_DEFAULT); });
}

CurlExchange::CurlExchange(OutgoingRequest ownedRequest, ExchangeHandlers ownedHandlers)
    : request(std::move(ownedRequest))
    , handlers(std::move(ownedHandlers))
    , reader(this->request.method == "HEAD")
    , easy(curl_easy_init())
{
    this->setOptions();
    this->setMessage();
}

CurlExchange::~CurlExchange()
{
    curl_easy_cleanup(this->easy);
    curl_slist_free_all(this->headerList);
}

void CurlExchange::setOptions()
{
    curl_easy_setopt(this->easy, CURLOPT_URL, this->request.url.c_str());
    curl_easy_setopt(this->easy, CURLOPT_PROTOCOLS_STR, "http,https");
    curl_easy_setopt(this->easy, CURLOPT_PROXY, "");
    curl_easy_setopt(this->easy, CURLOPT_NOPROXY, "*");
    curl_easy_setopt(this->easy, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(this->easy, CURLOPT_TCP_NODELAY, 1L);
    // Chunks are passed on as they came and decoded by the reader; libcurl's decoder takes "1O" for
    // a size of 1.
    curl_easy_setopt(this->easy, CURLOPT_HTTP_TRANSFER_DECODING, 0L);
    curl_easy_setopt(this->easy, CURLOPT_HTTP_VERSION, CURL_HTTP_VERSION_1_1);
    curl_easy_setopt(this->easy, CURLOPT_CONNECTTIMEOUT_MS,
                     static_cast<long>(this->request.connectTimeout.count()));
    curl_easy_setopt(this->easy, CURLOPT_TIMEOUT_MS,
                     static_cast<long>(this->request.timeout.count()));
    curl_easy_setopt(
            this->easy, CURLOPT_MAXAGE_CONN,
            static_cast<long>(this->request.maxConnectionIdleTime.count() / millisPerSecond));
    if (!this->request.target.empty()) {
        curl_easy_setopt(this->easy, CURLOPT_REQUEST_TARGET, this->request.target.c_str());
    }
    curl_easy_setopt(this->easy, CURLOPT_FRESH_CONNECT, this->request.freshConnection ? 1L : 0L);
    if (this->request.idleTimeout > Millis(0)) {
        const std::int64_t seconds
                = (this->request.idleTimeout.count() + millisPerSecond - 1) / millisPerSecond;
        curl_easy_setopt(this->easy, CURLOPT_LOW_SPEED_LIMIT, 1L);
        curl_easy_setopt(this->easy, CURLOPT_LOW_SPEED_TIME, static_cast<long>(seconds));
    }
    curl_easy_setopt(this->easy, CURLOPT_PREREQFUNCTION, &CurlExchange::onPrerequest);
    curl_easy_setopt(this->easy, CURLOPT_PREREQDATA, this);
    curl_easy_setopt(this->easy, CURLOPT_HEADERFUNCTION, &CurlExchange::onHeader);
    curl_easy_setopt(this->easy, CURLOPT_HEADERDATA, this);
    curl_easy_setopt(this->easy, CURLOPT_WRITEFUNCTION, &CurlExchange::onBody);
    curl_easy_setopt(this->easy, CURLOPT_WRITEDATA, this);
}

void CurlExchange::setMessage()
{
    for (const HttpHeader &header : this->request.headers) {
        // libcurl takes "NAME:" for a field that is not sent, and "NAME;" for one without a value.
        const bool isBlank = header.value.find_first_not_of(" \t") == std::string::npos;
        const std::string line = isBlank ? header.name + ";" : header.name + ": " + header.value;
        this->headerList = curl_slist_append(this->headerList, line.c_str());
    }
    this->headerList = curl_slist_append(this->headerList, "Expect:");
    if (this->request.method != "GET" || !this->request.body.empty()) {
        curl_easy_setopt(this->easy, CURLOPT_CUSTOMREQUEST, this->request.method.c_str());
    }
    const bool bodiless = this->request.method == "GET" || this->request.method == "HEAD";
    if (!bodiless || !this->request.body.empty()) {
        curl_easy_setopt(this->easy, CURLOPT_POST, 1L);
        curl_easy_setopt(this->easy, CURLOPT_POSTFIELDSIZE_LARGE,
                         static_cast<curl_off_t>(this->request.body.size()));
        curl_easy_setopt(this->easy, CURLOPT_POSTFIELDS, this->request.body.data());
    }
    if (this->request.method == "HEAD") {
        curl_easy_setopt(this->easy, CURLOPT_NOBODY, 1L);
    }
    curl_easy_setopt(this->easy, CURLOPT_HTTPHEADER, this->headerList);
}

int CurlExchange::onPrerequest(void *user, char *remoteIp, char *localIp, int remotePort,
                               int localPort)
{
    const std::string connection = std::string(localIp) + ":" + std::to_string(localPort) + " "
            + remoteIp + ":" + std::to_string(remotePort);
    return static_cast<CurlExchange *>(user)->confirmSend(connection) ? CURL_PREREQFUNC_OK
                                                                      : CURL_PREREQFUNC_ABORT;
}

bool CurlExchange::confirmSend(const std::string &connection)
{
    this->connectionRefused = false;
    // libcurl resends a request when a kept connection breaks before a response; this is refused.
    if (this->sendingStarted) {
        return false;
    }
    if (this->handlers.mayStillSend && !this->handlers.mayStillSend()) {
        this->sendRefused = true;
        return false;
    }
    if (this->request.carriedBy
        && !this->request.carriedBy->connections.insert(connection).second) {
        // Curl closes it, so that the number of further tries is bounded. A new connection that was
        // given the endpoints of a closed one is taken for it once.
        this->request.carriedBy->connections.erase(connection);
        this->connectionRefused = true;
        return false;
    }
    this->sendingStarted = true;
    return true;
}

std::size_t CurlExchange::onHeader(char *data, std::size_t size, std::size_t count, void *user)
{
    auto *self = static_cast<CurlExchange *>(user);
    const std::size_t bytes = size * count;
    self->headBytes += bytes;
    if (self->headBytes > maxHeadBytes) {
        self->responseTooLong = true;
        return 0; // Ends the exchange.
    }
    const Result<void> read = self->reader.readHeadLine(std::string_view(data, bytes));
    if (read.has_error()) {
        self->malformation = read.error();
        return 0;
    }
    if (self->reader.isHeadComplete()) {
        self->deliverHead();
    }
    return bytes;
}

void CurlExchange::deliverHead()
{
    if (this->headDelivered) {
        return;
    }
    this->headDelivered = true;
    if (this->handlers.onHead) {
        this->handlers.onHead(this->reader.head());
    }
}

std::size_t CurlExchange::onBody(char *data, std::size_t size, std::size_t count, void *user)
{
    auto *self = static_cast<CurlExchange *>(user);
    const std::size_t bytes = size * count;
    const std::size_t replayed = std::min(self->readAhead, bytes);
    const std::size_t maxBytes = self->request.maxResponseBytes;
    if (maxBytes != 0 && self->headBytes + self->bodyBytes + bytes - replayed > maxBytes) {
        self->responseTooLong = true;
        return 0; // Ends the exchange.
    }
    if (!self->malformation) {
        const Result<void> read
                = self->reader.readBody(std::string_view(data, bytes).substr(replayed));
        if (read.has_error()) {
            self->malformation = read.error();
        }
        self->pendingContent += self->reader.takeContent();
    }
    self->bodyBytes += bytes - replayed;
    if (!self->deliverContent()) {
        self->readAhead = std::max(self->readAhead, bytes);
        return CURL_WRITEFUNC_PAUSE;
    }
    self->readAhead -= replayed;
    // Bytes behind the response belong to no request, so the connection is closed as well.
    return self->malformation || self->reader.hasSurplus() ? 0 : bytes;
}

bool CurlExchange::deliverContent()
{
    if (!this->pendingContent.empty() && this->handlers.onBodyChunk
        && !this->handlers.onBodyChunk(this->pendingContent)) {
        return false;
    }
    this->pendingContent.clear();
    return true;
}

Error CurlExchange::errorOf(CURLcode code) const
{
    const std::string detail = this->request.url + ": " + curl_easy_strerror(code);
    if (this->sendRefused) {
        return Error{ErrorCode::ClaimExpired, this->request.url + ": too late to send"};
    }
    if (!this->sendingStarted) {
        return Error{ErrorCode::ConnectFailed, detail};
    }
    if (this->responseTooLong) {
        return Error{ErrorCode::BadResponse, this->request.url + ": the answer has no end"};
    }
    if (this->malformation) {
        return Error{this->malformation->code,
                     this->request.url + ": " + this->malformation->detail};
    }
    switch (code) {
    case CURLE_OPERATION_TIMEDOUT:
        return Error{ErrorCode::Timeout, detail};
    case CURLE_WEIRD_SERVER_REPLY:
    case CURLE_UNSUPPORTED_PROTOCOL:
    case CURLE_BAD_CONTENT_ENCODING: // An unknown transfer coding.
        return Error{ErrorCode::MalformedResponse, detail};
    default:
        return Error{ErrorCode::ConnectionBroken, detail};
    }
}

void CurlExchange::end(CURLcode code)
{
    if (code == CURLE_OK) {
        const Result<void> read = this->reader.readEnd();
        if (read.has_error()) {
            this->malformation = read.error();
        }
    }
    // A whole response stays one, also where libcurl was stopped behind it.
    const bool isWhole = this->reader.isComplete() && this->pendingContent.empty()
            && !this->malformation && !this->responseTooLong;
    if (!isWhole) {
        this->endWith(this->errorOf(code));
    } else if (this->handlers.onDone) {
        this->handlers.onDone(BOOST_OUTCOME_V2_NAMESPACE::success());
    }
}

void CurlExchange::endWith(const Error &error)
{
    if (this->handlers.onDone) {
        this->handlers.onDone(error);
    }
}

} // namespace balsamport
