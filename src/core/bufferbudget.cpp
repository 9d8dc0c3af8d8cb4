#include "core/bufferbudget.h"

#include <algorithm>

namespace Laburnummast
{
namespace
{

// Shares of the memory of a process. The rest is for its code and state, for heads and for buffers that are copied while they grow.
constexpr double requestShare = 0.5;
constexpr double totalShare = 0.65;
constexpr double smallBodyShare = 0.1;
constexpr std::uint64_t maxSmallBodyBytes = 65536;

std::uint64_t shareOf(std::uint64_t bytes, double share)
{
    return static_cast<std::uint64_t>(static_cast<double>(bytes) * share);
}

}

BufferBudgetOptions BufferBudgetOptions::forMemory(std::uint64_t memoryBytes)
{
    return {.requestBytes = shareOf(memoryBytes, requestShare),
            .totalBytes = shareOf(memoryBytes, totalShare),
            .smallBodyBytes = shareOf(memoryBytes, smallBodyShare)};
}

BufferBudget::BufferBudget(const BufferBudgetOptions &options)
    : m_options(options)
{
}

bool BufferBudget::canHold(BufferUse use, std::uint64_t bytes) const
{
    return bytes <= (use == BufferUse::Request ? m_options.requestBytes : m_options.totalBytes);
}

bool BufferBudget::raise(BufferUse use, std::uint64_t from, std::uint64_t to)
{
    const auto added = to - from;
    const bool small = to <= maxSmallBodyBytes;
    const bool requestFits = use == BufferUse::Answer || small || m_reservedForRequests + added <= m_options.requestBytes;
    if (!requestFits || m_reserved + added > m_options.totalBytes + (small ? m_options.smallBodyBytes : 0)) {
        return false;
    }
    m_reserved += added;
    m_reservedForRequests += use == BufferUse::Request ? added : 0;
    m_peak = std::max(m_peak, m_reserved);
    return true;
}

void BufferBudget::release(BufferUse use, std::uint64_t bytes)
{
    m_reserved -= bytes;
    m_reservedForRequests -= use == BufferUse::Request ? bytes : 0;
}

BufferReservation::BufferReservation(std::shared_ptr<BufferBudget> budget, BufferUse use)
    : m_budget(std::move(budget))
    , m_use(use)
{
}

BufferReservation::~BufferReservation()
{
    m_budget->release(m_use, m_bytes);
}

bool BufferReservation::raiseTo(std::uint64_t bytes)
{
    if (bytes <= m_bytes) {
        return true;
    }
    if (!m_budget->raise(m_use, m_bytes, bytes)) {
        return false;
    }
    m_bytes = bytes;
    return true;
}

}
