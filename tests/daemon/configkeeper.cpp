#include "daemon/configkeeper.h"
#include "support/notes.h"

#include <boost/log/core.hpp>
#include <doctest/doctest.h>

using namespace Laburnummast;
using namespace Laburnummast::Tests;

namespace
{

// Records with notes of about `bytes` each.
std::vector<Net::LogRecord> records(int count, std::size_t bytes)
{
    std::vector<Net::LogRecord> result;
    result.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i) {
        const auto name = "o" + std::to_string(i);
        result.push_back({.offset = i, .data = noteText(name, "; " + std::string(bytes, 'x') + "\n" + addOwner(name))});
    }
    return result;
}

}

TEST_CASE("A peer that is a little behind is sent just the records it lacks")
{
    boost::log::core::get()->set_logging_enabled(false);
    Daemon::ConfigKeeper keeper;
    CHECK(keeper.apply(records(5, 10)));
    CHECK_FALSE(keeper.apply(records(5, 10)));
    const auto missing = keeper.recordsSince(2);
    REQUIRE(missing);
    REQUIRE(missing->size() == 2);
    CHECK(missing->front().offset == 3);
    CHECK(keeper.recordsSince(4)->empty());
}

TEST_CASE("A peer that is too far behind gets a snapshot, and goes on from there")
{
    boost::log::core::get()->set_logging_enabled(false);
    Daemon::ConfigKeeper keeper;
    keeper.apply(records(100, 10000));
    CHECK_FALSE(keeper.recordsSince(0));
    CHECK(keeper.recordsSince(98));

    Daemon::ConfigKeeper other;
    CHECK(other.takeSnapshot(keeper.snapshot()));
    CHECK(other.position() == keeper.position());
    CHECK_FALSE(other.takeSnapshot(keeper.snapshot()));
    CHECK_FALSE(other.recordsSince(98));
    CHECK(other.recordsSince(99)->empty());
}
