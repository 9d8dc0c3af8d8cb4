#include "entry/clientmemory.h"

#include <doctest/doctest.h>

using namespace Laburnummast::Entry;

// Guards against callers that take the descriptors which the store, the peers and the upstreams need.
TEST_CASE("Descriptors of hosts of usual size leave room for files, peers and upstreams, and most are for callers")
{
    for (const std::size_t limit : {2870, 8192}) {
        for (const std::size_t upstreams : {10, 100, 470}) {
            CAPTURE(limit);
            CAPTURE(upstreams);
            const auto shares = DescriptorShares::of(limit, upstreams);
            CHECK(shares.callers + shares.peers + 2 * upstreams + 200 <= limit);
            CHECK(shares.callers >= limit / 3);
            CHECK(shares.peers >= 200);
        }
    }
}

TEST_CASE("Every limit for descriptors leaves some for callers")
{
    for (const std::size_t limit : {16, 64, 256, 1024}) {
        CAPTURE(limit);
        CHECK(DescriptorShares::of(limit, 1000).callers >= limit / 16);
        CHECK(DescriptorShares::of(limit, 1000).callers < limit);
    }
}
