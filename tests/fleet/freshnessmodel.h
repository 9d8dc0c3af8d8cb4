#ifndef LABURNUMMAST_TESTS_FLEET_FRESHNESSMODEL_H
#define LABURNUMMAST_TESTS_FLEET_FRESHNESSMODEL_H

#include "core/fleet/freshness.h"
#include "core/fleet/proofsources.h"

#include <algorithm>
#include <array>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

namespace Laburnummast::Tests
{

/// What a history is run with.
struct FreshnessHistory
{
    std::uint64_t seed = 1;
    /// Added to the age up to which a daemon serves; more than 0 makes the check of the model fail.
    Millis extraServeTime{};
    /// Clock of the daemons that stops while their host is suspended.
    bool usesSteadyClock = false;
};

/// What a history has shown.
struct FreshnessOutcome
{
    /// Calls passed on later after the withdrawal of their credential than allowed.
    int lateCalls = 0;
    /// Calls refused although contact was recent.
    int wrongRefusals = 0;
    int servedCalls = 0;
    int refusedCalls = 0;
    Millis oldestServedAge{};
    /// Largest time from the withdrawal of a credential to a call with it.
    Millis latestCall{};
    /// Largest age of a proof in calm.
    Millis oldestCalmAge{};
};

/// A store, five daemons in two failure domains and random faults, in virtual time.
///
/// Version v of the configuration withdraws a credential that all earlier versions have, so a daemon whose version is older than v would
/// serve a call with it.
class FreshnessModel
{
public:
    explicit FreshnessModel(const FreshnessHistory &history)
        : m_history(history)
        , m_random(history.seed)
    {
        m_times = Fleet::freshnessTimes(revocation);
        m_times.serveFor += history.extraServeTime;
        publish();
        for (std::size_t i = 0; i < daemonCount; ++i) {
            restart(i);
        }
    }

    FreshnessOutcome run()
    {
        schedulePublication();
        scheduleFault(uniform(6000, 8000));
        while (!m_events.empty() && m_events.top().at < historyLength) {
            auto event = m_events.top();
            m_events.pop();
            m_now = event.at;
            event.run();
        }
        return m_outcome;
    }

    static constexpr Millis revocation{5000};

private:
    static constexpr std::size_t daemonCount = 5;
    static constexpr Millis historyLength{32000};
    static constexpr Millis recoveryTime{3500};

    struct Event
    {
        Millis at;
        std::uint64_t sequence = 0;
        std::function<void()> run;

        bool operator<(const Event &other) const
        {
            return std::tuple(at, sequence) > std::tuple(other.at, other.sequence);
        }
    };

    enum class Line : std::uint8_t { Up, Lossy, Down };

    struct Daemon
    {
        std::unique_ptr<Fleet::Freshness> freshness;
        Fleet::KnownConfiguration known;
        bool hasSnapshot = false;
        bool isReading = false;
        /// Read in flight; results of others are ignored.
        std::uint64_t read = 0;
        Millis readStartedAt{};
        Millis nextReadAt{};
        Millis lastAskAt{};
        Millis lastAnswerAt{-1e9};
        std::array<Millis, daemonCount> readerReportAt{};
        std::map<std::uint64_t, Millis> queries;
        int run = 0;
        Millis pausedUntil{};
        bool isSuspended = false;
        Millis suspendedTotal{};
        Line store = Line::Up;
        /// Since when the daemon runs and reaches the store without a fault.
        Millis pathSince{};
        Millis startedAt{};
        /// Until when it must serve, because contact was lost a short time ago.
        Millis guardedUntil{};
    };

    struct HeldRead
    {
        std::size_t daemon = 0;
        int run = 0;
        std::uint64_t read = 0;
        Feed::LogPosition from;
        Millis expires;
        Millis requestedAt;
    };

    double uniform(double from, double to)
    {
        return std::uniform_real_distribution<double>(from, to)(m_random);
    }
    bool chance(double share)
    {
        return uniform(0, 1) < share;
    }
    std::size_t anyDaemon()
    {
        return std::uniform_int_distribution<std::size_t>(0, daemonCount - 1)(m_random);
    }

