#include "core/usage/usagechain.h"
#include "daemon/system.h"
#include "support/notes.h"

using namespace Laburnummast;
using namespace Laburnummast::Tests;

namespace
{

// Whether a daemon has applied the note and accepted it.
bool hasAccepted(const System &system, std::size_t daemon, const std::string &id)
{
    const auto notes = system.state(daemon, "/v1/notes").value("notes", nlohmann::json::array());
    return std::any_of(notes.begin(), notes.end(), [&](const auto &it) { return it["id"] == id && it["verdict"] == "accepted"; });
}

// Audit of all usage records that the log holds.
Usage::UsageAudit auditUsage(const System &system)
{
    constexpr int maxRecords = 1000;
    Usage::UsageAudit audit;
    const auto page = Net::LogClient(system.logAddress()).readLast(Net::usageStream, maxRecords);
    if (const auto *records = std::get_if<Net::LogPage>(&page)) {
        for (const auto &it : records->records) {
            audit.addRecord(it.offset, it.data);
        }
    }
    return audit;
}

std::uint64_t loggedCalls(const System &system)
{
    std::uint64_t calls = 0;
    const auto total = auditUsage(system).total();
    for (const auto &[key, counters] : total) {
        calls += counters.calls;
    }
    return calls;
}

}

TEST_CASE("A note that gets the offset of one that the log lost in a restore is in force on every daemon")
{
    System system(4, 0);
    REQUIRE(system.publish(0, noteText("base", addOwner("q"))).head.status == 200);
    REQUIRE(eventually([&] { return system.daemonsAgreeAt(0); }));
    system.setLogFault("copy=1");
    REQUIRE(system.publish(0, noteText("lost", addOwner("r"))).head.status == 200);
    REQUIRE(eventually([&] { return system.daemonsAgreeAt(1); }));
    system.setLogFault("restore=1");
    CHECK(system.publish(1, noteText("after", addOwner("s"))).head.status == 200);
    for (std::size_t i = 0; i < 4; ++i) {
        CHECK(eventually([&] { return hasAccepted(system, i, "after") && hasAccepted(system, i, "lost"); }));
    }
    CHECK(eventually([&] { return system.daemonsAgreeAt(2); }));
}

TEST_CASE("A note that the log lost in a restore is in force on a daemon that starts from the log alone")
{
    System system(2, 0);
    REQUIRE(system.publish(0, noteText("base", addOwner("q"))).head.status == 200);
    system.setLogFault("copy=1");
    REQUIRE(system.publish(0, noteText("lost", addOwner("r"))).head.status == 200);
    REQUIRE(eventually([&] { return system.daemonsAgreeAt(1); }));
    system.setLogFault("restore=1");
    REQUIRE(system.publish(0, noteText("after", changeOwner("r", 1, 2))).head.status == 200);
    REQUIRE(eventually([&] { return hasAccepted(system, 1, "after"); }));
    REQUIRE(eventually([&] { return system.state(0)["log"]["waiting"] == 0 && system.state(1)["log"]["waiting"] == 0; }));
    system.kill(0);
    system.kill(1);
    system.startDaemon();
    CHECK(eventually([&] { return hasAccepted(system, 2, "lost") && hasAccepted(system, 2, "after"); }));
}

TEST_CASE("Usage that the log lost in a restore is written to it again and counted once")
{
    System system(2, 1, Millis{200});
    system.deploy();
    system.setLogFault("copy=1");
    REQUIRE(system.call(0, "GET", "s/read").head.status == 200);
    REQUIRE(eventually([&] { return loggedCalls(system) == 1; }));
    system.setLogFault("restore=1");
    CHECK(eventually([&] { return loggedCalls(system) == 1; }));
    REQUIRE(system.call(0, "GET", "s/read").head.status == 200);
    CHECK(eventually([&] { return loggedCalls(system) == 2; }));
    CHECK(eventually([&] { return auditUsage(system).faults().empty(); }));
}

TEST_CASE("A log that is restored without a later era is not read in a loop without pauses")
{
    System system(1, 0);
    REQUIRE(system.publish(0, noteText("base", addOwner("q"))).head.status == 200);
    system.setLogFault("copy=1");
    REQUIRE(system.publish(0, noteText("lost", addOwner("r"))).head.status == 200);
    REQUIRE(eventually([&] { return system.daemonsAgreeAt(1); }));
    system.setLogFault("restore=1&keep_era=1");
    const auto reads = [&] { return system.state(0)["log"]["reads"].get<std::uint64_t>(); };
    const auto started = Process::steadyNow();
    const auto before = reads();
    std::this_thread::sleep_for(std::chrono::seconds(2));
    const auto count = reads() - before;
    // One read per pause of 300 ms, and those that are under way at either end.
    CHECK(static_cast<double>(count) <= (Process::steadyNow() - started).count / 300 + 2);
    // Without a read the check above would show nothing.
    CHECK(eventually([&] { return reads() >= before + 3; }));
}
