// Guards against a server that starts with an unusable or exposed key, which callers would notice
// only later, and against callers that are served without TLS.

#include <balsamport/http/http_server.h>

#include <catch2/catch.hpp>

#include <curl/curl.h>
#include <openssl/pem.h>
#include <openssl/x509.h>

#include <sys/stat.h>
#include <unistd.h>

#include <array>
#include <cstdio>
#include <memory>

using namespace balsamport;

namespace {

const std::string listenAddress = "127.0.0.1:18491";
constexpr long daySeconds = 86'400;

using Key = std::unique_ptr<EVP_PKEY, decltype(&EVP_PKEY_free)>;
using Certificate = std::unique_ptr<X509, decltype(&X509_free)>;

/// A self-signed certificate and its key in two files, which the destructor removes.
class CertificateFiles
{
public:
    CertificateFiles(const std::string &name, long validForSeconds)
        : certificate(name + "-" + std::to_string(getpid()) + ".crt")
        , key(name + "-" + std::to_string(getpid()) + ".key")
    {
        const Key pair(EVP_EC_gen("P-256"), &EVP_PKEY_free);
        const Certificate signedCertificate(X509_new(), &X509_free);
        X509 *const x509 = signedCertificate.get();
        X509_set_version(x509, X509_VERSION_3);
        ASN1_INTEGER_set(X509_get_serialNumber(x509), 1);
        X509_gmtime_adj(X509_getm_notBefore(x509), -2 * daySeconds);
        X509_gmtime_adj(X509_getm_notAfter(x509), validForSeconds);
        X509_set_pubkey(x509, pair.get());
        X509_NAME *const subject = X509_get_subject_name(x509);
        const std::array<unsigned char, 10> commonName{"localhost"};
        X509_NAME_add_entry_by_txt(subject, "CN", MBSTRING_ASC, commonName.data(), -1, -1, 0);
        X509_set_issuer_name(x509, subject);
        X509_sign(x509, pair.get(), EVP_sha256());
        this->write(x509, pair.get());
    }
    ~CertificateFiles()
    {
        std::remove(this->certificate.c_str());
        std::remove(this->key.c_str());
    }
    CertificateFiles(const CertificateFiles &) = delete;
    CertificateFiles &operator=(const CertificateFiles &) = delete;

    std::string certificate;
    std::string key;

private:
    void write(X509 *x509, EVP_PKEY *pair) const
    {
        std::FILE *file = std::fopen(this->certificate.c_str(), "w");
        PEM_write_X509(file, x509);
        std::fclose(file);
        file = std::fopen(this->key.c_str(), "w");
        PEM_write_PrivateKey(file, pair, nullptr, nullptr, 0, nullptr, nullptr);
        std::fclose(file);
        chmod(this->key.c_str(), S_IRUSR | S_IWUSR);
    }
};

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
    const std::string url = scheme + "://localhost:18491/";
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