    void at(Millis time, std::function<void()> run)
    {
        m_events.push({.at = std::max(time, m_now), .sequence = ++m_sequence, .run = std::move(run)});
    }

    /// Runs an event of one run of a daemon, after a pause if there is one.
    void atDaemon(std::size_t i, int run, Millis time, std::function<void()> task)
    {
        at(time, [this, i, run, task = std::move(task)] {
            if (m_daemons[i].run != run) {
                return;
            }
            if (m_now < m_daemons[i].pausedUntil) {
                atDaemon(i, run, m_daemons[i].pausedUntil, task);
                return;
            }
            task();
        });
    }

    Millis clockOf(const Daemon &daemon) const
    {
        return m_history.usesSteadyClock ? m_now - daemon.suspendedTotal : m_now;
    }

    /// Time of arrival over a line; empty if the message is lost.
    std::optional<Millis> arrival(Line line)
    {
        if (line == Line::Down || (line == Line::Lossy && chance(0.3))) {
            return std::nullopt;
        }
        return m_now + Millis{line == Line::Lossy && chance(0.4) ? uniform(100, 4000) : uniform(0.1, 5)};
    }

    Line lineBetween(std::size_t a, std::size_t b) const
    {
        return m_lines[a][b];
    }

    /// Sends a datagram; a suspended host does not receive it.
    void sendToDaemon(std::size_t from, std::size_t to, const std::function<void()> &task)
    {
        if (const auto time = arrival(lineBetween(from, to))) {
            at(*time, [this, from, to, run = m_daemons[to].run, task] {
                if (lineBetween(from, to) != Line::Down && !(m_daemons[to].isSuspended && m_now < m_daemons[to].pausedUntil)) {
                    atDaemon(to, run, m_now, task);
                }
            });
        }
    }

    // --- store -------------------------------------------------------------------------------------------------------------------

    Feed::LogPosition storeEnd() const
    {
        return {.era = m_era, .offset = static_cast<std::int64_t>(m_log.size())};
    }

    void publish()
    {
        ++m_latestVersion;
        m_confirmedAt[m_latestVersion] = m_now;
        append(m_latestVersion);
    }

    void append(std::uint64_t version)
    {
        m_log.push_back(version);
        for (const auto &it : std::exchange(m_heldReads, {})) {
            answerRead(it);
        }
    }

    void schedulePublication()
    {
        at(m_now + Millis{uniform(1500, 5000)}, [this] {
            if (m_storeUp && !m_restoring) {
                publish();
            }
            schedulePublication();
        });
    }

    void restore()
    {
        const auto lost = std::min<std::size_t>(m_log.size() - 1, std::uniform_int_distribution<std::size_t>(1, 3)(m_random));
        m_log.resize(m_log.size() - lost);
        ++m_era;
        m_restoredAt = m_now;
        m_restoring = true;
        for (const auto &it : std::exchange(m_heldReads, {})) {
            failRead(it);
        }
        // Nothing is proven before the settle time has passed, which starts when a daemon notices the new era.
        for (auto &it : m_daemons) {
            it.pathSince = m_now + 1500_ms;
        }
        at(m_now + Millis{uniform(0, 1900)}, [this] {
            m_restoring = false;
            append(m_latestVersion);
        });
    }

    void receiveRead(HeldRead read)
    {
        if (!m_storeUp) {
            return;
        }
        if (read.from == storeEnd()) {
            read.expires = m_now + m_times.pollWait;
            m_heldReads.push_back(read);
            at(read.expires, [this, id = read.read, i = read.daemon] {
                const auto it = std::find_if(
                    m_heldReads.begin(), m_heldReads.end(), [&](const HeldRead &held) { return held.read == id && held.daemon == i; });
                if (it != m_heldReads.end()) {
                    const auto held = *it;
                    m_heldReads.erase(it);
                    answerRead(held);
                }
            });
            return;
        }
        answerRead(read);
    }

