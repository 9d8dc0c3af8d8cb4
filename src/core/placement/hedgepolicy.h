#ifndef LABURNUMMAST_CORE_PLACEMENT_HEDGEPOLICY_H
#define LABURNUMMAST_CORE_PLACEMENT_HEDGEPOLICY_H

#include "core/millis.h"
#include "core/placement/latencymodel.h"
#include "core/placement/opencall.h"
#include "core/routing/latencyhistogram.h"

namespace Laburnummast::Placement
{

/// Decides when a call gets a second attempt beside the one that is running, by how much this raises its chance to be in time.
class HedgePolicy
{
public:
    /// `latencyModel` must outlive the policy.
    explicit HedgePolicy(const LatencyModel &latencyModel)
        : m_latencyModel(latencyModel)
    {
    }

    /// Learns how long an attempt took to be answered.
    void learn(Millis latency)
    {
        m_latencies.add(latency);
    }
    /// When to consider a hedge for a call that is sent now; the deadline if never.
    Millis firstTime(const CallSpec &spec, Millis now) const;
    /// When to consider it again.
    Millis nextTime(const OpenCall &call, Millis now) const;
    /// By how much a hedge that is sent now raises the expected value of the call: 1 for an answer by the objective, less for a late one.
    double gain(const OpenCall &call, Millis now) const;
    /// Whether that gain is worth a part of the budget. `budgetUsed` is the used part of what hedges may use, 0 to 1.
    bool isWorthwhile(const OpenCall &call, double budgetUsed, Millis now) const;
    /// Whether an attempt sent now cannot be over in the time left, which is known only for calls that have used up much of their time.
    bool isHopeless(const OpenCall &call, Millis now) const;

private:
    bool isTrained() const;
    double gainAt(const OpenCall &call, Millis sentAt, Millis now) const;

    const LatencyModel &m_latencyModel;
    Routing::LatencyHistogram m_latencies;
};

}

#endif
