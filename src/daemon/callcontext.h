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

/// One upstream with its connections.
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

/// The rest of a long answer, still to be read from its upstream.
class StreamedBody
{
public:
    StreamedBody(std::shared_ptr<UpstreamEndpoint> endpoint, Net::HttpConnection connection)
        : m_endpoint(std::move(endpoint))
        , m_connection(std::move(connection))
    {
    }
    /// A connection that was not given back carries the rest of an answer nobody wants.
    ~StreamedBody()
    {
        if (!m_connectionReturned) {
            m_endpoint->pool.discard();
        }
    }
    StreamedBody(const StreamedBody &) = delete;
    StreamedBody &operator=(const StreamedBody &) = delete;

    std::int64_t read(std::span<char> buf)
    {
        return m_connection.read(buf);
    }
    void returnConnection()
    {
        m_connectionReturned = true;
        m_endpoint->pool.giveBack(std::move(m_connection));
    }

private:
    std::shared_ptr<UpstreamEndpoint> m_endpoint;
    Net::HttpConnection m_connection;
    bool m_connectionReturned = false;
};

/// An upstream's answer: whole, or its beginning with the connection that brings the rest.
struct UpstreamAnswer
{
    Net::ResponseHead head;
    std::string body;
    std::unique_ptr<StreamedBody> streamedBody;
};

struct CallRefused
{
    Dispatch::RefusalReason reason = Dispatch::RefusalReason::QueueFull;
    Millis retryAfter;
};

struct CallFinished
{
    Dispatch::Disposition disposition = Dispatch::Disposition::Done;
    std::shared_ptr<UpstreamAnswer> answer;
    Millis retryAfter;
};

/// The caller's own body broke off or grew too long while it was being passed on.
struct CallerBodyFailed
{
    Net::BodyError error = Net::BodyError::BrokenOff;
};

using CallResult = std::variant<CallRefused, CallFinished, CallerBodyFailed>;

/// One call on its way through this daemon, shared by the thread that waits and those that carry it.
struct CallContext
{
    Dispatch::CallRequest request;
    std::string requestId;
    std::string method;
    std::string target;
    std::vector<Net::Header> headers;
    std::string body;
    /// Set if more of the body is to be read from the caller while it is sent.
    Net::ServerRequest *bodyStream = nullptr;
    std::optional<std::int64_t> streamLength;
    std::int64_t maxBodyBytes = 0;
    /// Longest answer that is read whole before it is passed on.
    std::size_t answerBufferLimit = 0;

    std::mutex mutex;
    std::condition_variable done;
    std::optional<CallResult> result;
    std::map<Dispatch::AttemptNumber, std::shared_ptr<UpstreamAnswer>> answers;
    std::optional<Net::BodyError> bodyFailure;
    std::uint64_t slotMicros = 0;
    std::uint64_t bytesIn = 0;

    /// The first result stands.
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
