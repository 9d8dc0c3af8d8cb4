#include "core/fleet/freshness.h"

#include "core/fleet/proofsources.h"
#include "fleet/freshnessmodel.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <map>
#include <string>
#include <vector>

using namespace Laburnummast;
using namespace Laburnummast::Fleet;

namespace
{

constexpr Millis revocation{5000};

KnownConfiguration known(std::int64_t era, std::int64_t offset, std::uint64_t version)
{
    return {.position = {.era = era, .offset = offset}, .version = version};
}

FreshnessLimit limitOf(const Freshness &freshness)
{
    return {.isRequired = true, .provenAt = freshness.provenAt(), .serveFor = freshness.times().serveFor};
}

struct HistoryTotals
{
    int lateHistories = 0;
    int lateCalls = 0;
    int wrongRefusals = 0;
    int servedCalls = 0;
    int refusedCalls = 0;
    Millis latestCall{};
    Millis oldestCalmAge{};
    std::uint64_t firstLateSeed = 0;
    std::uint64_t firstWrongSeed = 0;
};

HistoryTotals runHistories(std::uint64_t count, const Tests::FreshnessHistory &options)
{
    HistoryTotals totals;
    for (std::uint64_t seed = 1; seed <= count; ++seed) {
        auto history = options;
        history.seed = seed;
        const auto outcome = Tests::FreshnessModel(history).run();
        totals.lateHistories += outcome.lateCalls > 0 ? 1 : 0;
        totals.lateCalls += outcome.lateCalls;
        totals.wrongRefusals += outcome.wrongRefusals;
        totals.servedCalls += outcome.servedCalls;
        totals.refusedCalls += outcome.refusedCalls;
        totals.latestCall = std::max(totals.latestCall, outcome.latestCall);
        totals.oldestCalmAge = std::max(totals.oldestCalmAge, outcome.oldestCalmAge);
        if (outcome.lateCalls > 0 && totals.firstLateSeed == 0) {
            totals.firstLateSeed = seed;
        }
        if (outcome.wrongRefusals > 0 && totals.firstWrongSeed == 0) {
            totals.firstWrongSeed = seed;
        }
    }
    return totals;
}

}

TEST_CASE("A read proves the time of its request, and a proof lasts for 0.85 of the bound from then on")
{
    Freshness freshness(freshnessTimes(revocation), "a");
    CHECK_FALSE(limitOf(freshness).permits(1000_ms));
    // The store held the read open for 900 ms.
    CHECK(freshness.addRead(1000_ms, known(1, 5, 2), 1900_ms) == ProofResult::Accepted);
    CHECK(limitOf(freshness).permits(5250_ms));
    CHECK_FALSE(limitOf(freshness).permits(5251_ms));
    CHECK(freshness.addRead(900_ms, known(1, 5, 2), 2000_ms) == ProofResult::NotNewer);
}

TEST_CASE("The answer of a peer proves the time of the query less the stated age, however late it arrives")
{
    Freshness freshness(freshnessTimes(revocation), "a");
    const PeerProof proof{.known = known(1, 5, 2), .age = 700_ms, .isSettled = true, .reader = "b"};
    CHECK(freshness.addAnswer(proof, 10000_ms, known(1, 5, 2), true, 14000_ms) == ProofResult::Accepted);
    CHECK(freshness.provenAt() == 9300_ms);
    CHECK(freshness.origin() == ProofOrigin::Peer);
    CHECK(freshness.reader() == "b");
}

TEST_CASE("A peer at another position, without a proof or with a later version proves nothing")
{
    Freshness freshness(freshnessTimes(revocation), "a");
    PeerProof proof{.known = known(1, 6, 2), .age = 0_ms, .isSettled = true, .reader = "b"};
    CHECK(freshness.addAnswer(proof, 10000_ms, known(1, 5, 2), true, 10001_ms) == ProofResult::OtherPosition);
    proof.known = known(2, 5, 2);
    CHECK(freshness.addAnswer(proof, 10000_ms, known(1, 5, 2), true, 10001_ms) == ProofResult::OtherPosition);
    proof.known = known(1, 5, 3);
    CHECK(freshness.addAnswer(proof, 10000_ms, known(1, 5, 2), true, 10001_ms) == ProofResult::LaterVersion);
    proof = {.known = known(1, 5, 2), .age = std::nullopt};
    CHECK(freshness.addAnswer(proof, 10000_ms, known(1, 5, 2), true, 10001_ms) == ProofResult::NoProof);
    CHECK_FALSE(freshness.provenAt().has_value());
}

TEST_CASE("While a peer reports a later version, not even a read of the store proves anything")
{
    const auto times = freshnessTimes(revocation);
    Freshness freshness(times, "a");
    freshness.addReportedVersion(3, 1000_ms);
    freshness.addReportedVersion(2, 2000_ms);
    CHECK(freshness.addRead(3000_ms, known(1, 5, 2), 3001_ms) == ProofResult::LaterVersion);
    CHECK(freshness.addRead(3000_ms, known(1, 6, 3), 3001_ms) == ProofResult::Accepted);
    freshness.addReportedVersion(9, 4000_ms);
    CHECK(freshness.addRead(5000_ms, known(1, 6, 3), 5001_ms) == ProofResult::LaterVersion);
    // A version that only a daemon had that has gone since does not block the others for ever.
    const auto later = 4001_ms + times.reportedVersionLifetime;
    CHECK(freshness.addRead(later, known(1, 6, 3), later) == ProofResult::Accepted);
}

