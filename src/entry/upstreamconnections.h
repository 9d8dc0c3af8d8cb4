#ifndef LABURNUMMAST_ENTRY_UPSTREAMCONNECTIONS_H
#define LABURNUMMAST_ENTRY_UPSTREAMCONNECTIONS_H

#include "core/membership/member.h"
#include "http/clientpool.h"

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace Laburnummast::Entry
{

/// Addresses of the listed upstreams and pools of connections to them.
class UpstreamConnections
{
public:
    using Addresses = std::map<std::string, Membership::Address, std::less<>>;

    explicit UpstreamConnections(boost::asio::io_context &loop);

    /// Replaces the list of upstreams.
    void setAddresses(Addresses addresses);
    /// Returns null for an upstream that is not listed.
    const Membership::Address *addressOf(std::string_view upstream) const;
    /// Returns an idle connection or a new one that is not connected yet; null for an upstream that is not listed.
    std::shared_ptr<Http::ClientConnection> acquire(std::string_view upstream, Millis now);
    /// Returns a connection to its pool; ignores one that is in use, closed or connected to an earlier address of the upstream.
    void release(std::string_view upstream, const std::shared_ptr<Http::ClientConnection> &connection);
    /// Closes the idle connections to an upstream. To be called when one of its connections fails, as the others may be lost too.
    void closeIdle(std::string_view upstream);
    /// Closes connections that are idle for too long, and all idle ones to upstreams that are no longer listed.
    void closeExpired(Millis now);
    /// Sums over all upstreams since the start, removed ones included.
    Http::ClientPoolCounters counters() const;

private:
    /// Adds the counters of a pool that is about to be removed to `m_closedPoolCounters`.
    void keepCounters(const Http::ClientPool &pool);

    boost::asio::io_context &m_loop;
    Addresses m_addresses;
    std::map<std::string, std::unique_ptr<Http::ClientPool>, std::less<>> m_pools;
    /// Sums over the pools that were removed.
    Http::ClientPoolCounters m_closedPoolCounters;
};

}

#endif
