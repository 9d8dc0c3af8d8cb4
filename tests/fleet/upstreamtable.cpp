#include "core/fleet/upstreamtable.h"

#include <doctest/doctest.h>

using namespace Laburnummast;
using namespace Laburnummast::Fleet;

namespace
{

UpstreamRecord record(const std::string &id, bool draining = false)
{
    return {.id = id,
            .service = "s",
            .address = {.ip = "127.0.0.1", .port = 1},
            .domain = "a",
            .slots = 3,
            .draining = draining,
            .startedAt = 1};
}

}

TEST_CASE("A removal takes effect at once while the store is reachable")
{
    UpstreamTable table;
    table.put(record("u1"), 0_ms);
    table.remove("u1", 100_ms);
    CHECK(table.upstreams().empty());
}

TEST_CASE("An entry that expired while the store was unreachable is kept until two seconds after the store is reachable again")
{
    UpstreamTable table;
    table.put(record("u1"), 0_ms);
    table.put(record("u2"), 0_ms);
    table.markStoreUnreachable();
    table.markStoreReachable(10_s);
    table.remove("u1", 10_s);
    table.remove("u2", 10_s);
    CHECK(table.upstreams().size() == 2);
    CHECK_FALSE(table.applyDeferredRemovals(11900_ms));
    table.put(record("u1"), 11_s);
    CHECK(table.applyDeferredRemovals(12_s));
    CHECK(table.upstreams().contains("u1"));
    CHECK_FALSE(table.upstreams().contains("u2"));
}

TEST_CASE("A removal that a peer forwards while the store is unreachable is deferred until the store is reachable again")
{
    UpstreamTable table;
    table.put(record("u1"), 0_ms);
    table.markStoreUnreachable();
    table.remove("u1", 5_s);
    CHECK_FALSE(table.applyDeferredRemovals(60_s));
    CHECK(table.upstreams().size() == 1);
    table.markStoreReachable(61_s);
    CHECK(table.applyDeferredRemovals(63_s));
    CHECK(table.upstreams().empty());
}

TEST_CASE("An upstream that announced draining is removed at once even while the store is unreachable")
{
    UpstreamTable table;
    table.put(record("u1", true), 0_ms);
    table.markStoreUnreachable();
    table.remove("u1", 5_s);
    CHECK(table.upstreams().empty());
}

TEST_CASE("An upstream that is missing from an older copy of the store is kept until it may have registered again")
{
    UpstreamTable table;
    table.put(record("u1"), 0_ms);
    table.put(record("u2"), 0_ms);
    table.markStoreRestored(10_s);
    table.remove("u1", 10_s);
    table.remove("u2", 10_s);
    CHECK(table.upstreams().size() == 2);
    CHECK_FALSE(table.applyDeferredRemovals(11900_ms));
    table.put(record("u1"), 11_s);
    CHECK(table.applyDeferredRemovals(12_s));
    CHECK(table.upstreams().contains("u1"));
    CHECK_FALSE(table.upstreams().contains("u2"));
}

TEST_CASE("An upstream that announced draining does not get calls again because an older copy of the store shows it as ready")
{
    UpstreamTable table;
    table.put(record("u1"), 0_ms);
    table.put(record("u1", true), 5_s);
    table.markStoreRestored(10_s);
    table.put(record("u1"), 10_s);
    CHECK(table.upstreams().at("u1").record.draining);
    SUBCASE("and announces it again")
    {
        table.put(record("u1", true), 11_s);
        CHECK_FALSE(table.applyHeldRecords(12_s));
        CHECK(table.upstreams().at("u1").record.draining);
    }
    SUBCASE("and is removed again")
    {
        table.remove("u1", 11_s);
        CHECK_FALSE(table.applyHeldRecords(12_s));
        CHECK(table.upstreams().empty());
    }
    SUBCASE("unless that is still its latest record after the time to register again")
    {
        CHECK_FALSE(table.applyHeldRecords(11900_ms));
        CHECK(table.upstreams().at("u1").record.draining);
        CHECK(table.applyHeldRecords(12_s));
        CHECK_FALSE(table.upstreams().at("u1").record.draining);
    }
    SUBCASE("unless it has started again since")
    {
        auto restarted = record("u1");
        restarted.startedAt = 2;
        table.put(restarted, 11_s);
        CHECK_FALSE(table.upstreams().at("u1").record.draining);
        CHECK_FALSE(table.applyHeldRecords(12_s));
    }
}

TEST_CASE("An upstream that was removed does not get calls again because an older copy of the store still lists it")
{
    UpstreamTable table;
    table.put(record("u1"), 0_ms);
    table.remove("u1", 5_s);
    table.markStoreRestored(10_s);
    table.put(record("u1"), 10_s);
    CHECK(table.upstreams().empty());
    CHECK(table.heldRecordCount() == 1);
    SUBCASE("and is removed again")
    {
        table.remove("u1", 11_s);
        CHECK_FALSE(table.applyHeldRecords(12_s));
        CHECK(table.upstreams().empty());
    }
    SUBCASE("unless it is still listed after the time to register again")
    {
        CHECK(table.applyHeldRecords(12_s));
        CHECK(table.upstreams().contains("u1"));
    }
}

TEST_CASE("A record from before the last start of an upstream does not replace the present one after a return from a copy")
{
    UpstreamTable table;
    auto restarted = record("u1");
    restarted.startedAt = 2;
    table.put(restarted, 5_s);
    table.markStoreRestored(10_s);
    table.put(record("u1", true), 10_s);
    CHECK(table.upstreams().at("u1").record.startedAt == 2);
    CHECK_FALSE(table.upstreams().at("u1").record.draining);
}

TEST_CASE("An upstream that registers again after a removal gets calls at once if the store has not returned from a copy")
{
    UpstreamTable table;
    table.put(record("u1"), 0_ms);
    table.remove("u1", 5_s);
    table.put(record("u1"), 6_s);
    CHECK(table.upstreams().contains("u1"));
}
