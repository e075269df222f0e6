#include "response_reader.h"

#include <balsamport/core/http_status.h>

#include <boost/beast/http/basic_parser.hpp>

#include <cstdint>
#include <limits>
#include <utility>

namespace balsamport {

namespace {

namespace http = boost::beast::http;
using ErrorOfParser = boost::beast::error_code;
using Text = boost::beast::string_view;

/// Limit of a head, of a chunk's size with its extensions, and of a trailer. Source: common limits
/// of HTTP servers are 8 to 64 KiB.
constexpr std::uint32_t maxUnreadBytes = 64 * 1024;
constexpr int switchingProtocols = 101;
constexpr int noContent = 204;
constexpr int lowestStatus = 100;
constexpr int highestStatus = 599;
constexpr int oldVersion = 10; ///< HTTP/1.0, which knows no chunks.

Error malformed(const std::string &reason)
{
    return Error{ErrorCode::MalformedResponse, reason};
}

Result<void> success()
{
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

} // namespace

/// Adds to Boost.Beast's checks those of the rules that it leaves to its user.
class ResponseReader::Parser : public http::basic_parser<false>
{
public:
    explicit Parser(bool toHead)
    {
        this->header_limit(maxUnreadBytes);
        // Without a limit the parser of Boost 1.74 refuses every length.
        this->body_limit(std::numeric_limits<std::uint64_t>::max());
        this->eager(true);
        this->skip(toHead);
    }

    ResponseHead head;
    std::string content;

private:
    void on_request_impl(http::verb /*verb*/, Text /*method*/, Text /*target*/, int /*version*/,
                         ErrorOfParser & /*error*/) override
    { }

    void on_response_impl(int status, Text /*reason*/, int version, ErrorOfParser &error) override
    {
        this->head.status = status;
        this->version = version;
        // The daemon never asks for another protocol, so no server may switch to one.
        if (status < lowestStatus || status > highestStatus || status == switchingProtocols) {
            error = http::error::bad_status;
        }
    }

    void on_field_impl(http::field field, Text name, Text value, ErrorOfParser &error) override
    {
        if (this->is_header_done()) {
            return; // A trailer.
        }
        // Without a TE field in the request, chunks are the only coding that a server may use.
        if (field == http::field::transfer_encoding
            && (this->version == oldVersion || !boost::beast::iequals(value, "chunked"))) {
            error = http::error::bad_transfer_encoding;
        }
        this->head.headers.push_back(HttpHeader{std::string(name), std::string(value)});
    }

    void on_header_impl(ErrorOfParser &error) override
    {
        const bool hasNoBody = this->head.status < httpstatus::ok || this->head.status == noContent;
        if (hasNoBody && this->chunked()) {
            error = http::error::bad_transfer_encoding;
        } else if (hasNoBody && this->content_length().value_or(0) > 0) {
            error = http::error::bad_content_length;
        }
    }

    void on_body_init_impl(const boost::optional<std::uint64_t> & /*length*/,
                           ErrorOfParser & /*error*/) override
    { }

    std::size_t on_body_impl(Text bytes, ErrorOfParser & /*error*/) override
    {
        this->content.append(bytes.data(), bytes.size());
        return bytes.size();
    }

    void on_chunk_header_impl(std::uint64_t /*size*/, Text /*extensions*/,
                              ErrorOfParser & /*error*/) override
    { }

    std::size_t on_chunk_body_impl(std::uint64_t /*left*/, Text bytes,
                                   ErrorOfParser & /*error*/) override
    {
        this->content.append(bytes.data(), bytes.size());
        return bytes.size();
    }

    void on_finish_impl(ErrorOfParser & /*error*/) override { }

    int version = 0; ///< Ten times the major number, plus the minor one.
};

ResponseReader::ResponseReader(bool responseToHead)
    : toHead(responseToHead)
{ }

ResponseReader::~ResponseReader() = default;

Result<void> ResponseReader::readHeadLine(std::string_view line)
{
    if (this->headComplete) {
        return success();
    }
    // RFC 9112, 5.2, lets a gateway refuse folded lines. Joined to the field before, one wrong byte
    // at the beginning of a field would change the value of another.
    if (!line.empty() && (line.front() == ' ' || line.front() == '\t')) {
        return malformed("a folded line in the head");
    }
    if (this->unread.size() + line.size() > maxUnreadBytes) {
        return malformed("the head has no end");
    }
    this->unread += line;
    return line == "\r\n" || line == "\n" ? this->readHead() : success();
}

Result<void> ResponseReader::readHead()
{
    this->parser = std::make_unique<Parser>(this->toHead);
    ErrorOfParser error;
    const std::size_t read = this->parser->put(
            boost::asio::const_buffer(this->unread.data(), this->unread.size()), error);
    const bool isWhole = this->parser->is_header_done() && read == this->unread.size();
    this->unread.clear();
    if (error && error != http::error::need_more) {
        return malformed(error.message());
    }
    if (!isWhole) {
        return malformed("the head ends early");
    }
    if (this->parser->head.status >= httpstatus::ok) {
        this->finalHead = std::move(this->parser->head);
        this->headComplete = true;
    }
    return success();
}

Result<void> ResponseReader::readBody(std::string_view bytes)
{
    if (!this->headComplete) {
        return malformed("a body without a head");
    }
    if (this->isComplete()) {
        this->surplus = this->surplus || !bytes.empty();
        return success();
    }
    if (!this->unread.empty()) {
        this->unread += bytes;
        bytes = this->unread;
    }
    ErrorOfParser error;
    const std::size_t read
            = this->parser->put(boost::asio::const_buffer(bytes.data(), bytes.size()), error);
    if (error && error != http::error::need_more) {
        return malformed(error.message());
    }
    this->unread = std::string(bytes.substr(read));
    if (this->isComplete()) {
        this->surplus = !this->unread.empty();
    } else if (this->unread.size() > maxUnreadBytes) {
        return malformed("a chunk size or a trailer has no end");
    }
    return success();
}

Result<void> ResponseReader::readEnd()
{
    if (this->isComplete()) {
        return success();
    }
    if (!this->headComplete || !this->parser->need_eof()) {
        return malformed("the response ends early");
    }
    ErrorOfParser error;
    this->parser->put_eof(error);
    return error ? Result<void>(malformed(error.message())) : success();
}

std::string ResponseReader::takeContent()
{
    return this->parser ? std::exchange(this->parser->content, {}) : std::string();
}

bool ResponseReader::isComplete() const noexcept
{
    return this->headComplete && this->parser->is_done();
}

} // namespace balsamport
