#include <balsamport/edge/published_message.h>

#include <balsamport/core/compression.h>

#include <string>
#include <utility>

namespace balsamport {

namespace {

/// Shorter messages are sent uncompressed: compressing them saves less than a packet.
constexpr std::size_t minPackedBytes = 4 * 1024;
/// Largest uncompressed content of a message. Source: 16 values of the store's largest size, 1 MB.
constexpr std::uint32_t maxUnpackedBytes = 16 * 1024 * 1024;

PublishedEntry entryOf(const wire::PublishedItem &item)
{
    // Other values are from later versions of the daemon; a listed entry proves the least.
    const bool isKnown = item.has_era() && item.origin() <= static_cast<int>(EntryOrigin::Written);
    return PublishedEntry{item.key(), item.value(), StoreRevision(item.revision(), item.era()),
                          item.deleted(),
                          isKnown ? static_cast<EntryOrigin>(item.origin()) : EntryOrigin::Listed};
}

} // namespace

wire::PublishedItems encodeEntries(const std::vector<PublishedEntry> &entries)
{
    wire::PublishedItems plain;
    for (const PublishedEntry &entry : entries) {
        wire::PublishedItem &item = *plain.add_items();
        item.set_key(entry.key);
        item.set_value(entry.value);
        item.set_revision(entry.revision.number);
        item.set_era(entry.revision.era);
        item.set_origin(static_cast<std::uint32_t>(entry.origin));
        item.set_deleted(entry.deleted);
    }
    const std::string bytes = plain.SerializeAsString();
    if (bytes.size() < minPackedBytes || bytes.size() > maxUnpackedBytes) {
        return plain;
    }
    wire::PublishedItems packed;
    packed.set_packed_items(compress(bytes));
    packed.set_unpacked_bytes(static_cast<std::uint32_t>(bytes.size()));
    return packed;
}

Result<std::vector<PublishedEntry>> decodeEntries(const wire::PublishedItems &items)
{
    std::vector<PublishedEntry> entries;
    for (const wire::PublishedItem &item : items.items()) {
        entries.push_back(entryOf(item));
    }
    if (items.packed_items().empty()) {
        return entries;
    }
    if (items.unpacked_bytes() > maxUnpackedBytes) {
        return Error{ErrorCode::MessageInvalid, "published entries exceed the size limit"};
    }
    const Result<std::string> bytes = decompress(items.packed_items(), items.unpacked_bytes());
    if (bytes.has_error()) {
        return bytes.error();
    }
    wire::PublishedItems unpacked;
    if (!unpacked.ParseFromString(bytes.value())) {
        return Error{ErrorCode::MessageInvalid, "published entries cannot be parsed"};
    }
    for (const wire::PublishedItem &item : unpacked.items()) {
        entries.push_back(entryOf(item));
    }
    return entries;
}

wire::PublishedItems encodeUpdate(const PublishedUpdate &update)
{
    wire::PublishedItems items = encodeEntries(update.entries);
    items.set_since_revision(update.since.number);
    items.set_since_era(update.since.era);
    items.set_content_revision(update.contentRevision.number);
    items.set_content_era(update.contentRevision.era);
    items.set_complete(update.complete);
    for (const std::string &key : update.presentKeys) {
        items.add_present_keys(key);
    }
    return items;
}

Result<PublishedUpdate> decodeUpdate(const wire::PublishedItems &items)
{
    const Result<std::vector<PublishedEntry>> entries = decodeEntries(items);
    if (entries.has_error()) {
        return entries.error();
    }
    PublishedUpdate update;
    update.entries = entries.value();
    update.since = StoreRevision(items.since_revision(), items.since_era());
    update.contentRevision = StoreRevision(items.content_revision(), items.content_era());
    update.complete = items.complete();
    update.presentKeys.assign(items.present_keys().begin(), items.present_keys().end());
    return update;
}

} // namespace balsamport