    void answerRead(const HeldRead &read)
    {
        if (!m_storeUp) {
            return;
        }
        const auto time = arrival(m_daemons[read.daemon].store);
        if (!time) {
            return;
        }
        auto end = storeEnd();
        const bool isSnapshot = read.from.era != end.era || read.from.offset > end.offset;
        const auto storeOffset = end.offset;
        if (!isSnapshot && end.offset - read.from.offset > 1 && chance(0.5)) {
            // The answer has not all records that are there.
            end.offset = read.from.offset + 1;
        }
        std::uint64_t version = 0;
        for (std::int64_t k = 0; k < end.offset; ++k) {
            version = std::max(version, m_log[static_cast<std::size_t>(k)]);
        }
        atDaemon(read.daemon, read.run, *time, [this, read, end, version, reachesEnd = end.offset == storeOffset] {
            applyRead(read, end, version, reachesEnd);
        });
    }

    void failRead(const HeldRead &read)
    {
        atDaemon(read.daemon, read.run, m_now + 1_ms, [this, read] {
            auto &daemon = m_daemons[read.daemon];
            if (daemon.read == read.read) {
                daemon.read = 0;
                daemon.nextReadAt = m_now + 150_ms;
            }
        });
    }

    // --- daemons -----------------------------------------------------------------------------------------------------------------

    void restart(std::size_t i)
    {
        auto &daemon = m_daemons[i];
        const auto run = daemon.run + 1;
        const auto store = daemon.store;
        const auto suspendedTotal = daemon.suspendedTotal;
        daemon = Daemon{};
        daemon.run = run;
        daemon.store = store;
        daemon.suspendedTotal = suspendedTotal;
        daemon.readerReportAt.fill(Millis{-1e9});
        daemon.pathSince = m_now;
        daemon.startedAt = m_now;
        daemon.freshness = std::make_unique<Fleet::Freshness>(m_times, std::to_string(i));
        atDaemon(i, run, m_now + Millis{uniform(0, 50)}, [this, i] { tick(i); });
        atDaemon(i, run, m_now + Millis{uniform(0, 300)}, [this, i] { report(i); });
        atDaemon(i, run, m_now + Millis{uniform(0, 100)}, [this, i] { call(i); });
    }

    std::size_t rankInDomain(std::size_t i) const
    {
        return i / 2;
    }

    void tick(std::size_t i)
    {
        auto &daemon = m_daemons[i];
        const auto clock = clockOf(daemon);
        const bool peersAnswer = m_now - daemon.lastAnswerAt < 1000_ms;
        // Daemon 0 reads as long as it runs, as the daemon that is chosen to.
        daemon.isReading
            = i == 0 || !daemon.hasSnapshot || daemon.freshness->needsOwnRead(clock, daemon.isReading, peersAnswer, rankInDomain(i));
        if (daemon.read != 0 && m_now - daemon.readStartedAt > m_times.pollWait + 700_ms) {
            daemon.read = 0;
            daemon.nextReadAt = m_now + Millis{uniform(100, 300)};
        }
        if (daemon.isReading && daemon.read == 0 && m_now >= daemon.nextReadAt) {
            startRead(i);
        }
        if (daemon.freshness->shouldAsk(clock, i == 0) && m_now - daemon.lastAskAt >= daemon.freshness->askInterval(clock)) {
            ask(i);
        }
        atDaemon(i, daemon.run, m_now + 50_ms, [this, i] { tick(i); });
    }

    void startRead(std::size_t i)
    {
        auto &daemon = m_daemons[i];
        daemon.read = ++m_sequence;
        daemon.readStartedAt = m_now;
        const HeldRead read{.daemon = i,
                            .run = daemon.run,
                            .read = daemon.read,
                            .from = daemon.hasSnapshot ? daemon.known.position : Feed::LogPosition{.era = -1},
                            .expires = {},
                            .requestedAt = clockOf(daemon)};
        if (const auto time = arrival(daemon.store)) {
            at(*time, [this, read] { receiveRead(read); });
        }
    }

    void apply(Daemon &daemon, const Feed::LogPosition &position, std::uint64_t version)
    {
        daemon.known.position = std::max(daemon.known.position, position);
        daemon.known.version = std::max(daemon.known.version, version);
        daemon.hasSnapshot = true;
    }

