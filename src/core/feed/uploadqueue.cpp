#include "core/feed/uploadqueue.h"

#include <algorithm>

namespace Laburnummast::Feed
{
namespace
{

// More than one peer is invited at a time, because some will have fetched the records elsewhere by then.
constexpr std::size_t invitationsAtOnce = 2;
// Time for an invited peer to send its request before others are invited.
constexpr Millis invitationTimeout = 30_ms;
// One source may serve all daemons if that takes it no longer than this.
constexpr Millis maxDirectTime = 250_ms;
// Bytes per millisecond.
constexpr double minLinkRate = 1;

}

UploadQueue::UploadQueue(UploadQueueOptions options)
    : m_options(options)
{
}

Millis UploadQueue::uploadTime(std::size_t bytes) const
{
    return {static_cast<double>(bytes) / std::max(minLinkRate, m_options.linkRate)};
}

bool UploadQueue::needsRelays(std::size_t bytes, std::size_t peers) const
{
    return uploadTime(bytes) * static_cast<double>(peers) > maxDirectTime;
}

bool UploadQueue::admit(const std::string &peer, Millis now)
{
    const auto waiting = std::find(m_waiting.begin(), m_waiting.end(), peer);
    if (m_busyUntil > now + m_options.maxBacklog) {
        if (waiting == m_waiting.end() && m_waiting.size() < m_options.maxWaiting) {
            m_waiting.push_back(peer);
        }
        return false;
    }
    if (waiting != m_waiting.end()) {
        m_waiting.erase(waiting);
    }
    return true;
}

void UploadQueue::start(std::size_t bytes, Millis now)
{
    m_busyUntil = std::max(m_busyUntil, now) + uploadTime(bytes);
}

std::vector<std::string> UploadQueue::takeInvitations(Millis now)
{
    std::vector<std::string> invited;
    const auto due = nextDue();
    if (!due || now < *due) {
        return invited;
    }
    const auto n = std::min(invitationsAtOnce, m_waiting.size());
    const auto end = m_waiting.begin() + static_cast<std::ptrdiff_t>(n);
    invited.assign(m_waiting.begin(), end);
    m_waiting.erase(m_waiting.begin(), end);
    m_nextInvitationAt = now + invitationTimeout;
    return invited;
}

std::optional<Millis> UploadQueue::nextDue() const
{
    return m_waiting.empty() ? std::nullopt : std::optional(std::max(m_busyUntil - m_options.maxBacklog, m_nextInvitationAt));
}

}
