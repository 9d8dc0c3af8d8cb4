#ifndef LABURNUMMAST_ENTRY_CLIENTMEMORY_H
#define LABURNUMMAST_ENTRY_CLIENTMEMORY_H

#include "core/bufferbudget.h"
#include "entry/nodesettings.h"
#include "http/connectionguard.h"
#include "http/listener.h"

#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <memory>

namespace Laburnummast::Entry
{

/// Descriptors of a daemon, divided among their uses.
struct DescriptorShares
{
    /// Connections of callers, and requests for readiness and entry lists.
    std::size_t callers = 0;
    /// Connections of other daemons that fetch records.
    std::size_t peers = 0;

    /// Shares of `limit` descriptors for a daemon that knows `upstreamCount` upstreams.
    static DescriptorShares of(std::size_t limit, std::size_t upstreamCount);
};

/// Counters and values of ClientMemory for the metrics.
struct ClientMemoryState
{
    Http::GuardCounters closed{};
    std::uint64_t connectionBytes = 0;
    std::size_t connections = 0;
    std::size_t maxConnections = 0;
};

/// Owns the limits for all that callers and upstreams make the traffic thread hold: memory and descriptors.
class ClientMemory
{
public:
    explicit ClientMemory(const NodeSettings &settings);

    /// Applies the limits to listeners that have not been started.
    void attach(std::initializer_list<Http::Listener *> listeners) const;
    /// Keeps descriptors for connections to `n` upstreams.
    void setUpstreamCount(std::size_t n);
    const std::shared_ptr<BufferBudget> &budget() const
    {
        return m_budget;
    }
    ClientMemoryState state() const;

private:
    std::size_t m_descriptorLimit;
    std::size_t m_maxConnections = 0;
    std::shared_ptr<BufferBudget> m_budget;
    std::shared_ptr<Http::ConnectionGuard> m_guard;
};

/// Limits for the port on which other daemons fetch records; not shared with callers, who must not be able to cut off the peers.
std::shared_ptr<Http::ConnectionGuard> recordsGuard(const NodeSettings &settings);

}

#endif
