#ifndef LABURNUMMAST_NET_PEERCLIENT_H
#define LABURNUMMAST_NET_PEERCLIENT_H

#include "core/membership/member.h"
#include "core/millis.h"
#include "net/peermessage.h"

#include <string_view>

namespace Laburnummast::Net
{

/// Sends a request to a peer and waits up to `timeout` for the reply.
///
/// Every request uses a new TCP connection, because a kept one could have died unnoticed. `key` authenticates both frames.
Result<PeerReply, PeerError> askPeer(const Membership::Address &address, const PeerRequest &request, std::string_view key, Millis timeout);

}

#endif
