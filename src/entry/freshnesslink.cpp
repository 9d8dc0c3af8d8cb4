#include "entry/freshnesslink.h"

#include "core/fleet/proofsources.h"
#include "core/fleet/readerchoice.h"
#include "core/text.h"
#include "entry/peerlink.h"
#include "platform/storeprotocol.h"
#include "process/log.h"
#include "process/wallclock.h"

#include <algorithm>
#include <array>
#include <chrono>
#include <utility>

namespace Laburnummast::Entry
{
namespace
{

using Process::bootNow;

// Queries without an answer that are remembered; an answer that takes longer than 64 further queries is worth nothing.
constexpr std::size_t maxOpenQueries = 64;
// A reader without a report for this long is not asked first.
constexpr Millis readerLostAfter = 750_ms;
// Peers count as answering for this many query intervals after the last answer.
constexpr double answerLifetimeIntervals = 3;

std::size_t rankOf(const std::string &host, std::span<const std::string> hosts)
{
    return Fleet::readerRank(Platform::routesTopic(), hosts, host);
}

}

FreshnessLink::FreshnessLink(boost::asio::io_context &loop,
                             const NodeSettings &settings,
                             const Membership::Membership &members,
                             FreshnessLinkEvents events)
    : m_settings(settings)
    , m_members(members)
    , m_events(std::move(events))
    , m_freshness(Fleet::freshnessTimes(settings.bounds.revocation), settings.host)
    , m_port(loop, [this](std::string_view bytes, const Address &from) { handleDatagram(bytes, from); })
    , m_timer(loop)
    , m_random(std::random_device{}())
    , m_isEnabled(settings.bounds.failClosed)
{
}

std::optional<Address> FreshnessLink::start()
{
    if (!m_isEnabled) {
        return std::nullopt;
    }
    if (auto failure = m_port.start(internalAddress(m_settings, InternalPort::Freshness))) {
        return failure;
    }
    scheduleQueries();
    return std::nullopt;
}

void FreshnessLink::stop()
{
    m_timer.cancel();
    m_port.stop();
}

void FreshnessLink::setNeeded(bool isNeeded)
{
    if (isNeeded && !m_isNeeded) {
        m_freshness.startWaiting(bootNow());
    }
    m_isNeeded = isNeeded;
}

void FreshnessLink::addRead(Millis requestedAt)
{
    if (m_isEnabled && m_freshness.addRead(requestedAt, m_events.known(), bootNow()) == Fleet::ProofResult::Accepted) {
        m_events.onProof();
    }
}

void FreshnessLink::handleReport(const PeerReport &report)
{
    if (!m_isEnabled) {
        return;
    }
    const auto now = bootNow();
    m_freshness.addReportedVersion(report.routesVersion, now);
    if (report.feeds[static_cast<std::size_t>(Topic::Routes)].isReading) {
        m_readers[report.host] = now;
    } else {
        m_readers.erase(report.host);
    }
}

bool FreshnessLink::shouldRead(bool isChosen, bool isReading, std::size_t rankInDomain)
{
    m_isChosen = isChosen;
    m_rankInDomain = rankInDomain;
    if (isChosen || !isRequired()) {
        return isChosen;
    }
    const auto now = bootNow();
    const bool peersAnswer = now - m_lastAnswerAt <= m_freshness.times().askInterval * answerLifetimeIntervals;
    return m_freshness.needsOwnRead(now, isReading, peersAnswer, rankInDomain);
}

std::optional<Millis> FreshnessLink::pollWait() const
{
    return isRequired() ? std::optional(m_freshness.times().pollWait) : std::nullopt;
}

Fleet::FreshnessLimit FreshnessLink::limit() const
{
    return {.isRequired = isRequired(), .provenAt = m_freshness.provenAt(), .serveFor = m_freshness.times().serveFor};
}

bool FreshnessLink::isStale() const
{
    return isRequired() && !limit().permits(bootNow());
}

FreshnessState FreshnessLink::state() const
{
    const auto &provenAt = m_freshness.provenAt();
    return {.isRequired = isRequired(),
            .age = provenAt ? std::optional(bootNow() - *provenAt) : std::nullopt,
            .origin = m_freshness.origin(),
            .reader = m_freshness.reader(),
            .lastResult = m_freshness.lastResult(),
            .isStale = isStale(),
            .queriesOut = m_queriesOut,
            .queriesIn = m_queriesIn,
            .unreadableMessages = m_unreadableMessages};
}

void FreshnessLink::handleDatagram(std::string_view bytes, const Address &from)
{
    const auto decoded = decodeFreshnessMessage(bytes);
    const auto *message = std::get_if<FreshnessMessage>(&decoded);
    if (!message) {
        ++m_unreadableMessages;
        return;
    }
    if (const auto *query = std::get_if<FreshnessQuery>(message)) {
        ++m_queriesIn;
        m_port.send(
            encodeFreshnessMessage(FreshnessAnswer{.nonce = query->nonce, .proof = m_freshness.proofFor(m_events.known(), bootNow())}),
            from);
        return;
    }
    handleAnswer(std::get<FreshnessAnswer>(*message));
}

void FreshnessLink::handleAnswer(const FreshnessAnswer &answer)
{
    const auto query = m_queries.find(answer.nonce);
    if (query == m_queries.end()) {
        return;
    }
    const auto askedAt = query->second;
    m_queries.erase(query);
    const auto now = bootNow();
    m_lastAnswerAt = now;
    const std::array<std::string, 1> reader{answer.proof.reader};
    // Rank 1 after a single other daemon means that the reader ranks higher.
    const bool readerIsSenior = !reader.front().empty() && rankOf(m_settings.host, reader) == 1;
    if (m_freshness.addAnswer(answer.proof, askedAt, m_events.known(), readerIsSenior, now) == Fleet::ProofResult::Accepted) {
        m_events.onProof();
    }
}

void FreshnessLink::scheduleQueries()
{
    m_timer.expires_after(std::chrono::microseconds(static_cast<std::int64_t>(m_freshness.askInterval(bootNow()).count * 1000)));
    m_timer.async_wait([this](const auto &ec) {
        if (ec) {
            return;
        }
        if (isRequired() && m_freshness.shouldAsk(bootNow(), m_isChosen)) {
            askPeers();
        }
        scheduleQueries();
    });
}

void FreshnessLink::askPeers()
{
    const auto now = bootNow();
    const auto candidates = sources(now);
    if (candidates.empty()) {
        return;
    }
    while (m_queries.size() >= maxOpenQueries) {
        m_queries.erase(
            std::min_element(m_queries.begin(), m_queries.end(), [](const auto &a, const auto &b) { return a.second < b.second; }));
    }
    const auto first = m_freshness.startAsking();
    const auto n = std::min(m_freshness.askFanout(now), candidates.size());
    for (std::size_t i = 0; i < n; ++i) {
        const auto &peer = candidates[(first + i) % candidates.size()]->info.peer;
        const auto nonce = m_random();
        // Before the query is sent, so that its proof does not cover the time after that.
        m_queries[nonce] = bootNow();
        ++m_queriesOut;
        m_port.send(encodeFreshnessMessage(FreshnessQuery{.nonce = nonce}),
                    {.ip = peer.ip, .port = static_cast<std::uint16_t>(peer.port + static_cast<std::uint16_t>(InternalPort::Freshness))});
    }
}

std::vector<const Membership::Member *> FreshnessLink::sources(Millis now) const
{
    std::vector<std::string> hostsInDomain;
    for (const auto &it : m_members.serving()) {
        if (it.info.domain == m_settings.domain) {
            hostsInDomain.push_back(it.info.host);
        }
    }
    std::vector<Fleet::ProofCandidate> candidates;
    for (const auto &it : m_members.serving()) {
        if (it.info.host == m_settings.host) {
            continue;
        }
        const bool sameDomain = it.info.domain == m_settings.domain;
        const auto report = m_readers.find(it.info.host);
        candidates.push_back({.host = it.info.host,
                              .sameDomain = sameDomain,
                              .isReader = report != m_readers.end() && now - report->second <= readerLostAfter,
                              .rankInDomain = sameDomain ? rankOf(it.info.host, hostsInDomain) : 0});
    }
    std::vector<const Membership::Member *> members;
    for (const auto &host : Fleet::proofSources(std::move(candidates), m_rankInDomain)) {
        members.push_back(m_members.find(host));
    }
    return members;
}

}
