#ifndef LABURNUMMAST_DAEMON_HOSTLIST_H
#define LABURNUMMAST_DAEMON_HOSTLIST_H

#include "core/membership/member.h"

#include <string_view>
#include <vector>

namespace Laburnummast::Daemon
{

/// Addresses from the platform's host list, which may be out of date and is therefore only a hint.
struct HostList
{
    /// Addresses of daemons whose state is not "leaving".
    std::vector<Membership::Address> liveDaemons;
    /// Addresses of upstreams whose state is "leaving".
    std::vector<Membership::Address> leavingUpstreams;
};

/// Parses the JSON text of a host list. Invalid entries are skipped; the list is empty if the text is invalid.
HostList parseHostList(std::string_view text);

}

#endif
