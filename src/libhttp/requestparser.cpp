#include "requestparser_pvt.h"

#include <algorithm>
#include <boost/beast/core/string.hpp>
#include <boost/beast/http/error.hpp>
#include <charconv>
#include <limits>
#include <system_error>

namespace fescueledge {

namespace {

constexpr Milliseconds maxCallerTimeout{86'400'000}; ///< A day.
constexpr const char *deadlineHeader = "X-Deadline-Ms";

/// Zero, for an unknown one, unless @p text is a positive number; at most maxCallerTimeout.
Milliseconds parseTimeout(boost::beast::string_view text)
{
    std::int64_t count = 0;
    const std::from_chars_result parsed = std::from_chars(text.data(), text.data() + text.size(), count);
    if (parsed.ec == std::errc::result_out_of_range && text.front() != '-') {
        return maxCallerTimeout;
    }
    return std::clamp(Milliseconds(count), Milliseconds(0), maxCallerTimeout);
}

/// Bytes of a header line beside name and value: a colon and the line's end.
constexpr std::size_t lineOverhead = 3;

/// Bytes of @p text outside of the object itself.
std::size_t heapBytes(const std::string &text)
{
    return text.capacity() == std::string().capacity() ? 0 : text.capacity();
}

/// Whether a field comes for the first time: of repeated ones, the first is in force.
bool isFirst(bool *has)
{
    const bool first = !*has;
    *has = true;
    return first;
}

} // namespace

void RequestParser::limitHeader(std::size_t bytes)
{
    header_limit(static_cast<std::uint32_t>(std::min<std::size_t>(bytes, std::numeric_limits<std::uint32_t>::max())));
    m_headerLimit = bytes;
}

std::size_t RequestParser::keptBytes() const
{
    return heapBytes(m_request.method) + heapBytes(m_request.target) + heapBytes(m_request.host)
        + heapBytes(m_request.authorization) + heapBytes(m_request.body);
}

void RequestParser::on_request_impl(Verb /*verb*/, Text method, Text target, int /*version*/, ErrorCode & /*ec*/)
{
    m_headerBytes = method.size() + target.size();
    m_request.method.assign(method.data(), method.size());
    m_request.target.assign(target.data(), target.size());
}

void RequestParser::on_response_impl(int /*status*/, Text /*reason*/, int /*version*/, ErrorCode & /*ec*/)
{
}

void RequestParser::on_field_impl(Field field, Text name, Text value, ErrorCode &ec)
{
    m_headerBytes += name.size() + value.size() + lineOverhead;
    if (m_headerBytes > m_headerLimit) {
        ec = boost::beast::http::error::header_limit;
        return;
    }
    if (is_header_done()) {
        return; // A trailer.
    }
    if (field == Field::host && isFirst(&m_hasHost)) {
        m_request.host.assign(value.data(), value.size());
    } else if (field == Field::authorization && isFirst(&m_hasAuthorization)) {
        m_request.authorization.assign(value.data(), value.size());
    } else if (field == Field::expect && isFirst(&m_hasExpectation)) {
        m_expectsContinue = boost::beast::iequals(value, "100-continue");
    } else if (boost::beast::iequals(name, deadlineHeader) && isFirst(&m_hasTimeout)) {
        m_request.callerTimeout = parseTimeout(value);
    }
}

void RequestParser::on_header_impl(ErrorCode & /*ec*/)
{
    m_headerBytes = 0;
}

void RequestParser::on_body_init_impl(const boost::optional<std::uint64_t> &length, ErrorCode & /*ec*/)
{
    m_request.body.reserve(static_cast<std::size_t>(length.value_or(0))); // At most the limit on bodies.
}

std::size_t RequestParser::on_body_impl(Text body, ErrorCode & /*ec*/)
{
    m_request.body.append(body.data(), body.size());
    return body.size();
}

void RequestParser::on_chunk_header_impl(std::uint64_t /*size*/, Text /*extensions*/, ErrorCode & /*ec*/)
{
}

std::size_t RequestParser::on_chunk_body_impl(std::uint64_t /*left*/, Text body, ErrorCode & /*ec*/)
{
    m_request.body.append(body.data(), body.size());
    return body.size();
}

void RequestParser::on_finish_impl(ErrorCode & /*ec*/)
{
}

} // namespace fescueledge
