#include "core/placement/domainchoice.h"
#include "placement/dispatcherfixture.h"

#include <algorithm>
#include <array>
#include <doctest/doctest.h>
#include <random>
#include <string>
#include <vector>

using namespace Laburnummast;
using namespace Laburnummast::Placement;

namespace
{

constexpr std::array<std::string_view, 3> names{"a", "b", "c"};
constexpr Millis step{50};

// Three domains with one chooser each. Every step the offered calls are spread by the choosers; an upstream queues up to two thirds of its
// slots and refuses the rest. The load is known two steps later.
class DomainPlay
{
public:
    DomainPlay(const std::array<double, 3> &slots, bool bulk = false)
        : m_slots(slots)
        , m_bulk(bulk)
    {
    }

    // `offered` calls at the same time per domain; returns the range of the away share of each domain in the second half.
    void run(const std::array<double, 3> &offered, Millis duration)
    {
        const auto end = m_now + duration;
        const auto half = m_now + duration * 0.5;
        low.fill(1);
        high.fill(0);
        arrived = {};
        for (; m_now < end; m_now += step) {
            std::array<double, 3> calls{};
            for (std::size_t from = 0; from < 3; ++from) {
                constexpr int parts = 200;
                for (int i = 0; i < parts; ++i) {
                    const auto chosen = choosers[from].choose(m_bulk, (i + 0.5) / parts);
                    const auto to
                        = chosen ? static_cast<std::size_t>(std::find(names.begin(), names.end(), *chosen) - names.begin()) : from;
                    calls[to] += offered[from] / parts * m_noise(m_random);
                    arrived[from][to] += m_now >= half ? 1.0 / parts : 0;
                }
            }
            m_reports.push_back(calls);
            const auto known = m_reports[m_reports.size() > 2 ? m_reports.size() - 3 : 0];
            std::vector<DomainLoad> loads;
            for (std::size_t i = 0; i < 3; ++i) {
                const double atUpstreams = std::min(known[i], m_slots[i] * 5 / 3);
                loads.push_back({.domain = names[i],
                                 .slots = m_slots[i],
                                 .calls = atUpstreams,
                                 .wait = 100_ms * std::max(0.0, atUpstreams / m_slots[i] - 1),
                                 .extraRoundTrip = 1.4_ms});
            }
            for (std::size_t i = 0; i < 3; ++i) {
                auto seen = loads;
                seen[i].extraRoundTrip = 0_ms;
                choosers[i].update(names[i], seen, m_now);
                if (m_now >= half) {
                    low[i] = std::min(low[i], choosers[i].awayShare(m_bulk));
                    high[i] = std::max(high[i], choosers[i].awayShare(m_bulk));
                }
            }
        }
    }

    std::array<DomainChoice, 3> choosers;
    std::array<double, 3> low{};
    std::array<double, 3> high{};
    std::array<std::array<double, 3>, 3> arrived{};

private:
    std::array<double, 3> m_slots;
    bool m_bulk;
    std::mt19937_64 m_random{1};
    std::normal_distribution<double> m_noise{1, 0.3};
    std::vector<std::array<double, 3>> m_reports;
    Millis m_now{0};
};

}

TEST_CASE("Balanced domains keep nearly all calls at home")
{
    for (const double load : {0.4, 0.7, 0.82}) {
        CAPTURE(load);
        DomainPlay play({100, 100, 100});
        play.run({100 * load, 100 * load, 100 * load}, 20_s);
        for (const auto share : play.high) {
            CHECK(share <= 0.02);
        }
    }
}

TEST_CASE("A domain with a third of the needed capacity sends about its excess, divided by the room of the others")
{
    DomainPlay play({30, 150, 100});
    play.run({90, 30, 30}, 20_s);
    // Two thirds of its calls do not fit at home; it keeps some room there.
    CHECK(play.low[0] >= 0.6);
    CHECK(play.high[0] <= 0.8);
    CHECK(play.high[1] <= 0.02);
    CHECK(play.high[2] <= 0.02);
    CHECK(play.arrived[0][1] > 1.2 * play.arrived[0][2]);
    // The share settles: load that moves back and forth would show in its range.
    CHECK(play.high[0] - play.low[0] <= 0.1);
}

