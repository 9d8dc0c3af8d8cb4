#include "net/httpclient.h"

#include "core/text.h"
#include "net/bodybuffer.h"
#include "process/wallclock.h"

#include <algorithm>
#include <array>
#include <civetweb.h>
#include <utility>

namespace Laburnummast::Net
{
namespace
{

constexpr std::size_t maxErrorTextBytes = 256;
constexpr int statusNoContent = 204;
constexpr int statusNotModified = 304;
// Lower statuses are informational.
constexpr int firstFinalStatus = 200;
// Higher statuses are undefined; RFC 9110, section 15.
constexpr int lastStatus = 599;

std::string encodeHead(const ClientRequest &request, const Address &address)
{
    std::string head = Text::concat(request.method, " ", request.target, " HTTP/1.1\r\nHost: ", address.ip, ":", address.port, "\r\n");
    for (const auto &it : request.headers) {
        Text::append(head, it.name, ": ", it.value, "\r\n");
    }
    if (request.streamedLength && *request.streamedLength < 0) {
        Text::append(head, "Transfer-Encoding: chunked\r\n");
    } else if (request.streamedLength) {
        Text::append(head, "Content-Length: ", *request.streamedLength, "\r\n");
    } else if (!request.body.empty() || request.method != "GET") {
        Text::append(head, "Content-Length: ", request.body.size(), "\r\n");
    }
    Text::append(head, "\r\n");
    return head;
}

}

std::string_view nameOf(HttpError error)
{
    switch (error) {
    case HttpError::CannotConnect:
        return "cannot-connect";
    case HttpError::WriteFailed:
        return "write-failed";
    case HttpError::TimedOut:
        return "timed-out";
    case HttpError::BrokenOff:
        return "broken-off";
    case HttpError::Malformed:
        return "malformed";
    }
    return "unknown";
}

std::optional<std::string_view> ResponseHead::header(std::string_view name) const
{
    const auto matchesName = [&](const Header &it) { return Text::equalsIgnoreCase(it.name, name); };
    const auto it = std::find_if(headers.begin(), headers.end(), matchesName);
    return it == headers.end() ? std::nullopt : std::optional<std::string_view>(it->value);
}

HttpConnection::HttpConnection(mg_connection *connection, const Address &address)
    : m_connection(connection)
    , m_address(address)
    , m_openedAt(Process::steadyNow())
{
}

Result<HttpConnection, HttpError> HttpConnection::connect(const Address &address)
{
    std::array<char, maxErrorTextBytes> errorText{};
    auto *connection = mg_connect_client(address.ip.c_str(), address.port, 0, errorText.data(), errorText.size());
    if (connection == nullptr) {
        return HttpError::CannotConnect;
    }
    return HttpConnection(connection, address);
}

HttpConnection::~HttpConnection()
{
    if (m_connection != nullptr) {
        mg_close_connection(m_connection);
    }
}

HttpConnection::HttpConnection(HttpConnection &&other) noexcept
{
    *this = std::move(other);
}

HttpConnection &HttpConnection::operator=(HttpConnection &&other) noexcept
{
    std::swap(m_connection, other.m_connection);
    std::swap(m_address, other.m_address);
    m_openedAt = other.m_openedAt;
    m_contentLength = other.m_contentLength;
    m_bodyBytesRead = other.m_bodyBytesRead;
    m_responseHasNoBody = other.m_responseHasNoBody;
    m_keepAlive = other.m_keepAlive;
    m_reusable = other.m_reusable;
    m_requestCount = other.m_requestCount;
    return *this;
}

std::optional<HttpError> HttpConnection::sendRequest(const ClientRequest &request)
{
    m_reusable = false;
    ++m_requestCount;
    m_responseHasNoBody = request.method == "HEAD";
    auto bytes = encodeHead(request, m_address);
    bytes += request.body;
    if (mg_write(m_connection, bytes.data(), bytes.size()) != static_cast<int>(bytes.size())) {
        return HttpError::WriteFailed;
    }
    return std::nullopt;
}

bool HttpConnection::sendBodyData(std::string_view data, bool chunked)
{
    // An empty chunk would end a chunked body.
    if (data.empty()) {
        return true;
    }
    if (chunked) {
        return mg_send_chunk(m_connection, data.data(), static_cast<unsigned int>(data.size())) > 0;
    }
    return mg_write(m_connection, data.data(), data.size()) == static_cast<int>(data.size());
}

bool HttpConnection::sendLastChunk()
{
    return mg_send_chunk(m_connection, "", 0) >= 0;
}

Result<ResponseHead, HttpError> HttpConnection::readHead(Millis timeout)
{
    std::array<char, maxErrorTextBytes> errorText{};
    const auto startedAt = Process::steadyNow();
    const int timeoutMs = std::max(1, static_cast<int>(timeout.count));
    if (mg_get_response(m_connection, errorText.data(), errorText.size(), timeoutMs) < 0) {
        // The library reports a timeout and a closed connection alike, so the elapsed time decides.
        const bool expired = Process::steadyNow() - startedAt >= timeout * 0.95;
        return expired ? HttpError::TimedOut : HttpError::BrokenOff;
    }
    const auto *info = mg_get_response_info(m_connection);
    if (info == nullptr || info->status_code < firstFinalStatus || info->status_code > lastStatus) {
        return HttpError::Malformed;
    }
    ResponseHead head{.status = info->status_code, .headers = {}, .contentLength = std::nullopt};
    for (int i = 0; i < info->num_headers; ++i) {
        head.headers.push_back({.name = info->http_headers[i].name, .value = info->http_headers[i].value});
    }
    m_responseHasNoBody = m_responseHasNoBody || head.status == statusNoContent || head.status == statusNotModified;
    if (m_responseHasNoBody) {
        head.contentLength = 0;
    } else if (info->content_length >= 0) {
        head.contentLength = info->content_length;
    }
    m_contentLength = head.contentLength;
    m_bodyBytesRead = 0;
    const auto connection = head.header("Connection");
    m_keepAlive = !connection || !Text::equalsIgnoreCase(*connection, "close");
    const bool selfDelimiting = m_contentLength || head.header("Transfer-Encoding");
    m_keepAlive = m_keepAlive && selfDelimiting;
    m_reusable = m_keepAlive && m_contentLength == 0;
    return head;
}

std::int64_t HttpConnection::read(std::span<char> buf)
{
    if (m_contentLength && m_bodyBytesRead >= *m_contentLength) {
        m_reusable = m_keepAlive;
        return 0;
    }
    const int n = mg_read(m_connection, buf.data(), buf.size());
    if (n > 0) {
        m_bodyBytesRead += n;
        m_reusable = m_keepAlive && m_contentLength && m_bodyBytesRead >= *m_contentLength;
        return n;
    }
    // With a known length the body is incomplete; otherwise 0 is its end and a negative value an error.
    if (m_contentLength) {
        return -1;
    }
    m_reusable = n == 0 && m_keepAlive;
    return n;
}

Result<ClientResponse, HttpError> HttpConnection::exchange(const ClientRequest &request, Millis timeout, std::size_t maxBodyBytes)
{
    if (const auto failure = sendRequest(request)) {
        return *failure;
    }
    auto head = readHead(timeout);
    if (const auto *failure = std::get_if<HttpError>(&head)) {
        return *failure;
    }
    ClientResponse response{.head = std::move(std::get<ResponseHead>(head)), .body = {}};
    BodyBuffer buf;
    while (true) {
        const auto n = read(buf.writable());
        if (n < 0) {
            return HttpError::BrokenOff;
        }
        if (n == 0) {
            return response;
        }
        response.body.append(buf.first(static_cast<std::size_t>(n)));
        if (response.body.size() > maxBodyBytes) {
            m_reusable = false;
            return HttpError::Malformed;
        }
    }
}

Result<ClientResponse, HttpError> fetch(const Address &address, const ClientRequest &request, Millis timeout, std::size_t maxBodyBytes)
{
    auto connection = HttpConnection::connect(address);
    if (const auto *failure = std::get_if<HttpError>(&connection)) {
        return *failure;
    }
    return std::get<HttpConnection>(connection).exchange(request, timeout, maxBodyBytes);
}

}
