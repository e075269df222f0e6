#ifndef BALSAMPORT_HTTP_CURL_EXCHANGE_H
#define BALSAMPORT_HTTP_CURL_EXCHANGE_H

#include "response_reader.h"

#include <balsamport/http/http_client.h>

#include <curl/curl.h>

#include <optional>

namespace balsamport {

/// @brief Initializes libcurl once for the process. May be called repeatedly, from any thread.
void startCurl();

/// @brief One exchange on a curl easy handle. Used on the client's thread only.
class CurlExchange
{
public:
    CurlExchange(OutgoingRequest request, ExchangeHandlers handlers);
    ~CurlExchange();
    CurlExchange(const CurlExchange &) = delete;
    CurlExchange &operator=(const CurlExchange &) = delete;

    [[nodiscard]] CURL *handle() const noexcept { return this->easy; }

    /// @return true where curl closed a connection that had carried the request before, and the
    /// exchange must begin again on another one
    [[nodiscard]] bool needsOtherConnection() const noexcept { return this->connectionRefused; }

    /// @brief Ends the exchange with a result of curl.
    void end(CURLcode code);

    /// @brief Ends the exchange with an error that curl did not report, such as a cancellation.
    void endWith(const Error &error);

private:
    static int onPrerequest(void *user, char *remoteIp, char *localIp, int remotePort,
                            int localPort);
    static std::size_t onHeader(char *data, std::size_t size, std::size_t count, void *user);
    static std::size_t onBody(char *data, std::size_t size, std::size_t count, void *user);

    void setOptions();
    void setMessage();
    bool confirmSend(const std::string &connection);
    void deliverHead();
    [[nodiscard]] bool deliverContent();
    [[nodiscard]] Error errorOf(CURLcode code) const;

    OutgoingRequest request;
    ExchangeHandlers handlers;
    ResponseReader reader;
    CURL *easy = nullptr;
    curl_slist *headerList = nullptr;
    bool headDelivered = false;
    bool sendingStarted = false;
    bool sendRefused = false;
    bool connectionRefused = false; ///< The chosen connection carried the request before.
    std::size_t headBytes = 0; ///< Of all heads so far, interim ones included.
    std::size_t bodyBytes = 0; ///< As they came.
    std::string pendingContent; ///< Decoded, but not yet accepted by onBodyChunk.
    /// Bytes that were read before the exchange was paused; libcurl passes them again.
    std::size_t readAhead = 0;
    std::optional<Error> malformation; ///< Why the bytes are no response.
    bool responseTooLong = false; ///< The response exceeded the limit of its head or its length.
};

} // namespace balsamport

#endif
