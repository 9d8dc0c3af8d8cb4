#include "core/bufferbudget.h"

#include <doctest/doctest.h>
#include <memory>
#include <vector>

using namespace Laburnummast;

namespace
{

constexpr BufferBudgetOptions options{.requestBytes = 500000, .totalBytes = 700000, .smallBodyBytes = 100000};

struct Holders
{
    BufferReservation &add(BufferUse use)
    {
        return *reservations.emplace_back(std::make_unique<BufferReservation>(budget, use));
    }

    std::shared_ptr<BufferBudget> budget = std::make_shared<BufferBudget>(options);
    std::vector<std::unique_ptr<BufferReservation>> reservations;
};

}

TEST_CASE("Requests leave room for answers in the memory for bodies")
{
    Holders holders;
    CHECK(holders.add(BufferUse::Request).raiseTo(500000));
    CHECK_FALSE(holders.add(BufferUse::Request).raiseTo(70000));
    CHECK(holders.add(BufferUse::Answer).raiseTo(200000));
    CHECK_FALSE(holders.add(BufferUse::Answer).raiseTo(70000));
    CHECK(holders.budget->reservedBytes() == 700000);
}

TEST_CASE("Small bodies find room while large ones fill the rest, up to a limit of their own")
{
    Holders holders;
    REQUIRE(holders.add(BufferUse::Answer).raiseTo(700000));
    CHECK(holders.add(BufferUse::Request).raiseTo(50000));
    CHECK(holders.add(BufferUse::Answer).raiseTo(50000));
    CHECK_FALSE(holders.add(BufferUse::Request).raiseTo(1));
    CHECK(holders.budget->peakBytes() == 800000);
}

TEST_CASE("A reservation that cannot be raised keeps what it has, and gives it back when it ends")
{
    Holders holders;
    auto &growing = holders.add(BufferUse::Answer);
    REQUIRE(growing.raiseTo(400000));
    REQUIRE(holders.add(BufferUse::Answer).raiseTo(300000));
    CHECK_FALSE(growing.raiseTo(400001));
    CHECK(growing.raiseTo(100));
    CHECK(holders.budget->reservedBytes() == 700000);
    holders.reservations.pop_back();
    CHECK(growing.raiseTo(700000));
    holders.reservations.clear();
    CHECK(holders.budget->reservedBytes() == 0);
    CHECK(holders.budget->peakBytes() == 700000);
}

TEST_CASE("A body beyond the limits of an empty budget is recognised")
{
    const BufferBudget budget(options);
    CHECK(budget.canHold(BufferUse::Request, 500000));
    CHECK_FALSE(budget.canHold(BufferUse::Request, 500001));
    CHECK(budget.canHold(BufferUse::Answer, 700000));
    CHECK_FALSE(budget.canHold(BufferUse::Answer, 700001));
}

TEST_CASE("The limits for a process leave a quarter of its memory to what is not a body")
{
    const auto limits = BufferBudgetOptions::forMemory(260000000);
    CHECK(limits.totalBytes + limits.smallBodyBytes <= 195000000);
    CHECK(limits.requestBytes < limits.totalBytes);
    // Two of the largest bodies of requests that routes allow by default.
    CHECK(limits.requestBytes >= 2 * 60000000);
}

// Guards against connections that together take more than their share, and against bodies that leave them no room.
TEST_CASE("Connections have a share of their own, and beyond it a quarter of the memory for bodies that no body uses")
{
    const auto budget = std::make_shared<BufferBudget>(
        BufferBudgetOptions{.requestBytes = 500000, .totalBytes = 800000, .smallBodyBytes = 0, .connectionBytes = 100000});
    BufferReservation bodies(budget, BufferUse::Answer);
    BufferReservation connections(budget, BufferUse::Connection);
    REQUIRE(bodies.raiseTo(800000));
    CHECK(connections.raiseTo(100000));
    CHECK_FALSE(connections.raiseTo(100001));
    bodies.lowerTo(0);
    CHECK_FALSE(connections.raiseTo(300001));
    CHECK(connections.raiseTo(300000));
    CHECK_FALSE(bodies.raiseTo(600001));
    CHECK(bodies.raiseTo(600000));
    CHECK(budget->reservedBytes() == 600000);
    CHECK(budget->connectionBytes() == 300000);
    connections.lowerTo(1000);
    CHECK(budget->connectionBytes() == 1000);
    CHECK(bodies.raiseTo(800000));
}

// Guards against shares that leave nothing for the process itself.
TEST_CASE("All shares together leave memory for the process, and the largest body fits on every host of usual size")
{
    for (const std::uint64_t megabytes : {30, 60, 112, 160, 260, 512}) {
        CAPTURE(megabytes);
        const auto memory = megabytes * 1000000;
        const auto limits = BufferBudgetOptions::forMemory(memory);
        CHECK(limits.totalBytes + limits.smallBodyBytes + limits.connectionBytes <= memory - 14000000);
        CHECK((megabytes < 112 || limits.totalBytes >= 67108864));
        CHECK((megabytes < 160 || limits.requestBytes >= 67108864));
    }
}
