#ifndef BALSAMPORT_EDGE_PUBLISHED_CONTROLLER_H
#define BALSAMPORT_EDGE_PUBLISHED_CONTROLLER_H

#include "edge_context.h"

#include <balsamport/edge/published.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace balsamport {

/// @brief Reads the published entries from the store at a limited rate and applies the entries
/// that peers send.
class PublishedController
{
public:
    /// @brief Receives the changed entries, which are all changes after the revision `since`.
    /// `fromStore` is false for entries from a peer.
    using ChangeHandler = std::function<void(const std::vector<PublishedEntry> &changed,
                                             const StoreRevision &since, bool fromStore)>;

    /// @param readerRank returns the rank of this daemon in its data centre; rank 0 reads the store
    /// for all of them
    PublishedController(EdgeContext &context, std::function<std::size_t()> readerRank,
                        ChangeHandler onChange);

    void start();

    /// @brief Applies an update from a peer.
    /// @param age time since the store confirmed it, according to the peer
    void mergeFromPeer(const PublishedUpdate &update, Millis age);

    /// @brief Applies a peer's report that nothing has changed since a revision.
    void confirmFromPeer(const StoreRevision &contentRevision, Millis age);

    [[nodiscard]] const PublishedState &state() const noexcept { return this->published; }
    [[nodiscard]] bool storeReachable() const noexcept { return this->reachable; }
    /// @return the time since the store last confirmed the state; a very long one for never
    [[nodiscard]] Millis age(Millis now) const noexcept;
    /// @return when a call of this daemon to the store last failed; -1 for never
    [[nodiscard]] Millis lastFailure() const noexcept { return this->failedAt; }

private:
    void schedule(Millis delay);
    void poll();
    void list(std::size_t prefixIndex, const std::string &after);
    void handleListPage(std::size_t prefixIndex, const Result<HttpResponse> &response);
    void finishList();
    void watch(const std::string &prefix);
    void handleWatch(const Result<HttpResponse> &response);
    void recordSuccess();
    void confirm();
    void recordFailure(const Error &error);
    void notify(const std::vector<PublishedEntry> &changed, const StoreRevision &since,
                bool fromStore);
    /// Parses a response of the store. Entries of a store that states no era get that of the
    /// entries held. Fails as Dialect::readPage does, and with BadResponse if the response is of an
    /// earlier era than the entries held.
    [[nodiscard]] Result<PublishedPage> readPage(const Result<HttpResponse> &response) const;
    /// Lists everything: the changes since the revision that was read last are not available.
    void listAgain(std::string_view reason, std::uint64_t era);
    /// Records that a server has written its entry in this era, although nothing has changed.
    void markWritten(const PublishedEntry &heartbeat);
    /// @return true for an entry whose content is unchanged, which servers write as heartbeats
    [[nodiscard]] bool isHeartbeat(const PublishedEntry &held, const PublishedEntry &entry) const;
    void call(OutgoingRequest request, std::function<void(const Result<HttpResponse> &)> handler);

    EdgeContext &context;
    std::function<std::size_t()> readerRank;
    ChangeHandler onChange;
    StaysInForce staysInForce;
    PublishedState published;
    std::unique_ptr<LoopTimer> timer;
    std::vector<PublishedEntry> listing; ///< Pages received so far.
    std::optional<StoreRevision> listRevision; ///< Of the store at the first page.
    /// Revision up to which changes were read; nothing before the first list.
    std::optional<StoreRevision> readRevision;
    std::size_t watchIndex = 0;
    Millis startedAt{0};
    Millis polledAt{0};
    Millis failedAt{-1};
    std::uint32_t failures = 0;
    bool reachable = true;
};

} // namespace balsamport

#endif
