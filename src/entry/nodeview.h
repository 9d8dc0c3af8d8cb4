#ifndef LABURNUMMAST_ENTRY_NODEVIEW_H
#define LABURNUMMAST_ENTRY_NODEVIEW_H

#include "core/fleet/freshness.h"
#include "core/fleet/upstreamtable.h"
#include "core/limits/limitshare.h"
#include "core/routes/routetable.h"

#include <memory>
#include <string>
#include <vector>

namespace Laburnummast::Entry
{

/// Address of a daemon that accepts calls.
struct EntryAddress
{
    std::string host;
    /// Failure domain.
    std::string domain;
    /// `IP:PORT`
    std::string address;
};

/// State that the control thread passes to the traffic thread; immutable once passed.
struct NodeView
{
    /// Null until a version of the routes is known.
    std::shared_ptr<const Routes::RouteTable> routes;
    /// Whether no newer version of the routes is expected: no daemon reported one, and the store is reachable.
    bool routesCurrent = false;
    /// Whether a snapshot of the upstreams has been applied.
    bool upstreamsKnown = false;
    /// Upstreams that may get new calls: all known ones that are not draining.
    std::shared_ptr<const std::vector<Fleet::KnownUpstream>> upstreams = std::make_shared<std::vector<Fleet::KnownUpstream>>();
    /// Daemons that are ready to accept calls.
    std::vector<EntryAddress> entries;
    /// Daemons that divide the limits of upstreams among themselves.
    std::shared_ptr<const Limits::LimitPool> limitPool;
    /// Daemons that share the retry budget, this one and members that are not alive included.
    std::size_t daemonCount = 1;
    /// Daemons that divide the allowances of workspaces while they cannot reach its home, dead ones included.
    std::size_t allowanceDaemons = 1;
    /// Whether this daemon has run long enough to know nearly all members.
    bool membersKnown = false;
    /// Alive and suspected daemons; they share the probe rate.
    std::size_t servingDaemonCount = 1;
    /// This daemon is draining.
    bool draining = false;
    /// Whether calls with a credential may be served with these routes.
    Fleet::FreshnessLimit freshness;

    /// Whether this daemon can serve calls.
    bool ready() const
    {
        return routes != nullptr && upstreamsKnown && !draining;
    }
};

}

#endif
