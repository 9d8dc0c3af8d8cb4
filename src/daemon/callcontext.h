#ifndef LABURNUMMAST_DAEMON_CALLCONTEXT_H
#define LABURNUMMAST_DAEMON_CALLCONTEXT_H

#include "core/dispatch/call.h"
#include "net/connectionpool.h"
#include "net/httpclient.h"
#include "net/httpserver.h"

#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

namespace Laburnummast::Daemon
{

/// An upstream and the pool of connections to it.
struct UpstreamEndpoint
{
    std::string name;
    Net::ConnectionPool pool;

    UpstreamEndpoint(std::string upstream, const Net::ConnectionPoolOptions &options)
        : name(std::move(upstream))
        , pool(options)
    {
    }
};

/// Remaining body of an answer that is too long to buffer, read from the upstream while it is relayed.
class StreamedBody
{
public:
    StreamedBody(std::shared_ptr<UpstreamEndpoint> endpoint, Net::HttpConnection connection)
        : m_endpoint(std::move(endpoint))
        , m_connection(std::move(connection))
    {
    }
    /// Discards a connection that was not returned, because unread bytes of the answer may remain on it.
    ~StreamedBody()
    {
        if (!m_connectionReturned) {
            m_endpoint->pool.discard();
        }
    }
    StreamedBody(const StreamedBody &) = delete;
    StreamedBody &operator=(const StreamedBody &) = delete;

    /// Reads some bytes; 0 at the end, less than 0 on failure.
    std::int64_t read(std::span<char> buf)
    {
        return m_connection.read(buf);
    }
    /// Returns the connection to its pool once the body has been read to its end.
    void returnConnection()
    {
        m_connectionReturned = true;
        m_endpoint->pool.release(std::move(m_connection));
    }

private:
    std::shared_ptr<UpstreamEndpoint> m_endpoint;
    Net::HttpConnection m_connection;
    bool m_connectionReturned = false;
};

/// Answer of an upstream: complete, or its beginning and the connection to read the remaining body from.
struct UpstreamAnswer
{
    Net::ResponseHead head;
    /// Bytes of the body that have been read.
    std::string body;
    /// Empty if `body` is complete.
    std::unique_ptr<StreamedBody> streamedBody;
};

/// The call was refused without having run.
struct CallRefused
{
    Dispatch::RefusalReason reason = Dispatch::RefusalReason::QueueFull;
    /// Time after which the caller may try again.
    Millis retryAfter;
};

/// The dispatcher has finished the call.
struct CallFinished
{
    Dispatch::Disposition disposition = Dispatch::Disposition::Done;
    /// Empty if the attempt that ended the call got no answer.
    std::shared_ptr<UpstreamAnswer> answer;
    /// Time after which the caller may try again if the call is not done.
    Millis retryAfter;
};

/// The request body ended early or exceeded the route's limit while it was streamed to the upstream.
struct CallerBodyFailed
{
    Net::BodyError error = Net::BodyError::Incomplete;
};

using CallResult = std::variant<CallRefused, CallFinished, CallerBodyFailed>;

/// State of one call, shared by the handler thread that waits for its result and the threads that run its attempts.
struct CallContext
{
    Dispatch::CallRequest request;
    std::string requestId;
    std::string method;
    /// Path and query that are sent to the upstream.
    std::string target;
    /// Headers of the caller that are forwarded.
    std::vector<Net::Header> headers;
    /// The complete request body, or only its beginning if `bodyStream` is set.
    std::string body;
    /// Set if the remaining request body is read from the caller while it is sent to the upstream.
    Net::ServerRequest *bodyStream = nullptr;
    /// Length of the complete request body if it is streamed; empty if it is chunked.
    std::optional<std::int64_t> streamLength;
    /// Limit of the route for the request body.
    std::int64_t maxBodyBytes = 0;
    /// Number of bytes up to which an answer is read completely before it is relayed.
    std::size_t answerBufferLimit = 0;

    /// Guards `result`, `answers` and `slotMicros`.
    std::mutex mutex;
    std::condition_variable done;
    /// Empty until the call has ended.
    std::optional<CallResult> result;
    /// Answers of the attempts that have ended; null for one without a valid answer.
    std::map<Dispatch::AttemptNumber, std::shared_ptr<UpstreamAnswer>> answers;
    /// Set if reading the streamed request body failed.
    std::optional<Net::BodyError> bodyFailure;
    /// Time that attempts spent at upstreams, in microseconds.
    std::uint64_t slotMicros = 0;
    /// Bytes of the request body that were read.
    std::uint64_t bytesIn = 0;

    /// Sets the result and wakes the waiting thread; later results are ignored.
    void complete(CallResult value)
    {
        {
            const std::lock_guard lock(mutex);
            if (result) {
                return;
            }
            result = std::move(value);
        }
        done.notify_all();
    }
};

}

#endif
