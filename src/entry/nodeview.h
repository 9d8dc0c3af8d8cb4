#ifndef LABURNUMMAST_ENTRY_NODEVIEW_H
#define LABURNUMMAST_ENTRY_NODEVIEW_H

#include "core/fleet/upstreamtable.h"
#include "core/routes/routetable.h"

#include <memory>
#include <string>
#include <vector>

namespace Laburnummast::Entry
{

/// A daemon that callers may be sent to.
struct EntryAddress
{
    std::string host;
    std::string domain;
    /// IP:PORT
    std::string address;
};

/// What the control thread believes, as the traffic thread uses it; never changes once handed over.
struct NodeView
{
    /// Null until a version is known.
    std::shared_ptr<const Routes::RouteTable> routes;
    /// Whether the upstreams were listed once.
    bool upstreamsKnown = false;
    std::vector<Fleet::KnownUpstream> upstreams;
    std::vector<EntryAddress> entries;
    /// Daemons that share budgets with this one, itself included.
    std::size_t daemonCount = 1;
    /// Those of them that live.
    std::size_t servingDaemonCount = 1;
    bool draining = false;

    bool ready() const
    {
        return routes != nullptr && upstreamsKnown && !draining;
    }
};

}

#endif