    void applyRead(const HeldRead &read, const Feed::LogPosition &end, std::uint64_t version, bool reachesEnd)
    {
        auto &daemon = m_daemons[read.daemon];
        if (daemon.read != read.read || daemon.store == Line::Down) {
            return;
        }
        daemon.read = 0;
        if (!daemon.isReading || end < daemon.known.position) {
            return;
        }
        const bool hasNews = end != daemon.known.position;
        apply(daemon, end, version);
        if (hasNews) {
            sendReports(read.daemon);
        }
        if (reachesEnd) {
            daemon.freshness->addRead(read.requestedAt, daemon.known, clockOf(daemon));
        }
        startRead(read.daemon);
    }

    void report(std::size_t i)
    {
        sendReports(i);
        atDaemon(i, m_daemons[i].run, m_now + 300_ms, [this, i] { report(i); });
    }

    void sendReports(std::size_t i)
    {
        const auto &daemon = m_daemons[i];
        for (std::size_t k = 0; k < daemonCount; ++k) {
            if (k != i && daemon.hasSnapshot) {
                sendToDaemon(
                    i, k, [this, i, k, known = daemon.known, isReading = daemon.isReading] { handleReport(k, i, known, isReading); });
            }
        }
    }

    void handleReport(std::size_t i, std::size_t peer, const Fleet::KnownConfiguration &known, bool isReading)
    {
        auto &daemon = m_daemons[i];
        daemon.freshness->addReportedVersion(known.version, clockOf(daemon));
        if (isReading) {
            daemon.readerReportAt[peer] = m_now;
        }
        if (known.position > daemon.known.position || known.version > daemon.known.version || !daemon.hasSnapshot) {
            sendToDaemon(i, peer, [this, i, peer] {
                if (m_daemons[peer].hasSnapshot) {
                    sendToDaemon(peer, i, [this, i, state = m_daemons[peer].known] { apply(m_daemons[i], state.position, state.version); });
                }
            });
        }
    }

    void ask(std::size_t i)
    {
        auto &daemon = m_daemons[i];
        const auto clock = clockOf(daemon);
        daemon.lastAskAt = m_now;
        std::vector<Fleet::ProofCandidate> candidates;
        for (std::size_t k = 0; k < daemonCount; ++k) {
            if (k != i) {
                candidates.push_back({.host = std::to_string(k),
                                      .sameDomain = k % 2 == i % 2,
                                      .isReader = m_now - daemon.readerReportAt[k] < 750_ms,
                                      .rankInDomain = rankInDomain(k)});
            }
        }
        const auto hosts = Fleet::proofSources(std::move(candidates), rankInDomain(i));
        const auto fanout = daemon.freshness->askFanout(clock);
        const auto first = daemon.freshness->startAsking();
        for (std::size_t n = 0; n < fanout; ++n) {
            const auto peer = std::stoul(hosts[(first + n) % hosts.size()]);
            const auto nonce = ++m_sequence;
            daemon.queries[nonce] = clock;
            sendToDaemon(i, peer, [this, i, peer, nonce] {
                auto &asked = m_daemons[peer];
                const auto proof = asked.freshness->proofFor(asked.known, clockOf(asked));
                sendToDaemon(peer, i, [this, i, nonce, proof] { handleAnswer(i, nonce, proof); });
            });
        }
    }

    void handleAnswer(std::size_t i, std::uint64_t nonce, const Fleet::PeerProof &proof)
    {
        auto &daemon = m_daemons[i];
        const auto query = daemon.queries.find(nonce);
        if (query == daemon.queries.end()) {
            return;
        }
        daemon.lastAnswerAt = m_now;
        const bool isSenior = !proof.reader.empty() && std::stoul(proof.reader) < i;
        daemon.freshness->addAnswer(proof, query->second, daemon.known, isSenior, clockOf(daemon));
        daemon.queries.erase(query);
    }

    // --- calls -------------------------------------------------------------------------------------------------------------------

