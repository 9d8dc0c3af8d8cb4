#include "core/feed/uploadqueue.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <random>

using namespace Laburnummast;
using namespace Laburnummast::Feed;

namespace
{

struct SpreadSetup
{
    std::size_t daemons = 133;
    double linkRate = 1250;
    std::size_t recordBytes = 262144;
    std::uint64_t seed = 1;
};

// Daemons that get one new record from each other, in steps of one millisecond. A link is shared evenly by its uploads. As in the
// entry daemon, the first holder reports to all others, the others to 24 random ones, and a daemon that is behind asks a reporter
// unless another request of it is in progress.
class SpreadSimulation
{
public:
    explicit SpreadSimulation(const SpreadSetup &setup)
        : m_setup(setup)
        , m_random(setup.seed)
        , m_daemons(setup.daemons)
    {
        for (std::size_t i = 0; i < m_daemons.size(); ++i) {
            m_daemons[i].uploads = UploadQueue({.linkRate = setup.linkRate});
            m_daemons[i].nextReportAt = static_cast<int>(m_random() % reportInterval);
        }
        obtain(0);
    }

    // Returns when the last daemon has the record; the limit if some do not have it by then.
    int run(int limit)
    {
        while (m_now < limit && m_holders < m_daemons.size()) {
            step();
        }
        return m_now;
    }

private:
    static constexpr int reportInterval = 600;
    static constexpr int readerReportInterval = 250;
    static constexpr int latency = 3;
    static constexpr std::size_t fanout = 24;

    struct Daemon
    {
        UploadQueue uploads{{}};
        bool hasRecord = false;
        // Daemon that it fetches the record from.
        std::optional<std::size_t> source;
        double bytesLeft = 0;
        int requestedAt = 0;
        int nextReportAt = 0;
    };

    struct Report
    {
        int at;
        std::size_t from;
        std::size_t to;
    };

    void obtain(std::size_t i)
    {
        auto &daemon = m_daemons[i];
        daemon.hasRecord = true;
        daemon.source.reset();
        ++m_holders;
        report(i);
    }

    void report(std::size_t i)
    {
        auto &daemon = m_daemons[i];
        daemon.nextReportAt = m_now + (i == 0 ? readerReportInterval : reportInterval);
        if (!daemon.hasRecord) {
            return;
        }
        if (i != 0 && !daemon.uploads.needsRelays(m_setup.recordBytes, m_daemons.size())) {
            return;
        }
        for (std::size_t n = 0; n < (i == 0 ? m_daemons.size() : fanout); ++n) {
            m_reports.push_back({.at = m_now + latency, .from = i, .to = i == 0 ? n : m_random() % m_daemons.size()});
        }
    }

    void handleReport(const Report &report)
    {
        auto &daemon = m_daemons[report.to];
        if (daemon.hasRecord || daemon.source) {
            return;
        }
        const Millis now{static_cast<double>(m_now)};
        auto &uploads = m_daemons[report.from].uploads;
        if (uploads.admit(std::to_string(report.to), now)) {
            uploads.start(m_setup.recordBytes, now);
            daemon.source = report.from;
            daemon.bytesLeft = static_cast<double>(m_setup.recordBytes);
            daemon.requestedAt = m_now;
        }
    }

    void transfer()
    {
        std::vector<double> uploads(m_daemons.size(), 0);
        for (const auto &it : m_daemons) {
            if (it.source) {
                ++uploads[*it.source];
            }
        }
        for (std::size_t i = 0; i < m_daemons.size(); ++i) {
            auto &daemon = m_daemons[i];
            if (!daemon.source || m_now < daemon.requestedAt + 2 * latency) {
                continue;
            }
            daemon.bytesLeft -= m_setup.linkRate / uploads[*daemon.source];
            if (daemon.bytesLeft <= 0) {
                obtain(i);
            }
        }
    }

    void step()
    {
        ++m_now;
        std::vector<Report> due;
        std::copy_if(m_reports.begin(), m_reports.end(), std::back_inserter(due), [&](const Report &it) { return it.at <= m_now; });
        std::erase_if(m_reports, [&](const Report &it) { return it.at <= m_now; });
        for (const auto &it : due) {
            handleReport(it);
        }
        transfer();
        for (std::size_t i = 0; i < m_daemons.size(); ++i) {
            if (m_daemons[i].nextReportAt <= m_now) {
                report(i);
            }
            for (const auto &it : m_daemons[i].uploads.takeInvitations(Millis{static_cast<double>(m_now)})) {
                m_reports.push_back({.at = m_now + latency, .from = i, .to = std::stoul(it)});
            }
        }
    }

    SpreadSetup m_setup;
    std::mt19937_64 m_random;
    std::vector<Daemon> m_daemons;
    std::vector<Report> m_reports;
    int m_now = 0;
    std::size_t m_holders = 0;
};

}

TEST_CASE("A large record reaches all daemons over slow links in time")
{
    // Time that the first daemon takes to get the record from the store.
    constexpr int storeRead = 250;
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        CAPTURE(seed);
        CHECK(SpreadSimulation({.daemons = 133, .linkRate = 1250, .seed = seed}).run(10000) <= 2500 - storeRead);
        CHECK(SpreadSimulation({.daemons = 471, .linkRate = 2500, .seed = seed}).run(10000) <= 3000 - storeRead);
        CHECK(SpreadSimulation({.daemons = 1517, .linkRate = 1250, .seed = seed}).run(10000) <= 4000 - storeRead);
    }
}

TEST_CASE("A small record reaches all daemons from its reader at once")
{
    const SpreadSetup setup{.recordBytes = 400};
    CHECK(SpreadSimulation(setup).run(10000) <= 100);
}

TEST_CASE("A peer that has to wait is invited once the link is free")
{
    UploadQueue uploads({.linkRate = 1000});
    CHECK(uploads.admit("a", 0_ms));
    uploads.start(200000, 0_ms);
    CHECK_FALSE(uploads.admit("b", 1_ms));
    CHECK(uploads.takeInvitations(100_ms).empty());
    CHECK(uploads.nextDue() == 150_ms);
    CHECK(uploads.takeInvitations(150_ms) == std::vector<std::string>{"b"});
    CHECK(uploads.admit("b", 155_ms));
    CHECK_FALSE(uploads.nextDue());
}
