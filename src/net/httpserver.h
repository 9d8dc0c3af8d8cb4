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

/// One request as the server's library parsed it, with its body still to be read.
class ServerRequest
{
public:
    explicit ServerRequest(mg_connection *connection);

    std::string_view method() const;
    std::string_view path() const;
    std::string_view query() const;
    /// Value of a query parameter; empty if there is none.
    std::string parameter(const char *name) const;
    /// Value of a header; nothing if it was not sent.
    std::optional<std::string_view> header(const char *name) const;
    std::vector<Header> headers() const;
    /// Declared length of the body; nothing for a chunked body.
    std::optional<std::int64_t> contentLength() const;
    bool hasBody() const;

    /// Reads some bytes; 0 at the end, less than 0 if the body broke off.
    std::int64_t read(std::span<char> buf);

    /// Ends the connection after this response, also when the response was not sent whole.
    void closeAfterResponse();
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

enum class BodyError : std::uint8_t {
    TooLarge,
    Incomplete,
};

/// Reads a whole body of at most `limit` bytes.
Result<std::string, BodyError> readBody(ServerRequest &request, std::size_t limit);

/// Reads on and drops what comes: a connection closed with bytes unread may take its answer with it.
void discardBody(ServerRequest &request, std::size_t limit);

struct ServerResponse
{
    int status = 200;
    std::string contentType = "application/json";
    std::vector<Header> headers;
    std::string body;
};

/// Sends a whole response.
void sendResponse(ServerRequest &request, const ServerResponse &response);

/// Starts a response whose body follows in pieces; without a length it is chunked.
void sendHead(ServerRequest &request, const ServerResponse &head, std::optional<std::int64_t> length);
bool sendBodyData(ServerRequest &request, std::string_view data, bool chunked);
bool sendLastChunk(ServerRequest &request);

struct HttpServerOptions
{
    Address address;
    int threads = 64;
    Millis requestTimeout{10000};
    Millis keepAliveTimeout{5000};
};

struct ListenError
{
    Address address;
};

class HttpServer;

/// Stops servers side by side: each may wait for its threads for some seconds.
void stopAll(std::span<HttpServer *const> servers);

/// HTTP server on the house library; each open connection has one of its threads.
class HttpServer
{
public:
    using Handler = std::function<void(ServerRequest &)>;

    HttpServer() = default;
    ~HttpServer();
    HttpServer(const HttpServer &) = delete;
    HttpServer &operator=(const HttpServer &) = delete;

    std::optional<ListenError> start(const HttpServerOptions &options, Handler handler);
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
