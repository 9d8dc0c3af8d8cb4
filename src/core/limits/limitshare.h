#ifndef LABURNUMMAST_CORE_LIMITS_LIMITSHARE_H
#define LABURNUMMAST_CORE_LIMITS_LIMITSHARE_H

#include "core/routing/rendezvous.h"

#include <cstddef>
#include <string_view>
#include <vector>

namespace Laburnummast::Limits
{

/// The daemons among which the limits of upstreams are divided.
struct LimitPool
{
    /// Daemons that may use a share; those that do not answer stay listed until they are declared dead.
    std::vector<Routing::Candidate> daemons;
    /// Index of this daemon in `daemons`; their number if it may not use any share.
    std::size_t self = 0;
    /// Daemons declared dead that may still run and use their shares, because only this side cannot reach them.
    std::size_t unreachable = 0;

    friend bool operator==(const LimitPool &, const LimitPool &) = default;
};

/// An upstream and its limit.
struct LimitedUpstream
{
    std::string_view id;
    std::string_view domain;
    /// Calls per second from all daemons together.
    double perSecond = 0;
};

/// Calls per second that this daemon may send to the upstream; 0 if only other daemons may use the limit.
///
/// A limit is divided among a few daemons only, so that each share is large enough to be of use. They are those of the upstream's
/// failure domain with the highest rendezvous scores, then others. The shares of all daemons never exceed the limit while the
/// daemons agree about each other, and on both sides of a partition together they exceed it by little.
double limitShare(const LimitedUpstream &upstream, const LimitPool &pool);

}

#endif