TEST_CASE("After the era of the store has risen nothing is proven for two seconds, also if this daemon has just started")
{
    for (const bool hasStarted : {false, true}) {
        Freshness freshness(freshnessTimes(revocation), "a");
        if (hasStarted) {
            CHECK(freshness.addRead(1000_ms, known(1, 5, 2), 1001_ms) == ProofResult::Accepted);
        }
        CHECK(freshness.addRead(2000_ms, known(2, 3, 2), 2001_ms) == ProofResult::StoreRestored);
        // Held open until after the two seconds, but requested within them.
        CHECK(freshness.addRead(3900_ms, known(2, 3, 2), 4100_ms) == ProofResult::StoreRestored);
        CHECK(freshness.addRead(4100_ms, known(2, 4, 3), 4101_ms) == ProofResult::Accepted);
    }
}

TEST_CASE("A daemon that has asked and answered before it knows any record takes proofs at once in a store that was never restored")
{
    Freshness freshness(freshnessTimes(revocation), "a");
    CHECK_FALSE(freshness.proofFor(known(0, 0, 0), 900_ms).age.has_value());
    CHECK(freshness.addRead(1000_ms, known(1, 5, 2), 1001_ms) == ProofResult::Accepted);
}

TEST_CASE("A daemon that starts in a fleet takes proofs of peers that have known the era for longer")
{
    Freshness peer(freshnessTimes(revocation), "b");
    CHECK(peer.addRead(1000_ms, known(2, 3, 2), 1001_ms) == ProofResult::StoreRestored);
    Freshness freshness(freshnessTimes(revocation), "a");
    CHECK(freshness.addAnswer(peer.proofFor(known(2, 3, 2), 1500_ms), 1500_ms, known(2, 3, 2), true, 1502_ms) == ProofResult::NoProof);
    CHECK(peer.addRead(3100_ms, known(2, 3, 2), 3101_ms) == ProofResult::Accepted);
    CHECK(freshness.addAnswer(peer.proofFor(known(2, 3, 2), 3200_ms), 3200_ms, known(2, 3, 2), true, 3202_ms) == ProofResult::Accepted);
    CHECK(freshness.provenAt() == 3100_ms);
}

TEST_CASE("A daemon reads the store itself if peers give no proofs, one after the other if they answer, and ends for a senior reader only")
{
    Freshness freshness(freshnessTimes(revocation), "b");
    freshness.addRead(10000_ms, known(1, 5, 2), 10000_ms);
    CHECK_FALSE(freshness.needsOwnRead(11700_ms, false, false, 40));
    CHECK(freshness.needsOwnRead(11800_ms, false, false, 40));
    CHECK(freshness.needsOwnRead(11800_ms, false, true, 0));
    CHECK_FALSE(freshness.needsOwnRead(11800_ms, false, true, 1));
    CHECK(freshness.needsOwnRead(12000_ms, false, true, 1));
    freshness.addRead(11900_ms, known(1, 5, 2), 12000_ms);
    const PeerProof proof{.known = known(1, 5, 2), .age = 100_ms, .isSettled = true, .reader = "a"};
    freshness.addAnswer(proof, 12100_ms, known(1, 5, 2), false, 12101_ms);
    CHECK(freshness.needsOwnRead(12200_ms, true, true, 1));
    freshness.addAnswer(proof, 12150_ms, known(1, 5, 2), true, 12151_ms);
    CHECK_FALSE(freshness.needsOwnRead(12200_ms, true, true, 1));
}

TEST_CASE("Queries for proofs cross into a failure domain from two daemons only, and each daemon gets few of them")
{
    // 104 daemons in three domains; the reader is in the first.
    constexpr std::size_t perDomain = 35;
    std::map<std::string, int> queries;
    int crossing = 0;
    for (std::size_t i = 0; i < 104; ++i) {
        std::vector<ProofCandidate> candidates;
        for (std::size_t k = 0; k < 104; ++k) {
            if (k != i) {
                candidates.push_back({.host = std::to_string(k),
                                      .sameDomain = k / perDomain == i / perDomain,
                                      .isReader = k == 7,
                                      .rankInDomain = k % perDomain});
            }
        }
        if (i != 7) {
            const auto first = proofSources(std::move(candidates), i % perDomain).front();
            ++queries[first];
            crossing += std::stoul(first) / perDomain != i / perDomain ? 1 : 0;
        }
    }
    CHECK(crossing == 4);
    CHECK(queries.size() == 5);
    for (const auto &[host, n] : queries) {
        CHECK(n <= 38);
    }
}

TEST_CASE("In 1,000 histories of faults no call is passed on too late after its credential was withdrawn, and none is refused too early")
{
    const auto totals = runHistories(1000, {});
    INFO("served ", totals.servedCalls, ", refused ", totals.refusedCalls);
    INFO("seed of the first late call ", totals.firstLateSeed, ", of the first wrong refusal ", totals.firstWrongSeed);
    INFO("latest call ", totals.latestCall.count, " ms, oldest proof in calm ", totals.oldestCalmAge.count, " ms");
    CHECK(totals.lateCalls == 0);
    CHECK(totals.wrongRefusals == 0);
    // The faults do reach the limit, and the daemons do serve.
    CHECK(totals.refusedCalls > 1000);
    CHECK(totals.servedCalls > totals.refusedCalls);
    CHECK(totals.latestCall > revocation * 0.7);
    CHECK(totals.oldestCalmAge < revocation * 0.25);
}

TEST_CASE("With the limit one second too long, calls are passed on too late in some histories")
{
    CHECK(runHistories(100, {.extraServeTime = 1000_ms}).lateHistories > 0);
}

TEST_CASE("With a clock that stops while the host is suspended, calls are passed on too late in some histories")
{
    CHECK(runHistories(100, {.usesSteadyClock = true}).lateHistories > 0);
}
