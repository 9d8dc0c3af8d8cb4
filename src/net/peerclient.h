#ifndef LABURNUMMAST_NET_PEERCLIENT_H
#define LABURNUMMAST_NET_PEERCLIENT_H

#include "core/membership/member.h"
#include "core/millis.h"
#include "net/peermessage.h"

#include <string_view>

namespace Laburnummast::Net
{

/// Asks a peer over a new TCP connection: none is kept that could go silent.
Result<PeerReply, PeerError> askPeer(const Membership::Address &address, const PeerRequest &request, std::string_view key, Millis timeout);

}

#endif
