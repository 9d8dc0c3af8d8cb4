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
