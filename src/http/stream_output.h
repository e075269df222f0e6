#ifndef BALSAMPORT_HTTP_STREAM_OUTPUT_H
#define BALSAMPORT_HTTP_STREAM_OUTPUT_H

#include <restinio/all.hpp>

#include <fmt/format.h>

#include <string>
#include <utility>

namespace balsamport {

/// @brief Output type of RESTinio's response builder for chunked responses that may be ended before
/// they are complete.
struct StreamOutput
{ };

} // namespace balsamport

namespace restinio {

/// @brief Builds a chunked response.
///
/// RESTinio's own builder for chunked output can end a response only as complete. This one can also
/// close the connection without the last chunk: the caller gets all chunks that were written, no
/// byte more, and a response that is not complete.
template<>
// NOLINTNEXTLINE(readability-identifier-naming): RESTinio's name.
class response_builder_t<balsamport::StreamOutput> final
    : public base_response_builder_t<response_builder_t<balsamport::StreamOutput>>
{
public:
    using base_response_builder_t<
            response_builder_t<balsamport::StreamOutput>>::base_response_builder_t;

    /// @brief Sends the status line and the header fields.
    void start()
    {
        this->append_header(http_field::transfer_encoding, "chunked");
        writable_items_container_t items;
        items.emplace_back(impl::create_header_string(
                this->m_header, impl::content_length_field_presence_t::skip_content_length));
        write_group_t group(std::move(items));
        group.status_line_size(this->calculate_status_line_size());
        this->submit(std::move(group), response_parts_attr_t::not_final_parts, false);
    }

    /// @brief Sends a chunk.
    /// @param data not empty, because an empty chunk is the last one
    /// @param onWritten called once the chunk was written, or cannot be written any more
    void write(std::string data, write_status_cb_t onWritten)
    {
        writable_items_container_t items;
        items.emplace_back(fmt::format("{:X}\r\n", data.size()));
        items.emplace_back(std::move(data));
        items.emplace_back(std::string("\r\n"));
        write_group_t group(std::move(items));
        group.after_write_notificator(std::move(onWritten));
        this->submit(std::move(group), response_parts_attr_t::not_final_parts, false);
    }

    /// @brief Sends the last chunk.
    /// @param closes closes the connection after it
    void finish(bool closes)
    {
        writable_items_container_t items;
        items.emplace_back(std::string("0\r\n\r\n"));
        this->submit(write_group_t(std::move(items)), response_parts_attr_t::final_parts, closes);
    }

    /// @brief Closes the connection once the chunks before were written.
    void breakOff()
    {
        this->submit(write_group_t(writable_items_container_t()),
                     response_parts_attr_t::final_parts, true);
    }

private:
    void submit(write_group_t group, response_parts_attr_t parts, bool closes)
    {
        this->m_connection->write_response_parts(
                this->m_request_id,
                response_output_flags_t(parts, response_connection_attr(!closes)),
                std::move(group));
    }
};

} // namespace restinio

#endif
