#ifndef LABURNUMMAST_NET_HTTPCLIENT_H
#define LABURNUMMAST_NET_HTTPCLIENT_H

#include "core/millis.h"
#include "core/result.h"
#include "net/httpserver.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Laburnummast::Net
{

/// Why a request got no complete response.
enum class HttpError : std::uint8_t {
    CannotConnect,
    /// The connection failed while the request was being written.
    WriteFailed,
    /// No response header arrived within the timeout.
    TimedOut,
    /// The connection closed or failed before the response was complete.
    BrokenOff,
    /// The response is not valid HTTP, has a status that no final response can have, or its body exceeds the limit.
    Malformed,
};

/// Name of an error in lower case with hyphens.
std::string_view nameOf(HttpError error);

/// A request to send; the `Host` header and the header for the body's length are added.
struct ClientRequest
{
    std::string method = "GET";
    std::string target = "/";
    std::vector<Header> headers;
    std::string_view body;
    /// Length of a body that is sent separately with sendBodyData(); -1 for chunked encoding. Unset if `body` is the whole body.
    std::optional<std::int64_t> streamedLength;
};

/// Status and headers of a response.
struct ResponseHead
{
    int status = 0;
    std::vector<Header> headers;
    /// Unset for a chunked body or one that ends when the connection closes.
    std::optional<std::int64_t> contentLength;

    /// Value of the first header named `name`, compared without case; `std::nullopt` if there is none.
    std::optional<std::string_view> header(std::string_view name) const;
};

struct ClientResponse
{
    ResponseHead head;
    std::string body;
};

/// A blocking client connection that can be kept alive between exchanges.
class HttpConnection
{
public:
    /// Opens a connection; the only possible error is `CannotConnect`.
    static Result<HttpConnection, HttpError> connect(const Address &address);

    ~HttpConnection();
    HttpConnection(HttpConnection &&other) noexcept;
    HttpConnection &operator=(HttpConnection &&other) noexcept;
    HttpConnection(const HttpConnection &) = delete;
    HttpConnection &operator=(const HttpConnection &) = delete;

    /// Sends a request and reads the complete response.
    ///
    /// `timeout` limits the wait for the response header. A body of more than `maxBodyBytes` bytes is an error.
    Result<ClientResponse, HttpError> exchange(const ClientRequest &request, Millis timeout, std::size_t maxBodyBytes);

    /// Sends the header and `request.body`; returns the error if that fails.
    std::optional<HttpError> sendRequest(const ClientRequest &request);
    /// Sends part of a streamed body, as one chunk if `chunked` is set. Returns whether it was written completely.
    bool sendBodyData(std::string_view data, bool chunked);
    /// Ends a chunked body. Returns whether the last chunk was written.
    bool sendLastChunk();
    /// Waits up to `timeout` for the status and headers of the response.
    Result<ResponseHead, HttpError> readHead(Millis timeout);
    /// Reads part of the body into `buf`. Returns the number of bytes, 0 at the end, or a negative value if the body is incomplete.
    std::int64_t read(std::span<char> buf);

    /// Whether the last response was read completely and the server keeps the connection open.
    bool reusable() const
    {
        return m_reusable;
    }
    /// Time of the connect, on the steady clock.
    Millis openedAt() const
    {
        return m_openedAt;
    }
    /// Whether a request has been sent on this connection.
    bool usedBefore() const
    {
        return m_requestCount > 0;
    }

private:
    explicit HttpConnection(mg_connection *connection, const Address &address);

    mg_connection *m_connection = nullptr;
    Address m_address;
    Millis m_openedAt;
    std::optional<std::int64_t> m_contentLength;
    std::int64_t m_bodyBytesRead = 0;
    bool m_responseHasNoBody = false;
    bool m_keepAlive = false;
    bool m_reusable = false;
    int m_requestCount = 0;
};

/// Performs one exchange over a new connection; see HttpConnection::exchange().
Result<ClientResponse, HttpError> fetch(const Address &address, const ClientRequest &request, Millis timeout, std::size_t maxBodyBytes);

}

#endif
