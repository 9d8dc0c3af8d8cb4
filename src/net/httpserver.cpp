#include "net/httpserver.h"

#include "core/text.h"
#include "net/bodybuffer.h"

#include <algorithm>
#include <array>
#include <civetweb.h>
#include <mutex>
#include <thread>

namespace Laburnummast::Net
{
namespace
{

constexpr std::size_t maxParameterBytes = 1024;

void initLibrary()
{
    static std::once_flag once;
    std::call_once(once, [] { mg_init_library(MG_FEATURES_DEFAULT); });
}

std::string encodeHead(const ServerResponse &response, std::optional<std::int64_t> length, bool close)
{
    std::string head = Text::concat("HTTP/1.1 ", response.status, " ", mg_get_response_code_text(nullptr, response.status), "\r\n");
    Text::append(head, "Content-Type: ", response.contentType, "\r\n");
    if (length) {
        Text::append(head, "Content-Length: ", *length, "\r\n");
    } else {
        Text::append(head, "Transfer-Encoding: chunked\r\n");
    }
    Text::append(head, "Connection: ", close ? "close" : "keep-alive", "\r\n");
    for (const auto &it : response.headers) {
        Text::append(head, it.name, ": ", it.value, "\r\n");
    }
    Text::append(head, "\r\n");
    return head;
}

bool writeAll(mg_connection *connection, std::string_view bytes)
{
    return bytes.empty() || mg_write(connection, bytes.data(), bytes.size()) == static_cast<int>(bytes.size());
}

}

ServerRequest::ServerRequest(mg_connection *connection)
    : m_connection(connection)
{
}

std::string_view ServerRequest::method() const
{
    return mg_get_request_info(m_connection)->request_method;
}

std::string_view ServerRequest::path() const
{
    return mg_get_request_info(m_connection)->local_uri;
}

std::string_view ServerRequest::query() const
{
    const char *it = mg_get_request_info(m_connection)->query_string;
    return it == nullptr ? std::string_view() : std::string_view(it);
}

std::string ServerRequest::parameter(const char *name) const
{
    const auto text = query();
    std::array<char, maxParameterBytes> buf{};
    const int n = mg_get_var(text.data() == nullptr ? "" : text.data(), text.size(), name, buf.data(), buf.size());
    return n > 0 ? std::string(buf.data(), static_cast<std::size_t>(n)) : std::string();
}

std::optional<std::string_view> ServerRequest::header(const char *name) const
{
    const char *it = mg_get_header(m_connection, name);
    return it == nullptr ? std::nullopt : std::optional<std::string_view>(it);
}

std::vector<Header> ServerRequest::headers() const
{
    const auto *info = mg_get_request_info(m_connection);
    std::vector<Header> result;
    result.reserve(static_cast<std::size_t>(info->num_headers));
    for (int i = 0; i < info->num_headers; ++i) {
        result.push_back({.name = info->http_headers[i].name, .value = info->http_headers[i].value});
    }
    return result;
}

std::optional<std::int64_t> ServerRequest::contentLength() const
{
    const auto length = mg_get_request_info(m_connection)->content_length;
    return length < 0 ? std::nullopt : std::optional<std::int64_t>(length);
}

bool ServerRequest::hasBody() const
{
    return header("Content-Length") || header("Transfer-Encoding");
}

std::int64_t ServerRequest::read(std::span<char> buf)
{
    const auto length = contentLength();
    if (length && m_bodyBytesRead >= *length) {
        return 0;
    }
    if (!hasBody()) {
        return 0;
    }
    const int n = mg_read(m_connection, buf.data(), buf.size());
    if (n > 0) {
        m_bodyBytesRead += n;
        return n;
    }
    // mg_read() returns 0 both at the end of the body and when the client closed the connection early.
    return length && m_bodyBytesRead < *length ? -1 : n;
}

void ServerRequest::closeAfterResponse()
{
    m_closeAfterResponse = true;
    mg_disable_connection_keep_alive(m_connection);
}

bool ServerRequest::closesAfterResponse() const
{
    return m_closeAfterResponse || Text::equalsIgnoreCase(header("Connection").value_or(""), "close");
}

Result<std::string, BodyError> readBody(ServerRequest &request, std::size_t limit)
{
    const auto length = request.contentLength();
    if (length && *length > static_cast<std::int64_t>(limit)) {
        return BodyError::TooLarge;
    }
    std::string body;
    body.reserve(length ? static_cast<std::size_t>(*length) : 0);
    BodyBuffer buf;
    while (true) {
        const auto n = request.read(buf.writable());
        if (n < 0) {
            return BodyError::Incomplete;
        }
        if (n == 0) {
            return body;
        }
        body.append(buf.first(static_cast<std::size_t>(n)));
        if (body.size() > limit) {
            return BodyError::TooLarge;
        }
    }
}

void discardBody(ServerRequest &request, std::size_t limit)
{
    BodyBuffer buf;
    std::size_t remaining = limit;
    while (remaining > 0) {
        const auto n = request.read(buf.writable());
        if (n <= 0) {
            return;
        }
        remaining -= std::min(remaining, static_cast<std::size_t>(n));
    }
}

void sendResponse(ServerRequest &request, const ServerResponse &response)
{
    auto bytes = encodeHead(response, static_cast<std::int64_t>(response.body.size()), request.closesAfterResponse());
    if (request.method() != "HEAD") {
        bytes += response.body;
    }
    writeAll(request.connection(), bytes);
}

void sendHead(ServerRequest &request, const ServerResponse &head, std::optional<std::int64_t> length)
{
    writeAll(request.connection(), encodeHead(head, length, request.closesAfterResponse()));
}

bool sendBodyData(ServerRequest &request, std::string_view data, bool chunked)
{
    if (!chunked || data.empty()) {
        return writeAll(request.connection(), data);
    }
    return mg_send_chunk(request.connection(), data.data(), static_cast<unsigned int>(data.size())) > 0;
}

bool sendLastChunk(ServerRequest &request)
{
    return mg_send_chunk(request.connection(), "", 0) >= 0;
}

HttpServer::~HttpServer()
{
    stop();
}

std::optional<ListenError> HttpServer::start(const HttpServerOptions &options, Handler handler)
{
    initLibrary();
    m_handler = std::move(handler);
    const auto ports = Text::concat(options.address.ip, ":", options.address.port);
    const auto threads = Text::concat(options.threads);
    const auto queue = Text::concat(options.queuedConnections);
    const auto requestTimeout = Text::concat(static_cast<std::int64_t>(options.requestTimeout.count));
    const auto keepAlive = Text::concat(static_cast<std::int64_t>(options.keepAliveTimeout.count));
    const std::array<const char *, 21> settings{"listening_ports",
                                                ports.c_str(),
                                                "num_threads",
                                                threads.c_str(),
                                                "enable_keep_alive",
                                                "yes",
                                                "keep_alive_timeout_ms",
                                                keepAlive.c_str(),
                                                "request_timeout_ms",
                                                requestTimeout.c_str(),
                                                "tcp_nodelay",
                                                "1",
                                                "listen_backlog",
                                                "1024",
                                                "connection_queue",
                                                queue.c_str(),
                                                "decode_url",
                                                "no",
                                                "linger_timeout_ms",
                                                "1000",
                                                nullptr};
    mg_callbacks callbacks{};
    m_context = mg_start(&callbacks, nullptr, const_cast<const char **>(settings.data()));
    if (m_context == nullptr) {
        return ListenError{.address = options.address};
    }
    mg_set_request_handler(m_context, "**", &HttpServer::handle, this);
    return std::nullopt;
}

void HttpServer::stop()
{
    if (m_context != nullptr) {
        mg_stop(m_context);
        m_context = nullptr;
    }
}

void stopAll(std::span<HttpServer *const> servers)
{
    std::vector<std::thread> threads;
    threads.reserve(servers.size());
    for (auto *it : servers) {
        threads.emplace_back([it] { it->stop(); });
    }
    for (auto &it : threads) {
        it.join();
    }
}

int HttpServer::handle(mg_connection *connection, void *self)
{
    ServerRequest request(connection);
    static_cast<HttpServer *>(self)->m_handler(request);
    constexpr int handled = 200;
    return handled;
}

}