    void call(std::size_t i)
    {
        auto &daemon = m_daemons[i];
        const auto clock = clockOf(daemon);
        const Fleet::FreshnessLimit limit{.isRequired = true, .provenAt = daemon.freshness->provenAt(), .serveFor = m_times.serveFor};
        const bool mustServe = m_now < daemon.guardedUntil || hasLongPath(daemon) || hasLongPathThroughPeer(i);
        if (limit.permits(clock)) {
            ++m_outcome.servedCalls;
            m_outcome.oldestServedAge = std::max(m_outcome.oldestServedAge, clock - *limit.provenAt);
            const auto withdrawal = m_confirmedAt.upper_bound(daemon.known.version);
            if (withdrawal != m_confirmedAt.end()) {
                // The call reaches the upstream some time after the check.
                const auto passedOnAfter = m_now + Millis{uniform(0, 500)} - withdrawal->second;
                m_outcome.latestCall = std::max(m_outcome.latestCall, passedOnAfter);
                m_outcome.lateCalls += passedOnAfter > revocation ? 1 : 0;
            }
        } else {
            ++m_outcome.refusedCalls;
            m_outcome.wrongRefusals += mustServe ? 1 : 0;
        }
        if (isCalm() && limit.provenAt) {
            m_outcome.oldestCalmAge = std::max(m_outcome.oldestCalmAge, clock - *limit.provenAt);
        }
        atDaemon(i, daemon.run, m_now + Millis{uniform(50, 150)}, [this, i] { call(i); });
    }

    bool hasPath(const Daemon &daemon) const
    {
        return m_storeUp && daemon.store == Line::Up && m_now >= daemon.pausedUntil;
    }

    bool hasLongPath(const Daemon &daemon) const
    {
        return hasPath(daemon) && m_now - std::max(daemon.pathSince, daemon.pausedUntil) > recoveryTime;
    }

    /// Whether the daemon has reached one peer for some time that has had a path to the store even longer.
    bool hasLongPathThroughPeer(std::size_t i) const
    {
        const auto &daemon = m_daemons[i];
        const auto since = std::max({daemon.startedAt, daemon.pausedUntil, m_restoredAt + 1500_ms});
        if (m_now - since <= recoveryTime) {
            return false;
        }
        for (std::size_t k = 0; k < daemonCount; ++k) {
            const auto &peer = m_daemons[k];
            const bool isConnected = lineBetween(i, k) == Line::Up && lineBetween(k, i) == Line::Up
                && m_now - std::max(m_lineSince[i][k], m_lineSince[k][i]) > recoveryTime;
            if (k != i && isConnected && hasLongPath(peer)) {
                return true;
            }
        }
        return false;
    }

    bool isCalm() const
    {
        return m_activeFaults == 0 && m_now - m_lastFaultChange > recoveryTime && m_now > 5000_ms;
    }

    // --- faults ------------------------------------------------------------------------------------------------------------------

    void scheduleFault(double delay)
    {
        at(m_now + Millis{delay}, [this] {
            injectFault();
            scheduleFault(chance(0.5) ? uniform(50, 2500) : uniform(6000, 12000));
        });
    }

    void resetPaths()
    {
        for (auto &it : m_daemons) {
            if (!hasPath(it)) {
                it.pathSince = std::max(it.pathSince, m_now);
            }
        }
    }

    /// Applies a fault now and removes it after `length`.
    void during(double length, const std::function<void()> &begin, const std::function<void()> &end)
    {
        if (isCalm()) {
            for (auto &it : m_daemons) {
                it.guardedUntil = m_now + revocation * 0.6;
            }
        }
        ++m_activeFaults;
        m_lastFaultChange = m_now;
        begin();
        resetPaths();
        at(m_now + Millis{length}, [this, end] {
            resetPaths();
            end();
            --m_activeFaults;
            m_lastFaultChange = m_now;
            resetPaths();
        });
        if (chance(0.7)) {
            at(m_now + Millis{uniform(0, 400)}, [this] {
                if (m_storeUp && !m_restoring) {
                    publish();
                }
            });
        }
    }

    void setStoreLine(std::size_t i, Line line)
    {
        m_daemons[i].store = line;
    }

    void setLine(std::size_t from, std::size_t to, Line line)
    {
        m_lines[from][to] = line;
        m_lineSince[from][to] = m_now;
    }

    void setPeerLines(std::size_t i, Line line)
    {
        for (std::size_t k = 0; k < daemonCount; ++k) {
            setLine(i, k, line);
            setLine(k, i, line);
        }
    }

