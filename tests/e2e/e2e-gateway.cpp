// Guards against a gateway that hostile, slow or disconnecting callers crash, block or fill with
// buffered data, and against a stop that breaks running requests.

#include "one_vm_fleet.h"

#include <asio.hpp>

#include <catch2/catch.hpp>

#include <atomic>

using namespace balsamport;
using namespace balsamport::testing;

namespace {

constexpr std::uint16_t firstPort = 21100;
constexpr std::uint64_t kilobytesPerMegabyte = 1'024;

/// A caller that sends raw bytes.
class RawCaller
{
public:
    explicit RawCaller(const std::string &address)
        : socket(this->context)
    {
        const std::size_t colon = address.find(':');
        this->socket.connect({asio::ip::make_address(address.substr(0, colon)),
                              static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1)))});
    }
    void write(const std::string &text)
    {
        asio::error_code ignored;
        asio::write(this->socket, asio::buffer(text), ignored);
    }
    /// Reads until the first line of the response is complete or the gateway closes the connection.
    std::string firstLine()
    {
        std::string text;
        asio::error_code error;
        std::array<char, 512> buffer{};
        while (!error && text.find("\r\n") == std::string::npos) {
            const std::size_t length = this->socket.read_some(asio::buffer(buffer), error);
            text.append(buffer.data(), length);
        }
        return text.substr(0, text.find("\r\n"));
    }
    std::size_t readSome(std::size_t maxBytes)
    {
        asio::error_code error;
        std::string buffer(maxBytes, '\0');
        return this->socket.read_some(asio::buffer(buffer), error);
    }
    void close() { this->socket.close(); }

private:
    asio::io_context context{1};
    asio::ip::tcp::socket socket;
};

std::string rawPost(const std::string &path, const std::string &body,
                    const std::string &headers = "")
{
    return "POST " + path + " HTTP/1.1\r\nHost: x\r\n" + headers
            + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// Whether the gateway sent a 4xx response or closed the connection.
bool isRefused(const std::string &firstLine)
{
    return firstLine.empty() || firstLine.rfind("HTTP/1.1 4", 0) == 0;
}

std::string runningOn(OneVmFleet &vm)
{
    return vm.fleet.get(vm.engineAddress, "/v1/load");
}

} // namespace

