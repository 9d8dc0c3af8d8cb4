#include "daemon/metrics.h"

#include <fstream>
#include <prometheus/text_serializer.h>
#include <sstream>
#include <unistd.h>

namespace Laburnummast::Daemon
{
namespace
{

using Labels = std::vector<prometheus::ClientMetric::Label>;

// Builds the family of one metric, sample by sample.
class FamilyBuilder
{
public:
    FamilyBuilder(const char *name, const char *help, prometheus::MetricType type)
        : m_family{.name = name, .help = help, .type = type, .metric = {}}
    {
    }

    void addSample(double value, Labels labels = {})
    {
        prometheus::ClientMetric metric;
        metric.label = std::move(labels);
        // Only the value that matches the type of the family is serialized.
        metric.counter.value = value;
        metric.gauge.value = value;
        m_family.metric.push_back(std::move(metric));
    }

    prometheus::MetricFamily take()
    {
        return std::move(m_family);
    }

private:
    prometheus::MetricFamily m_family;
};

FamilyBuilder counter(const char *name, const char *help)
{
    return {name, help, prometheus::MetricType::Counter};
}

FamilyBuilder gauge(const char *name, const char *help)
{
    return {name, help, prometheus::MetricType::Gauge};
}

void addCalls(std::vector<prometheus::MetricFamily> &families, const CallCounters &counters)
{
    auto calls = counter("laburnummast_calls_total", "Calls by how they ended.");
    calls.addSample(static_cast<double>(counters.done), {{"outcome", "done"}});
    calls.addSample(static_cast<double>(counters.replayed), {{"outcome", "replayed"}});
    for (std::size_t i = 0; i < callFailureCount; ++i) {
        calls.addSample(static_cast<double>(counters.failed[i]), {{"outcome", std::string(nameOf(static_cast<CallFailure>(i)))}});
    }
    families.push_back(calls.take());
    auto inFlight = gauge("laburnummast_calls_in_flight", "Calls being served.");
    inFlight.addSample(static_cast<double>(counters.inFlight));
    families.push_back(inFlight.take());
    auto buffered = gauge("laburnummast_buffered_bytes", "Bytes of request bodies held in memory.");
    buffered.addSample(static_cast<double>(counters.bufferedBytes));
    families.push_back(buffered.take());
}

void addServices(std::vector<prometheus::MetricFamily> &families, const Traffic &traffic)
{
    auto dispatched = counter("laburnummast_dispatched_total", "Calls sent to upstreams, by service and priority.");
    auto refused = counter("laburnummast_refused_total", "Calls refused as not run, by service and priority.");
    auto extra = counter("laburnummast_extra_attempts_total", "Attempts beyond the first, by service and kind.");
    auto probes = counter("laburnummast_probes_total", "Probes of upstreams, by service.");
    const auto config = traffic.config();
    if (config) {
        for (const auto &[name, view] : config->services()) {
            const auto runner = traffic.runner(name);
            const auto counts = runner->counters();
            for (const auto priority : {Priority::Urgent, Priority::Normal, Priority::Deferrable}) {
                const Labels labels{{"service", name}, {"priority", std::string(nameOf(priority))}};
                dispatched.addSample(static_cast<double>(counts.dispatched[indexOf(priority)]), labels);
                refused.addSample(static_cast<double>(counts.refused[indexOf(priority)]), labels);
            }
            extra.addSample(static_cast<double>(counts.retries), {{"service", name}, {"kind", "retry"}});
            extra.addSample(static_cast<double>(counts.hedges), {{"service", name}, {"kind", "hedge"}});
            probes.addSample(static_cast<double>(counts.probes), {{"service", name}});
        }
    }
    families.push_back(dispatched.take());
    families.push_back(refused.take());
    families.push_back(extra.take());
    families.push_back(probes.take());
}

void addUsage(std::vector<prometheus::MetricFamily> &families, const Traffic &traffic)
{
    auto calls = counter("laburnummast_usage_calls_total", "Calls served by this process, by owner, partner and service.");
    auto slot = counter("laburnummast_usage_slot_seconds_total", "Time at upstreams, by owner, partner and service.");
    constexpr double microsPerSecond = 1e6;
    for (const auto &[key, counters] : traffic.ownUsage()) {
        const Labels labels{{"owner", key.owner}, {"partner", key.partner}, {"service", key.service}};
        calls.addSample(static_cast<double>(counters.calls), labels);
        slot.addSample(static_cast<double>(counters.slotMicros) / microsPerSecond, labels);
    }
    families.push_back(calls.take());
    families.push_back(slot.take());
}

void addControl(std::vector<prometheus::MetricFamily> &families, const Control &control, std::size_t servingCount)
{
    const auto resources = control.resourceUse();
    auto cpu = counter("laburnummast_control_cpu_seconds_total", "Processor time of the control thread.");
    cpu.addSample(resources.cpuSeconds);
    families.push_back(cpu.take());
    auto bytes = counter("laburnummast_control_bytes_total", "Bytes between this process and its peers and to the log.");
    bytes.addSample(static_cast<double>(resources.bytes));
    families.push_back(bytes.take());
    auto memory = gauge("laburnummast_resident_bytes", "Resident memory of the process.");
    memory.addSample(residentBytes());
    families.push_back(memory.take());
    auto serving = gauge("laburnummast_members_serving", "Members that take new callers.");
    serving.addSample(static_cast<double>(servingCount));
    families.push_back(serving.take());
    auto offset = gauge("laburnummast_config_offset", "Offset in the log up to which the configuration is in force.");
    offset.addSample(static_cast<double>(control.config().position().offset));
    families.push_back(offset.take());
}

}

double residentBytes()
{
    std::ifstream stream("/proc/self/statm");
    double total = 0;
    double resident = 0;
    stream >> total >> resident;
    return resident * static_cast<double>(sysconf(_SC_PAGESIZE));
}

Metrics::Metrics(const CallHandler &calls, const Traffic &traffic, const Control &control)
    : m_calls(calls)
    , m_traffic(traffic)
    , m_control(control)
{
}

std::vector<prometheus::MetricFamily> Metrics::Collect() const
{
    std::vector<prometheus::MetricFamily> families;
    addCalls(families, m_calls.counters());
    addServices(families, m_traffic);
    addUsage(families, m_traffic);
    addControl(families, m_control, m_traffic.serving().size());
    return families;
}

std::string Metrics::text() const
{
    std::ostringstream stream;
    prometheus::TextSerializer().Serialize(stream, Collect());
    return stream.str();
}

}
