#ifndef LABURNUMMAST_CORE_FEED_UPLOADQUEUE_H
#define LABURNUMMAST_CORE_FEED_UPLOADQUEUE_H

#include "core/millis.h"

#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <vector>

namespace Laburnummast::Feed
{

/// Capacity and limits of an UploadQueue.
struct UploadQueueOptions
{
    /// Capacity of the link of this host, in bytes per millisecond.
    double linkRate = 1250;
    /// An upload is admitted while those before it occupy the link for at most this long.
    Millis maxBacklog{50};
    /// Peers that wait for an invitation; those beyond this number ask again by themselves.
    std::size_t maxWaiting = 64;
};

/// Decides which peers may fetch records from this daemon now.
///
/// A new record is wanted by all daemons at once. If one daemon served them all at the same time, a large record would reach
/// none of them before their requests time out. So each daemon serves few at a time, and those serve the others: the number of
/// daemons that have the record grows exponentially.
class UploadQueue
{
public:
    explicit UploadQueue(UploadQueueOptions options);

    /// Whether an upload to `peer` may start now; start() must follow. Otherwise the peer waits for an invitation.
    bool admit(const std::string &peer, Millis now);
    /// Records that an upload of `bytes` starts.
    void start(std::size_t bytes, Millis now);
    /// Returns waiting peers that should request their records again, because the link is about to be free.
    std::vector<std::string> takeInvitations(Millis now);
    /// When takeInvitations() has something to return; empty while no peer waits.
    std::optional<Millis> nextDue() const;
    /// Whether records of `bytes` take long to reach `peers` daemons from one source, so that daemons that get them should offer them
    /// to others.
    bool needsRelays(std::size_t bytes, std::size_t peers) const;

private:
    Millis uploadTime(std::size_t bytes) const;

    UploadQueueOptions m_options;
    /// Estimated end of the admitted uploads.
    Millis m_busyUntil{};
    Millis m_nextInvitationAt{};
    std::deque<std::string> m_waiting;
};

}

#endif
