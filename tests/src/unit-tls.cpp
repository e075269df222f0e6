// Guards against a server that starts with an unusable or exposed key, which callers would notice
// only later, and against callers that are served without TLS.

#include <balsamport/http/http_server.h>

#include <certificate_files.h>

#include <catch2/catch.hpp>

#include <curl/curl.h>
#include <sys/stat.h>

using namespace balsamport;
using namespace balsamport::testing;

namespace {

const std::string listenAddress = "127.0.0.1:18495";
Result<std::unique_ptr<HttpServer>> startServer(const std::string &certificate,
                                                const std::string &key)
{
    HttpServerSettings settings;
    settings.address = listenAddress;
    settings.tlsCertificateFile = certificate;
    settings.tlsKeyFile = key;
    return HttpServer::start(settings, [](const auto & /*request*/, const auto &writer) {
        writer->send(HttpResponse{200, {}, "hello"});
    });
}

/// Sends a request as a caller that trusts only the given certificate.
CURLcode connectTo(const std::string &scheme, const std::string &trusted)
{
    CURL *const easy = curl_easy_init();
    const std::string url = scheme + "://localhost:18495/";
    curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
    curl_easy_setopt(easy, CURLOPT_PROXY, "");
    curl_easy_setopt(easy, CURLOPT_CAINFO, trusted.c_str());
    curl_easy_setopt(easy, CURLOPT_TIMEOUT, 5L);
    curl_easy_setopt(
            easy, CURLOPT_WRITEFUNCTION,
            +[](char *, std::size_t size, std::size_t count, void *) { return size * count; });
    const CURLcode code = curl_easy_perform(easy);
    curl_easy_cleanup(easy);
    return code;
}

} // namespace

TEST_CASE("a server with TLS")
{
    const CertificateFiles files("tls-valid", daySeconds);

    SECTION("a caller that trusts the certificate gets a response")
    {
        const auto server = startServer(files.certificate, files.key);
        REQUIRE(server.has_value());
        REQUIRE(connectTo("https", files.certificate) == CURLE_OK);

        SECTION("a request without TLS fails")
        {
            REQUIRE(connectTo("http", files.certificate) != CURLE_OK);
        }

        SECTION("a caller that trusts another certificate rejects the server")
        {
            const CertificateFiles other("tls-other", daySeconds);
            REQUIRE(connectTo("https", other.certificate) == CURLE_PEER_FAILED_VERIFICATION);
        }
    }

    SECTION("an expired certificate is refused at start")
    {
        const CertificateFiles expired("tls-expired", -daySeconds);
        const auto server = startServer(expired.certificate, expired.key);
        REQUIRE(server.has_error());
        REQUIRE(server.error().code == ErrorCode::KeyFileInvalid);
        REQUIRE(server.error().detail == "the certificate has expired");
    }

    SECTION("a key file that other users can read is refused")
    {
        chmod(files.key.c_str(), S_IRUSR | S_IWUSR | S_IRGRP);
        const auto server = startServer(files.certificate, files.key);
        REQUIRE(server.has_error());
        REQUIRE(server.error().code == ErrorCode::KeyFilePermissions);
    }

    SECTION("the key of another certificate is refused")
    {
        const CertificateFiles other("tls-other", daySeconds);
        const auto server = startServer(files.certificate, other.key);
        REQUIRE(server.has_error());
        REQUIRE(server.error().code == ErrorCode::KeyFileInvalid);
    }

    SECTION("a certificate without a key file is refused")
    {
        const auto server = startServer(files.certificate, "");
        REQUIRE(server.has_error());
        REQUIRE(server.error().code == ErrorCode::KeyFileInvalid);
    }
}
