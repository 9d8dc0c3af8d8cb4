#include "entry/upstreamconnections.h"

#include <doctest/doctest.h>

using namespace Laburnummast;
using namespace Laburnummast::Entry;

TEST_CASE("An upstream that is not listed has neither an address nor a connection")
{
    boost::asio::io_context loop;
    UpstreamConnections connections(loop);
    CHECK(connections.acquire("u1", 0_ms) == nullptr);
    CHECK(connections.addressOf("u1") == nullptr);
}

TEST_CASE("An upstream that restarted at another address under the same id is reached at its new address")
{
    boost::asio::io_context loop;
    UpstreamConnections connections(loop);
    connections.setAddresses({{"u1", {.ip = "127.0.0.1", .port = 4101}}});
    const auto before = connections.acquire("u1", 0_ms);
    REQUIRE(before != nullptr);
    CHECK(before->server().port() == 4101);
    connections.setAddresses({{"u1", {.ip = "127.0.0.1", .port = 4102}}});
    const auto after = connections.acquire("u1", 1_ms);
    REQUIRE(after != nullptr);
    CHECK(after->server().port() == 4102);
    // A connection to the old address is not reused after its release.
    connections.release("u1", before);
    CHECK(connections.acquire("u1", 2_ms)->server().port() == 4102);
    CHECK(connections.counters().opened == 3);
}

TEST_CASE("Connections to removed upstreams are closed and still counted")
{
    boost::asio::io_context loop;
    UpstreamConnections connections(loop);
    connections.setAddresses({{"u1", {.ip = "127.0.0.1", .port = 4101}}});
    CHECK(connections.acquire("u1", 0_ms) != nullptr);
    connections.setAddresses({});
    connections.closeExpired(1_s);
    CHECK(connections.acquire("u1", 1_s) == nullptr);
    CHECK(connections.counters().opened == 1);
}
