#include "server_runner.h"

#include <restinio/tls.hpp>

#include <openssl/x509.h>

#include <sys/stat.h>

namespace balsamport {

namespace {

using TlsContext = std::shared_ptr<asio::ssl::context>;

Error keyFileError(ErrorCode code, const std::string &file, const std::string &detail)
{
    return Error{code, detail, SourceLocation{file, 0, ""}};
}

/// Refuses a key file that others than its owner can access.
Result<void> checkPermissions(const std::string &file)
{
    struct stat status
    { };
    if (stat(file.c_str(), &status) != 0) {
        return keyFileError(ErrorCode::KeyFileInvalid, file, "the file cannot be read");
    }
    constexpr mode_t othersMask = S_IRWXG | S_IRWXO;
    if ((status.st_mode & othersMask) != 0) {
        return keyFileError(ErrorCode::KeyFilePermissions, file,
                            "the key must be accessible to its owner only; expected mode 600");
    }
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

/// Refuses a certificate that has expired or is not valid yet.
Result<void> checkValidity(asio::ssl::context &context, const std::string &file)
{
    const X509 *const certificate = SSL_CTX_get0_certificate(context.native_handle());
    if (certificate == nullptr) {
        return keyFileError(ErrorCode::KeyFileInvalid, file, "the file contains no certificate");
    }
    if (X509_cmp_current_time(X509_get0_notAfter(certificate)) <= 0) {
        return keyFileError(ErrorCode::KeyFileInvalid, file, "the certificate has expired");
    }
    if (X509_cmp_current_time(X509_get0_notBefore(certificate)) >= 0) {
        return keyFileError(ErrorCode::KeyFileInvalid, file, "the certificate is not valid yet");
    }
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

Result<TlsContext> loadContext(const HttpServerSettings &settings)
{
    auto context = std::make_shared<asio::ssl::context>(asio::ssl::context::tls_server);
    context->set_options(asio::ssl::context::default_workarounds | asio::ssl::context::no_tlsv1
                         | asio::ssl::context::no_tlsv1_1);
    asio::error_code error;
    context->use_certificate_chain_file(settings.tlsCertificateFile, error);
    if (error) {
        return keyFileError(ErrorCode::KeyFileInvalid, settings.tlsCertificateFile,
                            error.message());
    }
    context->use_private_key_file(settings.tlsKeyFile, asio::ssl::context::pem, error);
    if (error) {
        return keyFileError(ErrorCode::KeyFileInvalid, settings.tlsKeyFile, error.message());
    }
    return context;
}

} // namespace

Result<std::unique_ptr<ServerRunner>> runTlsServer(const RunnerSettings &settings)
{
    const HttpServerSettings &http = settings.http;
    const Result<void> permissions = checkPermissions(http.tlsKeyFile);
    if (permissions.has_error()) {
        return permissions.error();
    }
    const Result<TlsContext> context = loadContext(http);
    if (context.has_error()) {
        return context.error();
    }
    const Result<void> validity = checkValidity(*context.value(), http.tlsCertificateFile);
    if (validity.has_error()) {
        return validity.error();
    }
    using Traits = ServerTraits<
            restinio::tls_traits_t<restinio::asio_timer_manager_t, CloseReasonLogger>>;
    auto server = serverSettings<Traits>(settings);
    server.tls_context(context.value());
    return runServer<Traits>(std::move(server), settings);
}

} // namespace balsamport