    void pause(std::size_t i, double length, bool suspends)
    {
        auto &daemon = m_daemons[i];
        if (m_now < daemon.pausedUntil) {
            return;
        }
        daemon.pausedUntil = m_now + Millis{length};
        daemon.isSuspended = suspends;
        if (suspends) {
            daemon.suspendedTotal += Millis{length};
        }
    }

    void setPartition(Line line, bool storeToo)
    {
        for (std::size_t a = 0; a < daemonCount; ++a) {
            for (std::size_t b = 0; b < daemonCount; ++b) {
                if (a % 2 != b % 2) {
                    setLine(a, b, line);
                }
            }
            if (storeToo && a % 2 == 0) {
                m_daemons[a].store = line;
            }
        }
    }

    void injectFault()
    {
        const auto i = anyDaemon();
        const auto length = uniform(300, 9000);
        switch (std::uniform_int_distribution<int>(0, 11)(m_random)) {
        case 0:
            during(
                length, [&] { setStoreLine(i, Line::Down); }, [this, i] { setStoreLine(i, Line::Up); });
            break;
        case 1:
            during(
                length, [&] { setPeerLines(i, Line::Down); }, [this, i] { setPeerLines(i, Line::Up); });
            break;
        case 2: {
            const auto set = [this, i](Line line) {
                setStoreLine(i, line);
                setPeerLines(i, line);
            };
            during(
                length, [&] { set(Line::Down); }, [set] { set(Line::Up); });
            break;
        }
        case 3: {
            // All daemons are cut off from the store and from each other.
            const auto set = [this](Line line) {
                for (std::size_t k = 0; k < daemonCount; ++k) {
                    setStoreLine(k, line);
                    setPeerLines(k, line);
                }
            };
            during(
                length, [&] { set(Line::Down); }, [set] { set(Line::Up); });
            break;
        }
        case 4:
        case 5: {
            const bool storeToo = chance(0.5);
            during(
                length, [&] { setPartition(Line::Down, storeToo); }, [this, storeToo] { setPartition(Line::Up, storeToo); });
            break;
        }
        case 6:
            during(
                length, [&] { setStoreLine(i, Line::Lossy); }, [this, i] { setStoreLine(i, Line::Up); });
            break;
        case 7:
            during(
                length, [&] { setPeerLines(i, Line::Lossy); }, [this, i] { setPeerLines(i, Line::Up); });
            break;
        case 8: {
            const bool suspends = chance(0.5);
            during(
                length, [&] { pause(i, length, suspends); }, [] {});
            break;
        }
        case 9:
            during(
                10, [&] { restart(i); }, [] {});
            break;
        case 10:
            // The chosen reader loses the store, while its peers still hear it.
            if (chance(0.5)) {
                during(
                    length, [&] { setStoreLine(0, Line::Down); }, [this] { setStoreLine(0, Line::Up); });
            } else {
                during(
                    length,
                    [&] {
                        m_storeUp = false;
                        m_heldReads.clear();
                    },
                    [this] { m_storeUp = true; });
            }
            break;
        default:
            if (m_log.size() > 1 && !m_restoring) {
                during(
                    2000, [&] { restore(); }, [] {});
                if (chance(0.3)) {
                    restart(i);
                }
            }
        }
    }

    FreshnessHistory m_history;
    std::mt19937_64 m_random;
    Fleet::FreshnessTimes m_times;
    std::priority_queue<Event> m_events;
    std::uint64_t m_sequence = 0;
    Millis m_now{};
    /// Versions in the log, in their order.
    std::vector<std::uint64_t> m_log;
    std::int64_t m_era = 1;
    std::uint64_t m_latestVersion = 0;
    /// By version; includes those that a restored store has lost.
    std::map<std::uint64_t, Millis> m_confirmedAt;
    std::vector<HeldRead> m_heldReads;
    bool m_storeUp = true;
    bool m_restoring = false;
    std::array<Daemon, daemonCount> m_daemons;
    std::array<std::array<Line, daemonCount>, daemonCount> m_lines{};
    /// Times of the last changes of the lines.
    std::array<std::array<Millis, daemonCount>, daemonCount> m_lineSince{};
    Millis m_restoredAt{-1e9};
    int m_activeFaults = 0;
    Millis m_lastFaultChange{};
    FreshnessOutcome m_outcome;
};

}

#endif