TEST_CASE("hostile callers get a typed response or a closed connection")
{
    OneVmFleet vm(firstPort, {"--token-ms", "5"},
                  "[limits]\nhandover-wait = 1000\nview-lifetime = 600\nweight-percent = 0\n");
    REQUIRE(vm.waitUntilServing());
    const pid_t gateway = vm.fleet.gateway("vm1").id();
    const std::string chat = "/v1/chat/completions";

    SECTION("invalid bodies get typed 4xx responses")
    {
        const HttpResponse notJson = vm.post(chat, "{\"model\":");
        CHECK(notJson.status == 400);
        CHECK(notJson.body.find("invalid_json") != std::string::npos);
        CHECK(findHeader(notJson.headers, "Balsamport-Outcome") == "not-run");
        CHECK(vm.post(chat, "{\"model\":\"burn-plan\",\"messages\":\"\xff\xfe\"}").status == 400);
        CHECK(vm.post(chat, R"({"model":"nobody","messages":[]})").status == 404);
        CHECK(vm.post(chat, std::string(900'000, '[')).status == 400);
        CHECK(vm.post("/v1/services/lots/%62ookings", "{}").status == 400);
    }

    SECTION("invalid heads are refused")
    {
        for (const std::string &request :
             {std::string("GARBAGE\r\n\r\n"), std::string("\x16\x03\x01\x02\x05\x01\x07"),
              "GET /" + std::string(100'000, 'a') + " HTTP/1.1\r\n\r\n",
              "GET /health HTTP/1.1\r\nX: " + std::string(100'000, 'a') + "\r\n\r\n",
              std::string("POST /v1/chat/completions HTTP/1.1\r\nContent-Length: -1\r\n\r\n"),
              std::string("POST /v1/chat/completions HTTP/1.1\r\nContent-Length: "
                          "99999999999999999999\r\n\r\n"),
              std::string("POST /v1/chat/completions HTTP/1.1\r\nContent-Length: 2000000\r\n\r\n")
                      + std::string(1'100'000, 'x')}) {
            RawCaller caller(vm.gatewayAddress);
            caller.write(request);
            CHECK(isRefused(caller.firstLine()));
        }
        RawCaller caller(vm.gatewayAddress);
        caller.write(rawPost(chat, OneVmFleet::chat(1, false), "Balsamport-Request-Id: a b\r\n"));
        CHECK(isRefused(caller.firstLine()));
    }

    SECTION("truncated requests and many idle connections use bounded memory")
    {
        constexpr int idleCount = 1'000;
        constexpr std::uint64_t memoryLimit = 256 * kilobytesPerMegabyte;
        std::vector<std::unique_ptr<RawCaller>> callers;
        for (int i = 0; i < idleCount; ++i) {
            callers.push_back(std::make_unique<RawCaller>(vm.gatewayAddress));
            if (i % 2 == 0) {
                callers.back()->write("POST " + chat
                                      + " HTTP/1.1\r\nContent-Length: 5000\r\n\r\nhalf");
            }
        }
        CHECK(vm.post(chat, OneVmFleet::chat(1, false)).status == 200);
        CHECK(processKilobytes(gateway, "VmRSS") < memoryLimit);
    }

    REQUIRE_FALSE(vm.fleet.gateway("vm1").hasEnded());
    REQUIRE(vm.post(chat, OneVmFleet::chat(2, false)).status == 200);
}

TEST_CASE("slow callers and callers that disconnect")
{
    OneVmFleet vm(firstPort + 100, {"--token-ms", "1", "--batch", "64"},
                  "[limits]\nhandover-wait = 1000\nview-lifetime = 600\nweight-percent = "
                  "0\nrequest-timeout = 120000\n");
    REQUIRE(vm.waitUntilServing());
    const pid_t gateway = vm.fleet.gateway("vm1").id();

    SECTION("a disconnect ends the request on the engine")
    {
        RawCaller caller(vm.gatewayAddress);
        caller.write(rawPost("/v1/chat/completions", OneVmFleet::chat(1'000'000, true)));
        REQUIRE(caller.firstLine() == "HTTP/1.1 200 OK");
        REQUIRE(eventually(Millis(5'000), [&] {
            return runningOn(vm).find("\"running\":1") != std::string::npos;
        }));
        caller.close();
        REQUIRE(eventually(Millis(5'000), [&] {
            return runningOn(vm).find("\"running\":0") != std::string::npos;
        }));
    }

    SECTION("callers that do not read use bounded memory")
    {
        constexpr int slowCount = 20;
        constexpr std::uint64_t growthLimit = 64 * kilobytesPerMegabyte;
        const std::uint64_t before = processKilobytes(gateway, "VmRSS");
        std::vector<std::unique_ptr<RawCaller>> callers;
        for (int i = 0; i < slowCount; ++i) {
            callers.push_back(std::make_unique<RawCaller>(vm.gatewayAddress));
            callers.back()->write(
                    rawPost("/v1/chat/completions", OneVmFleet::chat(1'000'000, true)));
            REQUIRE(callers.back()->firstLine() == "HTTP/1.1 200 OK");
        }
        sleepFor(Millis(6'000));
        CHECK(processKilobytes(gateway, "VmRSS") < before + growthLimit);
        CHECK(vm.post("/v1/chat/completions", OneVmFleet::chat(1, false)).status == 200);
    }
}

TEST_CASE("a gateway that is stopped completes its running requests")
{
    OneVmFleet vm(firstPort + 200, {"--token-ms", "10"},
                  "[limits]\nhandover-wait = 1000\nview-lifetime = 600\nweight-percent = 0\n");
    REQUIRE(vm.waitUntilServing());
    constexpr int tokens = 300;
    OutgoingRequest request;
    request.method = "POST";
    request.url = "http://" + vm.gatewayAddress + "/v1/chat/completions";
    request.body = OneVmFleet::chat(tokens, true);
    std::string text;
    std::atomic<bool> ended{false};
    bool completed = false;
    ExchangeHandlers handlers;
    handlers.onBodyChunk = [&](std::string_view chunk) {
        text += chunk;
        return true;
    };
    handlers.onDone = [&](const Result<void> &result) {
        completed = result.has_value();
        ended = true;
    };
    HttpClient client;
    client.start(std::move(request), std::move(handlers));
    REQUIRE(eventually(Millis(5'000),
                       [&] { return runningOn(vm).find("\"running\":1") != std::string::npos; }));

    vm.fleet.gateway("vm1").terminate();
    // The load balancer's health check fails within 2 s, new requests are refused with a typed
    // error within 2 s, and the running stream continues.
    REQUIRE(eventually(Millis(2'000), [&] {
        return vm.fleet.get(vm.gatewayAddress, "/health") == "unavailable\n";
    }));
    HttpResponse refused;
    CHECK(eventually(Millis(2'000), [&] {
        refused = vm.post("/v1/chat/completions", OneVmFleet::chat(1, false));
        return refused.status == 503;
    }));
    CHECK(findHeader(refused.headers, "Balsamport-Outcome") == "not-run");
    CHECK(findHeader(refused.headers, "Retry-After").has_value());
    CHECK(vm.fleet.gateway("vm1").waitForExit(Millis(20'000)) == 0);
    REQUIRE(eventually(Millis(2'000), [&] { return ended.load(); }));
    CHECK(completed);
    CHECK(text.find("data: [DONE]") != std::string::npos);
    CHECK(text.find("t" + std::to_string(tokens - 3) + " ") != std::string::npos);
}
