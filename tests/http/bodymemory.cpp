#include "http/bodymemory.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <memory>
#include <string>

using namespace Laburnummast;
using namespace Laburnummast::Http;

namespace
{

constexpr BufferBudgetOptions options{.requestBytes = 1000000, .totalBytes = 1000000, .smallBodyBytes = 0, .connectionBytes = 0};

}

// Guards against a string that takes more than what was reserved for it while it grows.
TEST_CASE("A body that grows in parts never has more capacity than is reserved for it")
{
    for (const std::size_t part : {1, 7, 1000, 16384}) {
        CAPTURE(part);
        const auto budget = std::make_shared<BufferBudget>(options);
        BufferReservation reservation(budget, BufferUse::Request);
        std::string body;
        while (body.size() + part <= 300000) {
            REQUIRE(growBody(body, reservation, {.length = {}, .arrivedBytes = part, .maxBodyBytes = 300000, .extraBytes = 100}));
            body.append(part, 'x');
            REQUIRE(body.capacity() + 100 <= std::max<std::uint64_t>(reservation.bytes(), 116));
        }
        CHECK(budget->peakBytes() <= 300101);
        trimBody(body, reservation, 100);
        CHECK(reservation.bytes() == body.capacity() + 100);
        CHECK(body.capacity() <= body.size() + 4096);
    }
}

TEST_CASE("A body for which there is no memory stays as it is, and grows by less where it cannot double")
{
    const auto budget = std::make_shared<BufferBudget>(options);
    BufferReservation other(budget, BufferUse::Request);
    REQUIRE(other.raiseTo(898000));
    BufferReservation reservation(budget, BufferUse::Request);
    std::string body(90000, 'x');
    CHECK(growBody(body, reservation, {.length = {}, .arrivedBytes = 10000, .maxBodyBytes = 300000}));
    CHECK(body.capacity() == 101250);
    body.append(11250, 'y');
    CHECK_FALSE(growBody(body, reservation, {.length = {}, .arrivedBytes = 1, .maxBodyBytes = 300000}));
    CHECK(body.size() == 101250);
    CHECK(reservation.bytes() == 101250);
}

TEST_CASE("A body whose length is known is reserved at once")
{
    const auto budget = std::make_shared<BufferBudget>(options);
    BufferReservation reservation(budget, BufferUse::Request);
    std::string body;
    CHECK(growBody(body, reservation, {.length = 999900, .maxBodyBytes = 300000, .extraBytes = 100}));
    CHECK(reservation.bytes() == 1000000);
    CHECK_FALSE(growBody(body, reservation, {.length = 1000000, .maxBodyBytes = 300000, .extraBytes = 1}));
}
