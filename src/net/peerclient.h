#ifndef LABURNUMMAST_NET_PEERCLIENT_H
#define LABURNUMMAST_NET_PEERCLIENT_H

#include "core/membership/member.h"
#include "core/millis.h"
#include "net/peermessage.h"

#include <string_view>

namespace Laburnummast::Net
{

/// Time limits of an exchange whose duration depends on how much is sent.
struct ExchangeLimits
{
    /// Longest time without any byte sent or received.
    Millis stall;
    /// Limit for the whole exchange, the connect included.
    Millis total;
};

/// Sends a request to a peer and waits for the reply.
///
/// Every request uses a new TCP connection, because an idle one could have been lost unnoticed. `key` authenticates both frames.
Result<PeerReply, PeerError>
askPeer(const Membership::Address &address, const PeerRequest &request, std::string_view key, const ExchangeLimits &limits);
/// Same, with `timeout` for the whole exchange.
Result<PeerReply, PeerError> askPeer(const Membership::Address &address, const PeerRequest &request, std::string_view key, Millis timeout);

}

#endif
