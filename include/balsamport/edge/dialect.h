#ifndef BALSAMPORT_EDGE_DIALECT_H
#define BALSAMPORT_EDGE_DIALECT_H

#include <balsamport/core/error.h>
#include <balsamport/edge/engine_places.h>
#include <balsamport/edge/published.h>
#include <balsamport/edge/server_catalog.h>
#include <balsamport/edge/service_config.h>
#include <balsamport/http/http_client.h>
#include <balsamport/http/http_message.h>
#include <balsamport/http/http_server.h>

#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace balsamport {

/// @brief A caller's request, as far as decisions need it.
struct CallerRequest
{
    RequestId id;
    std::string method;
    std::string target; ///< Path and query as sent.
    std::string path;
    std::string host;
    HttpHeaders headers; ///< To be passed on; those of one connection only are left out.
    std::string apiKey; ///< The caller's. A secret: never passed on or logged.
    std::string body;
    std::optional<Millis> timeout; ///< How long the caller waits; nothing if it did not say.
    BaseModelId base; ///< Empty for plain services.
    AdapterId adapter; ///< Empty for the base model itself.
    std::uint32_t maxOutputTokens = 0; ///< At most.
    std::vector<PromptPart> promptParts;

    bool operator==(const CallerRequest &) const = default;
};

/// @brief One send of a request to a backend server.
struct Dispatch
{
    BackendServerId server; ///< Another server at the address must not run it.
    std::string address; ///< IP:PORT
    Millis timeout; ///< The server stops after this time.
    AdapterVersion version; ///< That the server must have; 0 for any.
    std::int32_t priority = 0; ///< 0 goes first.
    std::string resumeAfter; ///< Id of the last stream event that the caller has; empty for none.
    bool isEngine = false;
    OrganisationId organisation; ///< The caller's; empty where it needs none.

    bool operator==(const Dispatch &) const = default;
};

/// @brief The beginning of a backend server's answer.
struct ServerResponse
{
    int status = 0;
    HttpHeaders headers; ///< To be passed back.
    bool belongsToRequest = false; ///< It carries the id of the request.
    bool didNotRun = false; ///< The server says that it has not run the request.
    bool valid = true; ///< A success that carries what a success must.
    bool serverDraining = false; ///< The server takes no new requests from now on.
    std::optional<Millis> backoff; ///< For which the server wants no more requests.

    bool operator==(const ServerResponse &) const = default;
};

/// @brief A new version of an adapter.
struct AdapterDeclaration
{
    BaseModelId base;
    AdapterId adapter;
    AdapterVersion version;

    bool operator==(const AdapterDeclaration &) const = default;
};

/// @brief An entry that says nothing this daemon needs.
struct UnrelatedEntry
{
    bool operator==(const UnrelatedEntry &) const = default;
};

/// @brief What a published entry says. A deleted server's entry gives a ServerEntry with its id
/// only.
using EntryContent = std::variant<UnrelatedEntry, EdgeConfig, ServerEntry, AdapterDeclaration>;

/// @brief A page of a listing, or what a watch returned.
struct PublishedPage
{
    std::vector<PublishedEntry> entries;
    bool hasMore = false; ///< The next page begins after the last entry.
    std::uint64_t revision = 0; ///< Of the store when it answered.
    bool historyLost = false; ///< The changes since the revision asked for are gone: list again.

    bool operator==(const PublishedPage &) const = default;
};

/// @brief How the system gives orders to an engine.
struct OrderStamp
{
    VmId holder;
    FencingNumber number;
    std::uint64_t expectedCount = 0; ///< Orders that the engine must have accepted before.

    bool operator==(const OrderStamp &) const = default;
};

/// @brief Translates between the product and what callers, backend servers and the platform speak.
///
/// Filled by the platform's adapter; every function is pure and may be called from any thread.
struct Dialect
{
    /// Reads a caller's request. Fails with InvalidRequest or InvalidHeader.
    std::function<Result<CallerRequest>(const IncomingRequest &)> readRequest;
    std::function<OutgoingRequest(const CallerRequest &, const Dispatch &)> writeRequest;
    std::function<ServerResponse(const CallerRequest &, const ResponseHead &)> readResponse;

    /// Asks for the entries under a prefix, after a key.
    std::function<OutgoingRequest(const std::string &prefix, const std::string &after)> writeList;
    /// Waits for changes after a revision.
    std::function<OutgoingRequest(const std::string &prefix, std::uint64_t revision, Millis wait)>
            writeWatch;
    /// Fails with PlatformUnavailable, RateLimited or BadResponse.
    std::function<Result<PublishedPage>(const HttpAnswer &)> readPage;
    std::vector<std::string> storePrefixes; ///< All that the daemon needs to know.
    /// Reads an entry. Fails with ConfigInvalidValue where another writer's bytes stand there.
    std::function<Result<EntryContent>(const PublishedEntry &)> readEntry;

    std::function<OutgoingRequest(const ServerEntry &, const EngineOrder &, const OrderStamp &)>
            writeCommand;
    std::function<OrderOutcome(const HttpAnswer &)> readCommandOutcome;
    std::function<OutgoingRequest(const ServerEntry &)> writeReportRequest;
    std::function<Result<EngineReport>(const HttpAnswer &, const BaseModelId &)> readReport;
};

} // namespace balsamport

#endif
