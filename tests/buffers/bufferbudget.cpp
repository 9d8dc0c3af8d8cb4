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
