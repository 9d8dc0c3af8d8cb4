#ifndef LABURNUMMAST_DAEMON_METRICS_H
#define LABURNUMMAST_DAEMON_METRICS_H

#include "daemon/callhandler.h"
#include "daemon/control.h"
#include "daemon/traffic.h"

#include <prometheus/collectable.h>
#include <prometheus/metric_family.h>
#include <string>
#include <vector>

namespace Laburnummast::Daemon
{

/// Resident memory of this process in bytes.
double residentBytes();

/// Builds Prometheus metrics from the counters of the process on each collection.
class Metrics : public prometheus::Collectable
{
public:
    Metrics(const CallHandler &calls, const Traffic &traffic, const Control &control);

    std::vector<prometheus::MetricFamily> Collect() const override;
    /// All metrics in the Prometheus text format.
    std::string text() const;

private:
    const CallHandler &m_calls;
    const Traffic &m_traffic;
    const Control &m_control;
};

}

#endif
