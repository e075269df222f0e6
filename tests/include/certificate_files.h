#ifndef BALSAMPORT_TESTS_CERTIFICATE_FILES_H
#define BALSAMPORT_TESTS_CERTIFICATE_FILES_H

#include <openssl/pem.h>
#include <openssl/x509.h>

#include <sys/stat.h>
#include <unistd.h>

#include <array>
#include <cstdio>
#include <memory>
#include <string>

namespace balsamport::testing {

constexpr long daySeconds = 86'400;

using Key = std::unique_ptr<EVP_PKEY, decltype(&EVP_PKEY_free)>;
using Certificate = std::unique_ptr<X509, decltype(&X509_free)>;

/// @brief A self-signed certificate and its key in two files, which the destructor removes.
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

} // namespace balsamport::testing

#endif
