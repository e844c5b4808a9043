#pragma once

#include "fescueledge/httpmessages.h"

#include <boost/beast/http/basic_parser.hpp>
#include <cstddef>
#include <cstdint>

namespace fescueledge {

/// Parses one HTTP request into an HttpRequest. Header fields and trailers that no listener uses are checked and
/// dropped: to keep a field costs many times its bytes on the wire.
class RequestParser : public boost::beast::http::basic_parser<true>
{
public:
    /// Limits the header and the trailers to @p bytes each. Beast's limit is on what is parsed at once, so a header
    /// that comes in pieces escapes it.
    void limitHeader(std::size_t bytes);
    HttpRequest &request()
    {
        return m_request;
    }
    /// Whether the client waits for `100 Continue` before it sends the body.
    bool expectsContinue() const
    {
        return m_expectsContinue;
    }
    /// Bytes that are kept of the request.
    std::size_t keptBytes() const;

private:
    using ErrorCode = boost::beast::error_code;
    using Text = boost::beast::string_view;
    using Verb = boost::beast::http::verb;
    using Field = boost::beast::http::field;

    void on_request_impl(Verb verb, Text method, Text target, int version, ErrorCode &ec) override;
    void on_response_impl(int status, Text reason, int version, ErrorCode &ec) override;
    void on_field_impl(Field field, Text name, Text value, ErrorCode &ec) override;
    void on_header_impl(ErrorCode &ec) override;
    void on_body_init_impl(const boost::optional<std::uint64_t> &length, ErrorCode &ec) override;
    std::size_t on_body_impl(Text body, ErrorCode &ec) override;
    void on_chunk_header_impl(std::uint64_t size, Text extensions, ErrorCode &ec) override;
    std::size_t on_chunk_body_impl(std::uint64_t left, Text body, ErrorCode &ec) override;
    void on_finish_impl(ErrorCode &ec) override;

    HttpRequest m_request;
    std::size_t m_headerLimit = 0;
    std::size_t m_headerBytes = 0; ///< Of the header so far, or of the trailers.
    bool m_hasHost = false;
    bool m_hasAuthorization = false;
    bool m_hasTimeout = false;
    bool m_hasExpectation = false;
    bool m_expectsContinue = false;
};

} // namespace fescueledge