TEST_CASE("The load of two full domains does not overrun the one with room")
{
    DomainPlay play({50, 50, 100});
    play.run({80, 80, 40}, 20_s);
    CHECK(play.low[0] > 0.05);
    CHECK(play.low[1] > 0.05);
    // The domain with room need not send any of its own calls away.
    CHECK(play.high[2] <= 0.05);
}

TEST_CASE("Calls return home once there is room")
{
    DomainPlay play({50, 100, 100});
    play.run({80, 40, 40}, 10_s);
    CHECK(play.low[0] >= 0.2);
    play.run({30, 40, 40}, 30_s);
    CHECK(play.high[0] <= 0.05);
}

TEST_CASE("Bulk calls leave later than others")
{
    // Full for other calls, not yet for bulk ones, whose transfer costs more than the wait.
    DomainPlay normal({100, 100, 100});
    normal.run({91, 30, 30}, 10_s);
    DomainPlay bulk({100, 100, 100}, true);
    bulk.run({91, 30, 30}, 10_s);
    CHECK(normal.low[0] > 0.02);
    CHECK(bulk.high[0] <= 0.01);
}

TEST_CASE("A domain without any upstream sends all calls to others, and calls stay at home if no other domain has room")
{
    DomainChoice choice;
    const std::array<DomainLoad, 2> away{DomainLoad{.domain = "b", .slots = 10, .calls = 2},
                                         DomainLoad{.domain = "c", .slots = 10, .calls = 9}};
    choice.update("a", away, 0_ms);
    CHECK(choice.awayShare(false) == 1);
    CHECK(choice.choose(false, 0.99) == "b");
    DomainChoice full;
    const std::array<DomainLoad, 2> none{DomainLoad{.domain = "a", .slots = 10, .calls = 15, .wait = 50_ms},
                                         DomainLoad{.domain = "b", .slots = 10, .calls = 15, .wait = 50_ms}};
    for (Millis now{0}; now < 5_s; now += 200_ms) {
        full.update("a", none, now);
    }
    CHECK(full.awayShare(false) == 0);
    CHECK_FALSE(full.choose(false, 0));
}

TEST_CASE("A dispatcher sends calls to another failure domain only while its own is full, and only if that is enabled")
{
    for (const bool enabled : {false, true}) {
        CAPTURE(enabled);
        Tests::DispatcherFixture fixture(0, {.domain = "a", .balanceDomains = enabled});
        for (int i = 0; i < 12; ++i) {
            fixture.specs.push_back({.id = "u" + std::to_string(i), .domain = i < 6 ? "a" : "b", .slots = 10});
        }
        fixture.dispatcher.setUpstreams(fixture.specs);
        CallId id = 0;
        int away = 0;
        // Sends a call every 5 ms; the upstreams of the own domain report `homeRunning` calls on 10 slots, the others 3.
        const auto run = [&](double homeRunning, Millis duration) {
            away = 0;
            for (const auto end = fixture.now + duration; fixture.now < end; fixture.now += 1_ms) {
                if (static_cast<int>(fixture.now.count) % 5 == 0) {
                    fixture.submit(++id, false);
                }
                fixture.dispatcher.tick(fixture.now, fixture.actions);
                const auto loadOf = [&](UpstreamId upstream) {
                    const bool isHome = fixture.dispatcher.view(upstream)->spec().domain == "a";
                    return LoadReport{.running = isHome ? homeRunning : 3, .slots = 10};
                };
                for (const auto &it : fixture.take<Dispatch::ProbeUpstream>()) {
                    fixture.dispatcher.probeEnded(
                        it.upstream, {.answered = true, .load = loadOf(it.upstream)}, fixture.now, fixture.actions);
                }
                for (const auto &it : fixture.take<Dispatch::SendAttempt>()) {
                    away += fixture.dispatcher.view(it.upstream)->spec().domain == "b" ? 1 : 0;
                    fixture.dispatcher.attemptEnded(
                        it.call, it.attempt, AttemptOutcome::Answered, loadOf(it.upstream), fixture.now, fixture.actions);
                }
            }
        };
        run(4, 4_s);
        CHECK(fixture.dispatcher.awayShare(false) == 0);
        const int calls = 800;
        CHECK((!enabled || away <= calls / 20));
        run(9.6, 4_s);
        CHECK((fixture.dispatcher.awayShare(false) > 0.3) == enabled);
        run(4, 8_s);
        CHECK(fixture.dispatcher.awayShare(false) <= 0.05);
    }
}
