#ifndef BALSAMPORT_EDGE_PUBLISHED_CONTROLLER_H
#define BALSAMPORT_EDGE_PUBLISHED_CONTROLLER_H

#include "edge_context.h"

#include <balsamport/edge/published.h>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace balsamport {

/// @brief Reads the published entries, paced, and takes what peers tell of them.
class PublishedController
{
public:
    /// @param readerRank of this daemon in its data centre; 0 reads for all
    /// Gets changed entries, which are all changes after a revision. `own` is true where they come
    /// from the store.
    using ChangeHandler = std::function<void(const std::vector<PublishedEntry> &changed,
                                             std::uint64_t since, bool own)>;

    PublishedController(EdgeContext &context, std::function<std::size_t()> readerRank,
                        ChangeHandler onChange);

    void start();

    /// @brief Takes entries from a peer.
    /// @param age since the store confirmed them, as the peer reckons
    void takeFromPeer(const std::vector<PublishedEntry> &entries, std::uint64_t contentRevision,
                      Millis age);

    /// @brief Takes a peer's word that nothing has changed since a revision.
    void confirmFromPeer(std::uint64_t contentRevision, Millis age);

    [[nodiscard]] const PublishedState &state() const noexcept { return this->published; }
    [[nodiscard]] bool storeReachable() const noexcept { return this->reachable; }
    [[nodiscard]] Millis age(Millis now) const noexcept;
    /// @return when the store last failed this daemon; -1 for never
    [[nodiscard]] Millis lastFailure() const noexcept { return this->failedAt; }

private:
    void schedule(Millis delay);
    void step();
    void list(std::size_t prefixIndex, const std::string &after);
    void takeListPage(std::size_t prefixIndex, const Result<HttpResponse> &answer);
    void finishList();
    void watch(const std::string &prefix);
    void takeWatch(const Result<HttpResponse> &answer);
    void noteAnswer();
    void confirm();
    void noteFailure(const Error &error);
    void change(const std::vector<PublishedEntry> &changed, std::uint64_t since, bool own);
    [[nodiscard]] std::vector<PublishedEntry>
    withoutHeartbeats(const std::vector<PublishedEntry> &entries) const;
    [[nodiscard]] bool isHeartbeat(const PublishedEntry &held, const PublishedEntry &entry) const;
    void call(OutgoingRequest request, std::function<void(const Result<HttpResponse> &)> handler);

    EdgeContext &context;
    std::function<std::size_t()> readerRank;
    ChangeHandler onChange;
    PublishedState published;
    std::unique_ptr<LoopTimer> timer;
    std::vector<PublishedEntry> listing; ///< Pages that came so far.
    std::uint64_t listRevision = 0; ///< Of the store before the first page.
    std::uint64_t storeRevision = 0; ///< Up to which changes were read; 0 before the first list.
    std::size_t watchIndex = 0;
    Millis startedAt{0};
    Millis stepAt{0};
    Millis failedAt{-1};
    std::uint32_t failures = 0;
    bool reachable = true;
};

} // namespace balsamport

#endif
