#ifndef LABURNUMMAST_DAEMON_USAGEREPORTER_H
#define LABURNUMMAST_DAEMON_USAGEREPORTER_H

#include "core/membership/member.h"
#include "core/usage/usagechain.h"
#include "daemon/logoutbox.h"
#include "daemon/traffic.h"
#include "daemon/workerpool.h"

#include <deque>
#include <map>
#include <string>
#include <vector>

namespace Laburnummast::Daemon
{

/// Copies the usage counters of this process to peers and to the log. Not thread-safe: the control thread uses it.
class UsageReporter
{
public:
    UsageReporter(Usage::UsageSource self, std::string peerKey, Traffic &traffic, LogOutbox &outbox, WorkerPool &workers);

    /// Sends a copy of this process's counters to two of the serving peers if they changed since the last copy.
    void shareWithPeers(const std::vector<Membership::Member> &serving);
    /// Queues a usage record for the log if counters changed and none is pending.
    ///
    /// The record includes the copies from processes that no longer run according to `others`.
    void enqueueForLog(const std::vector<Membership::Member> &others);
    /// Has the latest records written again, because the log was restored from a copy that may lack them.
    void repeatRecords();
    /// Queues the next record that repeatRecords() left to be written, unless one is pending.
    void enqueueRepeated();

private:
    Usage::UsageSource m_self;
    std::string m_peerKey;
    Traffic &m_traffic;
    LogOutbox &m_outbox;
    WorkerPool &m_workers;
    Usage::UsageChain m_chain;
    Usage::UsageTable m_lastShared;
    Usage::UsageTable m_lastLogged;
    /// Last logged counters of processes that ended.
    std::map<Usage::UsageSource, Usage::UsageTable> m_lastLoggedForEnded;
    /// Latest encoded records, oldest first.
    std::deque<std::string> m_recentRecords;
    /// Records still to be written again, oldest first.
    std::deque<std::string> m_recordsToRepeat;
};

}

#endif
