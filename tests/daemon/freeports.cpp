#include "daemon/system.h"

#include <doctest/doctest.h>
#include <fstream>
#include <set>

using namespace Laburnummast;

TEST_CASE("Ports for test daemons are distinct and below the range of outgoing connections")
{
    int lowest = 0;
    std::ifstream("/proc/sys/net/ipv4/ip_local_port_range") >> lowest;
    REQUIRE(lowest > 0);
    std::set<std::uint16_t> ports;
    for (int i = 0; i < 50; ++i) {
        const auto port = Tests::freeAddress().port;
        CHECK(port < lowest);
        CHECK(ports.insert(port).second);
    }
}
