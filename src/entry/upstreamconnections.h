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

/// Addresses of the upstreams and the connections kept to them.
class UpstreamConnections
{
public:
    using Addresses = std::map<std::string, Membership::Address, std::less<>>;

    explicit UpstreamConnections(boost::asio::io_context &loop);

    void setAddresses(Addresses addresses);
    /// Null for an upstream that is not listed.
    const Membership::Address *addressOf(std::string_view upstream) const;
    /// Null for an upstream that is not listed.
    std::shared_ptr<Http::ClientConnection> take(std::string_view upstream, Millis now);
    void giveBack(std::string_view upstream, const std::shared_ptr<Http::ClientConnection> &connection);
    /// One connection failed: idle ones to the same upstream may have been forgotten as well.
    void dropIdle(std::string_view upstream);
    /// Closes what is idle for too long or leads to upstreams that are gone.
    void sweep(Millis now);
    /// Sums over all upstreams since the start.
    Http::ClientPoolCounters counters() const;

private:
    void keepCounters(const Http::ClientPool &pool);

    boost::asio::io_context &m_loop;
    Addresses m_addresses;
    std::map<std::string, std::unique_ptr<Http::ClientPool>, std::less<>> m_pools;
    /// Of pools that are gone.
    Http::ClientPoolCounters m_closedPoolCounters;
};

}

#endif
