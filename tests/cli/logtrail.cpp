#include "cli/logtrail.h"

#include <doctest/doctest.h>

using namespace Laburnummast::Cli;

namespace
{

std::string logLine(int second, const std::string &process, const std::string &rest)
{
    return "  12.0 " + process + " time=2026-01-01T00:00:0" + std::to_string(second) + ".000000 level=info process=" + process
        + " event=" + rest;
}

const std::vector<std::string> logLines{
    logLine(5, "host-2", "call id=other upstream=u9 end=answered"),
    logLine(4, "host-1", "call id=c1 end=unknown status=502 upstream=u1 reason=connection-lost"),
    logLine(4, "host-1", "attempt-failed id=c1 upstream=u1 error=connection-lost load=1+0/3x100@2ms"),
    logLine(1, "host-1", "routes-in-force version=3"),
    logLine(2, "host-1", "routes-in-force version=4"),
    logLine(3, "host-1", "upstream upstream=u1 state=ready"),
    logLine(3, "host-1", "upstream upstream=u2 state=ready"),
    logLine(6, "host-1", "routes-in-force version=5"),
    "no line of ours",
};

}

TEST_CASE("The log trail of a call contains the lines that name it and the last events of its daemon and upstream before it ended")
{
    const auto trail = collectLogTrail("c1", logLines);
    REQUIRE(trail.size() == 4);
    CHECK(trail[0].find("routes-in-force version=4") != std::string::npos);
    CHECK(trail[1].find("upstream=u1 state=ready") != std::string::npos);
    CHECK(trail[2].find("event=call id=c1") != std::string::npos);
    CHECK(trail[3].find("attempt-failed id=c1") != std::string::npos);
}

TEST_CASE("The log trail of a refused call contains the last limit of each upstream of its service, that of another call only its own")
{
    const std::vector<std::string> lines{
        logLine(1, "host-1", "upstream-limit upstream=u1 service=s per-second=4 share=0"),
        logLine(2, "host-1", "upstream-limit upstream=u1 service=s per-second=none share=0"),
        logLine(3, "host-1", "upstream-limit upstream=u2 service=s per-second=3 share=3"),
        logLine(3, "host-1", "upstream-limit upstream=u3 service=other per-second=3 share=3"),
        logLine(4, "host-1", "call id=c1 service=s end=not-run status=503 upstream=\"\""),
        logLine(4, "host-1", "call id=c2 service=s end=answered status=200 upstream=u2"),
    };
    const auto refused = collectLogTrail("c1", lines);
    REQUIRE(refused.size() == 3);
    CHECK(refused[0].find("per-second=none") != std::string::npos);
    CHECK(refused[1].find("upstream=u2") != std::string::npos);
    const auto answered = collectLogTrail("c2", lines);
    REQUIRE(answered.size() == 2);
    CHECK(answered[0].find("upstream=u2") != std::string::npos);
}

TEST_CASE("The log trail of a refused call names the upstreams of its service that are leaving or wanted no calls")
{
    const std::vector<std::string> lines{
        logLine(1, "host-1", "upstream-paused upstream=u1 service=s pause-ms=900"),
        logLine(2, "host-1", "upstream-paused upstream=u1 service=s pause-ms=1500"),
        logLine(2, "host-1", "upstream-leaving upstream=u2 service=s"),
        logLine(3, "host-1", "upstream-leaving upstream=u3 service=other"),
        logLine(4, "host-1", "call id=c1 service=s end=not-run status=503 upstream=\"\""),
    };
    const auto trail = collectLogTrail("c1", lines);
    REQUIRE(trail.size() == 3);
    CHECK(trail[0].find("pause-ms=1500") != std::string::npos);
    CHECK(trail[1].find("upstream-leaving upstream=u2") != std::string::npos);
}

TEST_CASE("The log trail of a call that no line names is empty")
{
    CHECK(collectLogTrail("c2", logLines).empty());
}

TEST_CASE("A quoted field value is returned without its quotes, and a missing field yields nothing")
{
    CHECK(fieldOf("a b=\"x y\" c=", "b") == "x y");
    CHECK(fieldOf("a b=1", "c") == std::nullopt);
}
