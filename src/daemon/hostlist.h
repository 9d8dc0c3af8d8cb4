#ifndef LABURNUMMAST_DAEMON_HOSTLIST_H
#define LABURNUMMAST_DAEMON_HOSTLIST_H

#include "core/membership/member.h"

#include <string_view>
#include <vector>

namespace Laburnummast::Daemon
{

/// What the platform's list says; it lags, so it is a hint.
struct HostList
{
    std::vector<Membership::Address> liveDaemons;
    std::vector<Membership::Address> leavingUpstreams;
};

/// Reads the list; entries that make no sense are left out.
HostList parseHostList(std::string_view text);

}

#endif
