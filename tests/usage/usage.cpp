#include "core/usage/usagechain.h"
#include "core/usage/usageledger.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace Laburnummast;
using namespace Laburnummast::Usage;

namespace
{

const UsageKey key{.owner = "consorcio", .partner = "grulla", .service = "taquilla"};
const UsageSource hostA{.host = "a", .incarnation = 1};

UsageTable calls(std::uint64_t n)
{
    return {{key, {.calls = n}}};
}

std::vector<UsageEntry> entries(std::uint64_t n)
{
    return {{.source = hostA, .table = calls(n)}};
}

}

TEST_CASE("Copies that are merged twice, late or out of order count once")
{
    rc::check([] {
        UsageLedger ledger({.host = "b", .incarnation = 1});
        std::uint64_t largest = 0;
        const auto steps = *rc::gen::container<std::vector<std::uint8_t>>(rc::gen::arbitrary<std::uint8_t>());
        for (const auto it : steps) {
            ledger.merge(hostA, calls(it));
            largest = std::max<std::uint64_t>(largest, it);
        }
        RC_ASSERT(ledger.total()[key].calls == largest);
    });
}

TEST_CASE("Two incarnations of one host are counted separately")
{
    UsageLedger ledger({.host = "b", .incarnation = 1});
    ledger.merge({.host = "a", .incarnation = 1}, calls(10));
    ledger.merge({.host = "a", .incarnation = 2}, calls(3));
    CHECK(ledger.total()[key].calls == 13);
}

TEST_CASE("An intact chain has no faults and gives the total usage")
{
    UsageChain chain(hostA);
    UsageAudit audit;
    audit.addRecord(0, chain.encodeNext(entries(5), 1_s));
    audit.addRecord(1, chain.encodeNext(entries(9), 2_s));
    CHECK(audit.faults().empty());
    CHECK(audit.total()[key].calls == 9);
}

TEST_CASE("A record that is appended twice counts as a repeat and not as a fault")
{
    UsageChain chain(hostA);
    UsageAudit audit;
    const auto record = chain.encodeNext(entries(5), 1_s);
    audit.addRecord(0, record);
    audit.addRecord(1, record);
    audit.addRecord(2, chain.encodeNext(entries(6), 2_s));
    CHECK(audit.faults().empty());
    CHECK(audit.repeats() == 1);
    CHECK(audit.total()[key].calls == 6);
}

TEST_CASE("A missing record is reported as a gap")
{
    UsageChain chain(hostA);
    UsageAudit audit;
    audit.addRecord(0, chain.encodeNext(entries(5), 1_s));
    (void)chain.encodeNext(entries(6), 2_s);
    audit.addRecord(1, chain.encodeNext(entries(7), 3_s));
    REQUIRE(audit.faults().size() == 1);
    CHECK(audit.faults()[0].kind == ChainFaultKind::Gap);
    CHECK(audit.faults()[0].sequence == 2);
}

TEST_CASE("An altered record is reported as a break at the next record")
{
    UsageChain chain(hostA);
    UsageAudit audit;
    auto decoded = std::get<UsageRecord>(decodeUsageRecord(chain.encodeNext(entries(5), 1_s)));
    decoded.entries[0].table[key].calls = 4;
    audit.addRecord(0, encode(decoded));
    audit.addRecord(1, chain.encodeNext(entries(9), 2_s));
    REQUIRE(audit.faults().size() == 1);
    CHECK(audit.faults()[0].kind == ChainFaultKind::Break);
}

TEST_CASE("A source that lowers its own counter is reported as shrunk")
{
    UsageChain chain(hostA);
    UsageAudit audit;
    audit.addRecord(0, chain.encodeNext(entries(9), 1_s));
    audit.addRecord(1, chain.encodeNext(entries(5), 2_s));
    REQUIRE(audit.faults().size() == 1);
    CHECK(audit.faults()[0].kind == ChainFaultKind::Shrunk);
    CHECK(audit.total()[key].calls == 9);
}

TEST_CASE("A copy written by another member adds usage that the source did not write itself")
{
    UsageChain own(hostA);
    UsageChain successor({.host = "b", .incarnation = 1});
    UsageAudit audit;
    audit.addRecord(0, own.encodeNext(entries(5), 1_s));
    audit.addRecord(1, successor.encodeNext(entries(8), 2_s));
    CHECK(audit.faults().empty());
    CHECK(audit.total()[key].calls == 8);
}

TEST_CASE("An increase in usage counts for the day of the record that first reports it")
{
    UsageChain chain(hostA);
    UsageAudit audit;
    audit.addRecord(0, chain.encodeNext(entries(5), 86400_s * 3 + 1_s));
    audit.addRecord(1, chain.encodeNext(entries(9), 86400_s * 4 + 1_s));
    CHECK(audit.byDay().at(3).at(key).calls == 5);
    CHECK(audit.byDay().at(4).at(key).calls == 4);
}

TEST_CASE("Random bytes in the stream are reported as one fault")
{
    rc::check([](const std::string &bytes) {
        UsageAudit audit;
        audit.addRecord(0, bytes);
        RC_ASSERT(audit.faults().size() == 1);
    });
}

TEST_CASE("Records that are appended again after a restore lost them are neither a fault nor counted twice")
{
    UsageChain chain(hostA);
    UsageAudit audit;
    const auto first = chain.encodeNext(entries(5), 1_s);
    const auto second = chain.encodeNext(entries(6), 2_s);
    const auto third = chain.encodeNext(entries(8), 3_s);
    audit.addRecord(0, first);
    audit.addRecord(1, third);
    audit.addRecord(2, first);
    audit.addRecord(3, second);
    audit.addRecord(4, third);
    CHECK(audit.faults().empty());
    CHECK(audit.repeats() == 2);
    CHECK(audit.total()[key].calls == 8);
}

TEST_CASE("A second record with the sequence number of an earlier one is reported as a break")
{
    UsageChain chain(hostA);
    UsageChain forged(hostA);
    UsageAudit audit;
    audit.addRecord(0, chain.encodeNext(entries(5), 1_s));
    audit.addRecord(1, forged.encodeNext(entries(4), 1_s));
    const auto faults = audit.faults();
    CHECK(std::any_of(faults.begin(), faults.end(), [](const ChainFault &it) { return it.kind == ChainFaultKind::Break; }));
}
