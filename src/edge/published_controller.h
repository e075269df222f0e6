#ifndef BALSAMPORT_EDGE_PUBLISHED_CONTROLLER_H
#define BALSAMPORT_EDGE_PUBLISHED_CONTROLLER_H

#include "edge_context.h"

#include <balsamport/edge/published.h>

#include <functional>
#include <memory>
#include <string>
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
                                             std::uint64_t since, bool fromStore)>;

    /// @param readerRank returns the rank of this daemon in its data centre; rank 0 reads the store
    /// for all of them
    PublishedController(EdgeContext &context, std::function<std::size_t()> readerRank,
                        ChangeHandler onChange);

    void start();

    /// @brief Merges entries from a peer.
    /// @param age time since the store confirmed them, according to the peer
    void mergeFromPeer(const std::vector<PublishedEntry> &entries, std::uint64_t contentRevision,
                       Millis age);

    /// @brief Applies a peer's report that nothing has changed since a revision.
    void confirmFromPeer(std::uint64_t contentRevision, Millis age);

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
    void notify(const std::vector<PublishedEntry> &changed, std::uint64_t since, bool fromStore);
    /// Leaves out entries whose content is unchanged, which servers write as heartbeats.
    [[nodiscard]] std::vector<PublishedEntry>
    withoutHeartbeats(const std::vector<PublishedEntry> &entries) const;
    [[nodiscard]] bool isHeartbeat(const PublishedEntry &held, const PublishedEntry &entry) const;
    void call(OutgoingRequest request, std::function<void(const Result<HttpResponse> &)> handler);

    EdgeContext &context;
    std::function<std::size_t()> readerRank;
    ChangeHandler onChange;
    PublishedState published;
    std::unique_ptr<LoopTimer> timer;
    std::vector<PublishedEntry> listing; ///< Pages received so far.
    std::uint64_t listRevision = 0; ///< Of the store at the first page.
    /// Revision up to which changes were read; 0 before the first list.
    std::uint64_t storeRevision = 0;
    std::size_t watchIndex = 0;
    Millis startedAt{0};
    Millis polledAt{0};
    Millis failedAt{-1};
    std::uint32_t failures = 0;
    bool reachable = true;
};

} // namespace balsamport

#endif
