#ifndef LABURNUMMAST_DAEMON_USAGEREPORTER_H
#define LABURNUMMAST_DAEMON_USAGEREPORTER_H

#include "core/membership/member.h"
#include "core/usage/usagechain.h"
#include "daemon/logoutbox.h"
#include "daemon/traffic.h"
#include "daemon/workerpool.h"

#include <map>
#include <string>
#include <vector>

namespace Laburnummast::Daemon
{

/// Brings this process's usage counters to its peers and to the log; used by the control thread.
class UsageReporter
{
public:
    UsageReporter(Usage::UsageSource self, std::string peerKey, Traffic &traffic, LogOutbox &outbox, WorkerPool &workers);

    /// Gives two peers a copy, if there is anything new.
    void shareWithPeers(const std::vector<Membership::Member> &serving);
    /// Queues a record for the log, if there is anything new.
    void enqueueForLog(const std::vector<Membership::Member> &others);

private:
    Usage::UsageSource m_self;
    std::string m_peerKey;
    Traffic &m_traffic;
    LogOutbox &m_outbox;
    WorkerPool &m_workers;
    Usage::UsageChain m_chain;
    Usage::UsageTable m_lastShared;
    Usage::UsageTable m_lastLogged;
    std::map<Usage::UsageSource, Usage::UsageTable> m_lastLoggedForEnded;
};

}

#endif
