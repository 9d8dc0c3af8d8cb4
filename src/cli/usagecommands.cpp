// Usage command with its modes: live, report, verify.

#include "cli/client.h"
#include "core/text.h"
#include "core/usage/usagechain.h"
#include "net/logclient.h"

#include <absl/strings/str_format.h>
#include <iostream>

namespace Laburnummast::Cli
{
namespace
{

constexpr int recordsPerRead = 1000;
constexpr double microsPerSecond = 1e6;

nlohmann::json toJson(const Usage::UsageKey &key, const Usage::UsageCounters &counters)
{
    return {{"owner", key.owner},
            {"partner", key.partner},
            {"service", key.service},
            {"calls", counters.calls},
            {"refused", counters.refused},
            {"slot_seconds", static_cast<double>(counters.slotMicros) / microsPerSecond},
            {"bytes_in", counters.bytesIn},
            {"bytes_out", counters.bytesOut},
            {"probes", counters.probes}};
}

void printTable(const Usage::UsageTable &table)
{
    std::cout << absl::StrFormat("%-14s %-24s %-16s %10s %10s %12s %14s %14s %8s\n",
                                 "owner",
                                 "partner",
                                 "service",
                                 "calls",
                                 "refused",
                                 "slot s",
                                 "bytes in",
                                 "bytes out",
                                 "probes");
    for (const auto &[key, counters] : table) {
        std::cout << absl::StrFormat("%-14s %-24s %-16s %10d %10d %12.2f %14d %14d %8d\n",
                                     key.owner,
                                     key.partner,
                                     key.service,
                                     counters.calls,
                                     counters.refused,
                                     static_cast<double>(counters.slotMicros) / microsPerSecond,
                                     counters.bytesIn,
                                     counters.bytesOut,
                                     counters.probes);
    }
}

// Audits all usage records in the log, reading them page by page. Prints an error and returns nothing if the log cannot be
// read.
std::optional<Usage::UsageAudit> auditUsageLog()
{
    const auto address = logAddress();
    if (!address) {
        return std::nullopt;
    }
    const Net::LogClient log(*address);
    Usage::UsageAudit audit;
    Net::Offset nextOffset = 0;
    while (true) {
        const auto result = log.read(Net::usageStream, nextOffset, recordsPerRead, {});
        const auto *page = std::get_if<Net::LogPage>(&result);
        if (page == nullptr) {
            printError(Text::concat("the log cannot be read: ", nameOf(std::get<Net::LogError>(result))));
            return std::nullopt;
        }
        for (const auto &it : page->records) {
            audit.addRecord(it.offset, it.data);
            nextOffset = it.offset + 1;
        }
        if (page->records.empty()) {
            return audit;
        }
    }
}

// Fetches the usage counters from every daemon and sums them over all sources. A daemon also returns its copies of other daemons'
// counters. Counters only grow, so the largest value received for a counter is the latest. Daemons that do not respond are left
// out. Prints an error and returns nothing if the member list cannot be fetched.
std::optional<Usage::UsageTable> fetchLiveUsage()
{
    const auto daemons = fetchDaemons();
    if (!daemons) {
        return std::nullopt;
    }
    Usage::UsageBySource sources;
    for (const auto &daemon : *daemons) {
        const auto response = get(daemon.adminAddress, "/v1/usage");
        if (!response || !response->json.contains("usage")) {
            continue;
        }
        for (const auto &it : response->json["usage"]) {
            const Usage::UsageSource source{.host = it.value("host", ""), .incarnation = it.value("incarnation", std::uint64_t{0})};
            const Usage::UsageKey key{
                .owner = it.value("owner", ""), .partner = it.value("partner", ""), .service = it.value("service", "")};
            sources[source][key].mergeMaximum({.calls = it.value("calls", std::uint64_t{0}),
                                               .refused = it.value("refused", std::uint64_t{0}),
                                               .slotMicros = it.value("slot_micros", std::uint64_t{0}),
                                               .bytesIn = it.value("bytes_in", std::uint64_t{0}),
                                               .bytesOut = it.value("bytes_out", std::uint64_t{0}),
                                               .probes = it.value("probes", std::uint64_t{0})});
        }
    }
    return sumOf(sources);
}

ExitCode printLiveUsage(const std::optional<Usage::UsageTable> &table)
{
    if (!table) {
        return ExitCode::Unreachable;
    }
    if (wantsJson()) {
        nlohmann::json rows = nlohmann::json::array();
        for (const auto &[key, counters] : *table) {
            rows.push_back(toJson(key, counters));
        }
        std::cout << rows.dump(2) << "\n";
    } else {
        printTable(*table);
    }
    return ExitCode::Ok;
}

// Prints the usage of each day; days are counted from 1970-01-01.
ExitCode printByDay(const Usage::UsageAudit &audit)
{
    nlohmann::json rows = nlohmann::json::array();
    for (const auto &[day, table] : audit.byDay()) {
        if (!wantsJson()) {
            std::cout << "day " << day << " since 1970\n";
            printTable(table);
        }
        for (const auto &[key, counters] : table) {
            auto row = toJson(key, counters);
            row["day"] = day;
            rows.push_back(row);
        }
    }
    if (wantsJson()) {
        std::cout << rows.dump(2) << "\n";
    }
    return ExitCode::Ok;
}

// Prints the faults in the hash chains of the usage records, and the totals. Returns ExitCode::Refused if there are faults.
ExitCode printAuditResult(const Usage::UsageAudit &audit)
{
    for (const auto &it : audit.faults()) {
        std::cerr << absl::StrFormat("offset %d: %s in the hash chain of %s/%d at sequence number %d\n",
                                     it.offset,
                                     nameOf(it.kind),
                                     it.writer.host,
                                     it.writer.incarnation,
                                     it.sequence);
    }
    if (wantsJson()) {
        std::cout << nlohmann::json{{"records", audit.records()}, {"repeats", audit.repeats()}, {"faults", audit.faults().size()}}.dump()
                  << "\n";
    } else {
        printTable(audit.total());
        std::cout << absl::StrFormat("%d records, %d repeats, %d faults\n", audit.records(), audit.repeats(), audit.faults().size());
    }
    return audit.faults().empty() ? ExitCode::Ok : ExitCode::Refused;
}

}

ExitCode showUsage(Arguments arguments)
{
    const auto mode = arguments.empty() ? std::string("live") : arguments[0];
    if (mode == "live") {
        return printLiveUsage(fetchLiveUsage());
    }
    if (mode != "report" && mode != "verify") {
        printError("unknown mode; expected usage [live|report|verify]");
        return ExitCode::Usage;
    }
    const auto audit = auditUsageLog();
    if (!audit) {
        return ExitCode::Unreachable;
    }
    return mode == "report" ? printByDay(*audit) : printAuditResult(*audit);
}

}
