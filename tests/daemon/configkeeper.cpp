#include "daemon/configreplica.h"
#include "support/notes.h"

#include <boost/log/core.hpp>
#include <doctest/doctest.h>

using namespace Laburnummast;
using namespace Laburnummast::Tests;

namespace
{

// Creates `count` records from offset 0 on, each with a note of about `bytes` bytes.
std::vector<Net::LogRecord> makeRecords(int count, std::size_t bytes)
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

TEST_CASE("A peer that lacks a few recent records gets only these")
{
    boost::log::core::get()->set_logging_enabled(false);
    Daemon::ConfigReplica replica;
    CHECK(replica.apply(makeRecords(5, 10)));
    CHECK_FALSE(replica.apply(makeRecords(5, 10)));
    const auto missing = replica.recordsSince(2);
    REQUIRE(missing);
    REQUIRE(missing->size() == 2);
    CHECK(missing->front().offset == 3);
    CHECK(replica.recordsSince(4)->empty());
}

TEST_CASE("A peer that lacks discarded records gets none, and a snapshot brings it up to date")
{
    boost::log::core::get()->set_logging_enabled(false);
    Daemon::ConfigReplica replica;
    replica.apply(makeRecords(100, 10000));
    CHECK_FALSE(replica.recordsSince(0));
    CHECK(replica.recordsSince(98));

    Daemon::ConfigReplica other;
    CHECK(other.applySnapshot(replica.snapshot()));
    CHECK(other.position() == replica.position());
    CHECK_FALSE(other.applySnapshot(replica.snapshot()));
    CHECK_FALSE(other.recordsSince(98));
    CHECK(other.recordsSince(99)->empty());
}

TEST_CASE("A snapshot of a later era that lacks a note accepted here is refused until the note is in the log again")
{
    boost::log::core::get()->set_logging_enabled(false);
    Daemon::ConfigReplica ahead;
    Daemon::ConfigReplica behind;
    const auto records = makeRecords(3, 10);
    ahead.apply(records);
    behind.apply({records[0], records[1]});
    behind.enterEra(Config::firstOffsetOf(1));
    CHECK_FALSE(ahead.applySnapshot(behind.snapshot()));
    CHECK(ahead.position().offset == 2);
    CHECK(ahead.takeLostRecords() == std::vector<std::string>{records[2].data});
    CHECK(ahead.takeLostRecords().empty());

    behind.apply({{.offset = Config::firstOffsetOf(1) + 2, .data = records[2].data}});
    CHECK(ahead.applySnapshot(behind.snapshot()));
    CHECK(ahead.position() == behind.position());
}

TEST_CASE("A peer of the era before gets a snapshot instead of records whose offsets it cannot place")
{
    boost::log::core::get()->set_logging_enabled(false);
    Daemon::ConfigReplica replica;
    replica.apply(makeRecords(5, 10));
    replica.enterEra(Config::firstOffsetOf(1));
    CHECK_FALSE(replica.recordsSince(4));
    CHECK(replica.recordsSince(replica.position().offset));
}
