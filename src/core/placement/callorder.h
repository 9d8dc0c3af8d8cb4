#ifndef LABURNUMMAST_CORE_PLACEMENT_CALLORDER_H
#define LABURNUMMAST_CORE_PLACEMENT_CALLORDER_H

#include "core/millis.h"
#include "core/placement/opencall.h"
#include "core/placement/recentservice.h"

#include <vector>

namespace Laburnummast::Placement
{

/// Order in which the calls of a service get upstreams: by the rank of the workspace, the rank of the route, the service that the
/// workspace received lately, and the objective. Calls of a starved workspace go before all others.
class CallOrder
{
public:
    /// `service` must outlive the order.
    explicit CallOrder(const RecentService &service)
        : m_service(service)
    {
    }

    /// Sorts the calls. Of the calls of one workspace each counts as served for the next, so that workspaces take turns.
    void sort(std::vector<OpenCall *> &calls, Millis now) const;
    /// Whether `a` is likely to get an upstream before `b` if both wait.
    bool goesBefore(const CallSpec &a, const CallSpec &b, Millis now) const;

private:
    const RecentService &m_service;
};

}

#endif
