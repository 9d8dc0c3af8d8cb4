#ifndef LABURNUMMAST_NET_HTTPSERVER_H
#define LABURNUMMAST_NET_HTTPSERVER_H

#include "core/membership/member.h"
#include "core/millis.h"
#include "core/result.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

struct mg_connection;
struct mg_context;

namespace Laburnummast::Net
{

using Membership::Address;

struct Header
{
    std::string name;
    std::string value;
};

/// One request whose header CivetWeb has parsed and whose body is still to be read.
class ServerRequest
{
public:
    explicit ServerRequest(mg_connection *connection);

    std::string_view method() const;
    std::string_view path() const;
    std::string_view query() const;
    /// Percent-decoded value of a query parameter; empty if it is missing or too long for the buffer of 1024 bytes.
    std::string parameter(const char *name) const;
    /// Value of a header; `std::nullopt` if the request has none of that name.
    std::optional<std::string_view> header(const char *name) const;
    std::vector<Header> headers() const;
    /// Declared length of the body; `std::nullopt` if none was declared, as for a chunked body.
    std::optional<std::int64_t> contentLength() const;
    bool hasBody() const;

    /// Reads part of the body into `buf`. Returns the number of bytes, 0 at the end, or a negative value if the body is incomplete.
    std::int64_t read(std::span<char> buf);

    /// Closes the connection after this response, even if the response was sent only in part.
    void closeAfterResponse();
    /// Whether the connection is closed after this response, by closeAfterResponse() or at the client's request.
    bool closesAfterResponse() const;

    mg_connection *connection() const
    {
        return m_connection;
    }

private:
    mg_connection *m_connection;
    std::int64_t m_bodyBytesRead = 0;
    bool m_closeAfterResponse = false;
};

/// Why a request body could not be read.
enum class BodyError : std::uint8_t {
    TooLarge,
    /// The client closed the connection before the end of the body.
    Incomplete,
};

/// Reads a complete body of at most `limit` bytes.
Result<std::string, BodyError> readBody(ServerRequest &request, std::size_t limit);

/// Reads and discards up to `limit` bytes of the body, because closing a connection with unread data can discard the response.
void discardBody(ServerRequest &request, std::size_t limit);

/// A response to send; its length and `Connection` headers are added.
struct ServerResponse
{
    int status = 200;
    std::string contentType = "application/json";
    std::vector<Header> headers;
    std::string body;
};

/// Sends a complete response; a HEAD request gets no body.
void sendResponse(ServerRequest &request, const ServerResponse &response);

/// Sends the header of a response whose body follows with sendBodyData(); without `length` the body is chunked.
void sendHead(ServerRequest &request, const ServerResponse &head, std::optional<std::int64_t> length);
/// Sends part of a body, as one chunk if `chunked` is set. Returns whether it was written completely.
bool sendBodyData(ServerRequest &request, std::string_view data, bool chunked);
/// Ends a chunked body. Returns whether the last chunk was written.
bool sendLastChunk(ServerRequest &request);

struct HttpServerOptions
{
    Address address;
    /// Number of worker threads, which is also the limit for connections served at the same time.
    int threads = 64;
    /// Accepted connections that wait for a thread; more wait in the backlog of the system, without a descriptor.
    int queuedConnections = 1024;
    /// Timeout of a single read from or write to a client.
    Millis requestTimeout{10000};
    /// How long a connection may stay open between two requests.
    Millis keepAliveTimeout{5000};
};

/// The server could not listen on `address`.
struct ListenError
{
    Address address;
};

class HttpServer;

/// Stops several servers in parallel, because each may wait several seconds for its threads.
void stopAll(std::span<HttpServer *const> servers);

/// HTTP server built on CivetWeb; each open connection occupies one worker thread.
class HttpServer
{
public:
    using Handler = std::function<void(ServerRequest &)>;

    HttpServer() = default;
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    /// Starts listening and serving; `handler` is called on the worker threads. Returns the error if that fails.
    std::optional<ListenError> start(const HttpServerOptions &options, Handler handler);
    /// Stops listening and waits for the worker threads; does nothing if the server is not running.
    void stop();
    bool running() const
    {
        return m_context != nullptr;
    }

private:
    static int handle(mg_connection *connection, void *self);

    Handler m_handler;
    mg_context *m_context = nullptr;
};

}

#endif
