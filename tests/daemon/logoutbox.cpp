#include "daemon/logoutbox.h"
#include "daemon/system.h"

using namespace Laburnummast;
using namespace Laburnummast::Tests;

TEST_CASE("A stream that refuses its record does not keep the records of other streams from the log")
{
    Process::blockSignals();
    const auto address = freeAddress();
    Net::HttpServer server;
    REQUIRE_FALSE(server.start({.address = address, .threads = 4}, [](Net::ServerRequest &request) {
        const bool refused = request.path().find("/snapshots/") != std::string_view::npos;
        Net::sendResponse(request, {.status = refused ? 413 : 200, .headers = {}, .body = "{\"offset\":0}"});
    }));
    Daemon::LogOutbox outbox{Net::LogClient(address)};
    CHECK(outbox.tryEnqueue(std::string(Net::snapshotStream), "snapshot"));
    CHECK(outbox.tryEnqueue(std::string(Net::usageStream), "usage"));
    outbox.start();
    CHECK(eventually([&] { return outbox.counters().appended == 1; }));
    CHECK_FALSE(outbox.hasPending(std::string(Net::usageStream)));
    CHECK(outbox.hasPending(std::string(Net::snapshotStream)));
    outbox.stop();
    server.stop();
}
