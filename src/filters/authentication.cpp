#include <balsamport/filters/authentication.h>

#include <balsamport/core/log.h>
#include <balsamport/filters/response.h>

#include <sodium/crypto_hash_sha256.h>
#include <sodium/utils.h>

#include <array>
#include <mutex>
#include <unordered_map>

namespace balsamport {

namespace {

constexpr std::string_view bearerPrefix = "Bearer ";

std::string sha256Hex(std::string_view text)
{
    std::array<unsigned char, crypto_hash_sha256_BYTES> digest{};
    crypto_hash_sha256(digest.data(), reinterpret_cast<const unsigned char *>(text.data()),
                       text.size());
    std::array<char, 2 * crypto_hash_sha256_BYTES + 1> hex{};
    sodium_bin2hex(hex.data(), hex.size(), digest.data(), digest.size());
    return hex.data();
}

using CallersByKey = std::unordered_map<std::string, CallerConfig>;

/// The callers of the latest snapshot, by the hash of their key.
class CallerIndex
{
public:
    std::shared_ptr<const CallersByKey> of(const SnapshotPtr &snapshot)
    {
        const std::scoped_lock lock(this->mutex);
        if (this->source != snapshot) {
            this->build(snapshot);
        }
        return this->callers;
    }

private:
    void build(const SnapshotPtr &snapshot)
    {
        auto index = std::make_shared<CallersByKey>();
        for (const auto &[id, caller] : snapshot->callers) {
            index->emplace(caller.keySha256, caller);
        }
        if (index->empty() && (!this->callers || !this->callers->empty())) {
            LOG(WARNING) << logprefix::http
                         << "No callers are configured; every caller is admitted.";
        }
        this->callers = std::move(index);
        this->source = snapshot;
    }

    std::mutex mutex;
    SnapshotPtr source;
    std::shared_ptr<const CallersByKey> callers;
};

std::optional<CallerConfig> findCaller(const CallersByKey &callers, const HttpHeaders &headers)
{
    const auto header = findHeader(headers, "Authorization");
    if (!header || header->rfind(bearerPrefix, 0) != 0) {
        return std::nullopt;
    }
    const auto found
            = callers.find(sha256Hex(std::string_view(*header).substr(bearerPrefix.size())));
    return found == callers.end() ? std::nullopt : std::optional<CallerConfig>(found->second);
}

} // namespace

Filter makeAuthenticationFilter()
{
    return [index = std::make_shared<CallerIndex>()](const ContextPtr &context, const Next &next) {
        const auto callers = index->of(context->snapshot);
        if (callers->empty()) {
            next();
            return;
        }
        const auto caller = findCaller(*callers, context->request->headers);
        if (!caller) {
            failRequest(context, {ErrorCode::Unauthorized, "the key is missing or unknown"});
            return;
        }
        context->caller = caller->id;
        const auto callerClass = context->snapshot->callerClasses.find(caller->callerClass);
        if (callerClass != context->snapshot->callerClasses.end()) {
            context->callerClass = callerClass->second;
        }
        next();
    };
}

} // namespace balsamport
