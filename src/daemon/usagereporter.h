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
    UsageReporter(Usage::UsageSource self, std::string peerKey, Traffic &traffic, LogOutbox &outbox, WorkerPool &helpers);

    /// Gives two peers a copy, if there is anything new.
    void share(const std::vector<Membership::Member> &serving);
    /// Queues a record for the log, if there is anything new.
    void write(const std::vector<Membership::Member> &others);

private:
    Usage::UsageSource m_self;
    std::string m_peerKey;
    Traffic &m_traffic;
    LogOutbox &m_outbox;
    WorkerPool &m_helpers;
    Usage::UsageChain m_chain;
    Usage::UsageTable m_shared;
    Usage::UsageTable m_logged;
    std::map<Usage::UsageSource, Usage::UsageTable> m_loggedForDead;
};

}

#endif
