// bench-capacity: measures how state, messages, processor time and memory of the daemon's code grow with the size of a system.
// docs/CAPACITY.md uses these slopes.

#include "core/config/configstate.h"
#include "core/dispatch/dispatcher.h"
#include "core/idempotency/keytable.h"
#include "core/keyedhash.h"
#include "core/text.h"
#include "core/usage/usagechain.h"
#include "daemon/runtimeconfig.h"
#include "membership/fakenetwork.h"

#include <algorithm>
#include <chrono>
#include <ctime>
#include <iostream>
#include <malloc.h>

namespace Laburnummast
{
namespace
{

// Prints a CSV line; `size` is the number of upstreams, calls, keys or members that the measurement was made with.
void printMeasurement(std::string_view name, std::int64_t size, std::string_view unit, double value)
{
    std::cout << name << "," << size << "," << unit << "," << value << std::endl;
}

// Processor time of this thread in milliseconds.
double cpuMillis()
{
    timespec time{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) * 1e3 + static_cast<double>(time.tv_nsec) / 1e6;
}

// Allocated heap memory of the process.
double heapBytes()
{
    return static_cast<double>(mallinfo2().uordblks);
}

// A note that adds an owner, its services with one route each, and their upstreams.
std::string declarationsNote(int services, int upstreams)
{
    std::string text
        = "[note]\nformat = 1\nid = base\n[added owner o]\n[added partner o/p]\nowner = o\ncredential_sha256 = " + sha256Hex("x") + "\n";
    for (int i = 0; i < services; ++i) {
        Text::append(text, "[added service s", i, "]\nowner = o\n");
        Text::append(
            text, "[added route s", i, "/r]\nservice = s", i, "\nmethod = GET\nprefix = /r\npriority = normal\nidempotent = yes\n");
    }
    for (int i = 0; i < upstreams; ++i) {
        Text::append(text, "[added upstream u", i, "]\nservice = s", i % services, "\nhost = 10.0.0.1\nport = 80\ndomain = d\n");
    }
    return text;
}

void measureConfig(int services, int upstreams)
{
    const auto text = declarationsNote(services, upstreams);
    Config::ConfigState state;
    const double heapBefore = heapBytes();
    const double cpuBefore = cpuMillis();
    state.apply(0, text);
    printMeasurement("config_first_note", upstreams, "ms", cpuMillis() - cpuBefore);
    printMeasurement("config_state", upstreams, "bytes", heapBytes() - heapBefore);
    const double runtimeStart = cpuMillis();
    const double heapBeforeRuntime = heapBytes();
    const Daemon::RuntimeConfig config(state);
    printMeasurement("runtime_config", upstreams, "ms", cpuMillis() - runtimeStart);
    printMeasurement("runtime_config", upstreams, "bytes", heapBytes() - heapBeforeRuntime);
    constexpr int notes = 200;
    const double changesStart = cpuMillis();
    for (int i = 1; i <= notes; ++i) {
        const auto base = i == 1 ? 0 : i - 1;
        state.apply(i, Text::concat("[note]\nformat = 1\nid = n", i, "\n[changed owner o]\nbase = ", base, "\nweight = ", 1 + i % 9, "\n"));
    }
    printMeasurement("config_change", upstreams, "ms", (cpuMillis() - changesStart) / notes);
    const double writeStart = cpuMillis();
    const auto snapshot = state.writeSnapshot();
    printMeasurement("snapshot_write", upstreams, "ms", cpuMillis() - writeStart);
    printMeasurement("snapshot_size", upstreams, "bytes", static_cast<double>(snapshot.size()));
    const double readStart = cpuMillis();
    const auto restored = Config::ConfigState::readSnapshot(snapshot);
    printMeasurement("snapshot_read", upstreams, "ms", cpuMillis() - readStart);
}

void measureDispatcher(int upstreams)
{
    std::vector<Dispatch::UpstreamSpec> specs;
    specs.reserve(static_cast<std::size_t>(upstreams));
    for (int i = 0; i < upstreams; ++i) {
        specs.push_back({.name = Text::concat("upstream-", i), .domain = "d", .slots = 3});
    }
    const double heapBefore = heapBytes();
    Dispatch::Dispatcher dispatcher(Dispatch::DispatcherOptions{});
    Dispatch::Actions actions;
    dispatcher.setUpstreams(specs, 0_ms, actions);
    printMeasurement("dispatcher_memory", upstreams, "bytes", heapBytes() - heapBefore);
    constexpr int calls = 20000;
    Millis now = 1_s;
    const double cpuBefore = cpuMillis();
    for (Dispatch::CallId id = 1; id <= calls; ++id) {
        now += 0.1_ms;
        actions.clear();
        dispatcher.submit({.id = id, .priority = Priority::Urgent, .idempotent = false, .deadline = now + 500_ms}, now, actions);
        const auto sent = std::get<Dispatch::SendAttempt>(actions.front());
        dispatcher.attemptEnded(sent.call,
                                sent.attempt,
                                {.outcome = Dispatch::AttemptOutcome::Answered, .report = Dispatch::LoadReport{.inFlight = 1}},
                                now + 20_ms,
                                actions);
    }
    printMeasurement("decision", upstreams, "ns", (cpuMillis() - cpuBefore) / calls * 1e6);
}

void measureQueuedCalls(int calls)
{
    Dispatch::Dispatcher dispatcher(Dispatch::DispatcherOptions{.queueLimit = 1000000});
    Dispatch::Actions actions;
    const std::vector<Dispatch::UpstreamSpec> specs{{.name = "u", .domain = "d", .slots = 1}};
    dispatcher.setUpstreams(specs, 0_ms, actions);
    const double heapBefore = heapBytes();
    for (int i = 1; i <= calls; ++i) {
        dispatcher.submit({.id = static_cast<std::uint64_t>(i), .priority = Priority::Deferrable, .deadline = 100_s}, 1_s, actions);
        actions.clear();
    }
    printMeasurement("queued_call_core", calls, "bytes", (heapBytes() - heapBefore) / calls);
}

void measureKeys(int keys)
{
    Idempotency::KeyTable table({.maxKeys = 10000000, .maxTotalBytes = 4ULL << 30}, "a", 0_ms);
    const double heapBefore = heapBytes();
    const double cpuBefore = cpuMillis();
    for (int i = 0; i < keys; ++i) {
        const auto key = Text::concat("contapassi/guards\ncontatore\ntap-", i);
        table.begin(key, Millis{1.0 * i});
        table.finishAnswered(key, {.status = 200, .contentType = "text/plain", .body = std::string(100, 'x')}, Millis{1.0 * i});
    }
    printMeasurement("idempotency_key", keys, "bytes", (heapBytes() - heapBefore) / keys);
    printMeasurement("idempotency_time", keys, "ns", (cpuMillis() - cpuBefore) / keys * 1e6);
}

// Rates are per member; the first 20 simulated seconds, in which the members find each other, are not measured.
void measureMembership(int members, int seconds)
{
    Tests::FakeNetwork network(members, 1);
    network.run(Millis{20000});
    const auto datagramsBefore = network.datagrams;
    network.measureBytes = true;
    const double cpuBefore = cpuMillis();
    network.run(Millis{1000.0 * seconds});
    const double memberSeconds = static_cast<double>(members) * seconds;
    printMeasurement("membership_cpu", members, "ms/s", (cpuMillis() - cpuBefore) / memberSeconds);
    printMeasurement("membership_datagrams", members, "1/s", static_cast<double>(network.datagrams - datagramsBefore) / memberSeconds);
    printMeasurement("membership_bytes", members, "bytes/s", static_cast<double>(network.bytes) / memberSeconds);
    printMeasurement("membership_known", members, "members", static_cast<double>(network.member(members - 1).serving().size()));
}

void measureUsage(int keys)
{
    Usage::UsageTable table;
    for (int i = 0; i < keys; ++i) {
        table[{.owner = "contapassi", .partner = Text::concat("contapassi/partner-", i % 20), .service = Text::concat("service-", i)}]
            = {.calls = 1};
    }
    Usage::UsageChain chain({.host = "host-1", .incarnation = 1});
    const double cpuBefore = cpuMillis();
    const auto record = chain.encodeNext({{.source = {.host = "host-1", .incarnation = 1}, .table = table}}, 0_ms);
    printMeasurement("usage_record_time", keys, "ms", cpuMillis() - cpuBefore);
    printMeasurement("usage_record", keys, "bytes", static_cast<double>(record.size()));
}

}
}

int main()
{
    using namespace Laburnummast;
    std::cout << "name,size,unit,value\n";
    for (const auto &[services, upstreams] : {std::pair{4, 64}, std::pair{70, 475}, std::pair{280, 1900}}) {
        measureConfig(services, upstreams);
    }
    for (const int it : {30, 300, 1900}) {
        measureDispatcher(it);
    }
    for (const int it : {4, 100, 560}) {
        measureUsage(it);
    }
    for (const int it : {1000, 10000, 50000}) {
        measureQueuedCalls(it);
    }
    for (const int it : {1000, 10000, 100000}) {
        measureKeys(it);
    }
    measureMembership(16, 30);
    measureMembership(64, 30);
    measureMembership(256, 10);
    measureMembership(1000, 3);
}
