#include "entry/clientmemory.h"

#include <algorithm>
#include <sys/resource.h>

namespace Laburnummast::Entry
{
namespace
{

constexpr double bytesPerMegabyte = 1000000;
// Descriptors for files, listeners and the store; of a small limit at most a quarter.
constexpr std::size_t fileDescriptors = 200;
// Descriptors for peers: a sixteenth of the limit, and of a small limit an eighth, so that all daemons of a deployment can connect.
constexpr std::size_t usualPeerConnections = 256;
// Connections to each upstream: one for calls and one for probes; some more for the upstreams that are used most.
constexpr std::size_t connectionsPerUpstream = 2;
constexpr std::size_t extraUpstreamConnections = 64;
// Memory for records that are sent to peers: what the link carries in twice the time for which uploads are admitted, and one large record.
// At least enough for a copy of all records, and at most a share of all memory.
constexpr double uploadSeconds = 0.1;
constexpr double bytesPerMegabit = 125000;
constexpr double largeRecordBytes = 2000000;
constexpr double minRecordsBytes = 4000000;
constexpr double maxRecordsShare = 0.1;

std::uint64_t memoryOf(const NodeSettings &settings)
{
    return static_cast<std::uint64_t>(std::max(0.0, settings.memoryMegabytes) * bytesPerMegabyte);
}

std::size_t descriptorLimitOf(const NodeSettings &settings)
{
    if (settings.descriptorLimit > 0) {
        return static_cast<std::size_t>(settings.descriptorLimit);
    }
    rlimit limit{};
    return ::getrlimit(RLIMIT_NOFILE, &limit) == 0 ? static_cast<std::size_t>(limit.rlim_cur) : 0;
}

}

DescriptorShares DescriptorShares::of(std::size_t limit, std::size_t upstreamCount)
{
    const auto files = std::min(fileDescriptors, limit / 4);
    const auto peers = std::max(limit / 16, std::min(usualPeerConnections, limit / 8));
    const auto needed = std::max(limit / 8, connectionsPerUpstream * upstreamCount + extraUpstreamConnections);
    const auto upstreams = std::min(limit / 2, needed);
    return {.callers = limit - std::min(limit, files + peers + upstreams), .peers = peers};
}

ClientMemory::ClientMemory(const NodeSettings &settings)
    : m_descriptorLimit(descriptorLimitOf(settings))
    , m_budget(std::make_shared<BufferBudget>(BufferBudgetOptions::forMemory(memoryOf(settings))))
    , m_guard(std::make_shared<Http::ConnectionGuard>(m_budget))
{
    m_budget->setShortageHandler([guard = std::weak_ptr(m_guard)] {
        if (const auto it = guard.lock()) {
            it->makeRoomInMemory(nullptr);
        }
    });
    setUpstreamCount(0);
}

void ClientMemory::attach(std::initializer_list<Http::Listener *> listeners) const
{
    for (auto *it : listeners) {
        it->setBufferBudget(m_budget);
        it->setGuard(m_guard);
    }
}

void ClientMemory::setUpstreamCount(std::size_t n)
{
    m_maxConnections = DescriptorShares::of(m_descriptorLimit, n).callers;
    m_guard->setMaxConnections(m_maxConnections);
}

ClientMemoryState ClientMemory::state() const
{
    return {.closed = m_guard->counters(),
            .connectionBytes = m_budget->connectionBytes(),
            .connections = m_guard->connectionCount(),
            .maxConnections = m_maxConnections};
}

std::shared_ptr<Http::ConnectionGuard> recordsGuard(const NodeSettings &settings)
{
    const auto wanted = settings.linkMegabits * bytesPerMegabit * uploadSeconds + largeRecordBytes;
    const auto most = static_cast<double>(memoryOf(settings)) * maxRecordsShare;
    const auto bytes = static_cast<std::uint64_t>(std::max(minRecordsBytes, std::min(wanted, most)));
    const auto budget = std::make_shared<BufferBudget>(
        BufferBudgetOptions{.requestBytes = 0, .totalBytes = 0, .smallBodyBytes = bytes / 8, .connectionBytes = bytes});
    auto guard = std::make_shared<Http::ConnectionGuard>(budget);
    guard->setMaxConnections(DescriptorShares::of(descriptorLimitOf(settings), 0).peers);
    return guard;
}

}
