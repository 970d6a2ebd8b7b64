#include <guavaramp/net/http.hpp>

#include <doctest/doctest.h>
#include <openssl/evp.h>
#include <openssl/pem.h>
#include <openssl/x509v3.h>

#include <cstdio>
#include <memory>

namespace guavaramp {
namespace {

constexpr auto call_timeout = std::chrono::seconds{20};
constexpr long certificate_lifetime_s = 3600;
const endpoint server_endpoint{.address = from_ipv4(0x7f320002), .port = 18443};

/// A self-signed certificate for the test server's address, in files that the destructor removes.
class test_certificate {
public:
    test_certificate() {
        const std::unique_ptr<EVP_PKEY, decltype(&EVP_PKEY_free)> key{EVP_EC_gen("P-256"), EVP_PKEY_free};
        const std::unique_ptr<X509, decltype(&X509_free)> certificate{X509_new(), X509_free};
        X509_set_version(certificate.get(), 2);
        ASN1_INTEGER_set(X509_get_serialNumber(certificate.get()), 1);
        X509_gmtime_adj(X509_getm_notBefore(certificate.get()), -certificate_lifetime_s);
        X509_gmtime_adj(X509_getm_notAfter(certificate.get()), certificate_lifetime_s);
        X509_set_pubkey(certificate.get(), key.get());
        X509_NAME* name = X509_get_subject_name(certificate.get());
        const auto* text = reinterpret_cast<const unsigned char*>("test");
        X509_NAME_add_entry_by_txt(name, "CN", MBSTRING_ASC, text, -1, -1, 0);
        X509_set_issuer_name(certificate.get(), name);
        const std::unique_ptr<X509_EXTENSION, decltype(&X509_EXTENSION_free)> alternative_name{
            X509V3_EXT_conf_nid(nullptr, nullptr, NID_subject_alt_name, "IP:127.50.0.2"),
            X509_EXTENSION_free};
        X509_add_ext(certificate.get(), alternative_name.get(), -1);
        X509_sign(certificate.get(), key.get(), EVP_sha256());
        write(certificate_file, [&](FILE* file) { PEM_write_X509(file, certificate.get()); });
        write(key_file, [&](FILE* file) {
            PEM_write_PrivateKey(file, key.get(), nullptr, nullptr, 0, nullptr, nullptr);
        });
    }
    test_certificate(const test_certificate&) = delete;
    test_certificate& operator=(const test_certificate&) = delete;
    ~test_certificate() {
        std::remove(certificate_file);
        std::remove(key_file);
    }

    static constexpr const char* certificate_file = "http_tls_test.crt";
    static constexpr const char* key_file = "http_tls_test.key";

private:
    template <typename Print>
    static void write(const char* path, Print print) {
        FILE* file = std::fopen(path, "w");
        REQUIRE(file != nullptr);
        print(file);
        std::fclose(file);
    }
};

http_call make_call(const std::string& ca_file) {
    return {.url = "https://" + to_string(server_endpoint) + "/",
            .deadline = std::chrono::steady_clock::now() + call_timeout,
            .ca_file = ca_file};
}

// Guards against operators' keys that are sent unencrypted, and against a client that accepts any server.
TEST_CASE("HttpTlsTest.ClientRejectsServerWhenCertificateIsNotTrusted") {
    const test_certificate certificate;
    auto server = start_http_server(
        {.local = server_endpoint,
         .certificate_file = test_certificate::certificate_file,
         .private_key_file = test_certificate::key_file},
        [](const http_request&, const http_responder& respond) { respond({.body = "secret"}); });
    REQUIRE_MESSAGE(server.has_value(), (server ? "" : server.error().message));
    http_client client;
    const auto trusted = client.run(make_call(test_certificate::certificate_file));
    REQUIRE_MESSAGE(trusted.response.has_value(), (trusted.response ? "" : trusted.response.error().message));
    CHECK(trusted.response->body == "secret");
    const auto untrusted = client.run(make_call(""));
    REQUIRE_FALSE(untrusted.response.has_value());
    CHECK(untrusted.response.error().kind == error_kind::unavailable);
    CHECK_FALSE(untrusted.request_may_have_been_sent);
}

// Guards against a server that starts without encryption when the key files cannot be read.
TEST_CASE("HttpTlsTest.ServerFailsToStartWhenKeyFilesAreMissing") {
    const auto server = start_http_server(
        {.local = server_endpoint, .certificate_file = "absent.crt", .private_key_file = "absent.key"},
        [](const http_request&, const http_responder&) {});
    REQUIRE_FALSE(server.has_value());
}

}  // namespace
}  // namespace guavaramp
