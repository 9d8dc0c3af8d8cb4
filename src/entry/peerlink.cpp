#include "entry/peerlink.h"

#include "core/text.h"
#include "entry/clientmemory.h"
#include "http/contentcoding.h"
#include "process/log.h"
#include "process/wallclock.h"

#include <algorithm>
#include <chrono>
#include <iterator>
#include <xxhash.h>

namespace Laburnummast::Entry
{
namespace
{

namespace Asio = boost::asio;

constexpr std::chrono::milliseconds membershipTickInterval(100);
// A report goes to all peers if there are at most this many, else to randomly chosen ones: to some of the own failure domain and, as
// traffic between domains is expensive, to few of others.
constexpr std::size_t maxPeersForAll = 24;
constexpr std::size_t reportFanoutInDomain = 10;
constexpr std::size_t reportFanoutElsewhere = 3;
constexpr Millis fetchTimeout = 5_s;
// A peer that sends nothing for this long is given up, while one with a slow link may take up to `fetchTimeout`.
constexpr Millis fetchProgressTimeout = 500_ms;
// Smaller bodies are sent as they are.
constexpr std::size_t minCompressedBytes = 1024;
constexpr int deferredStatus = 503;
// Requests for records have no body; one of this size is still read.
constexpr std::uint64_t maxRequestBodyBytes = 65536;
// Only daemons can reach the internal ports, so the key is not secret: the keyed hash rejects stray datagrams, not forged ones.
constexpr std::string_view membershipKey = "laburnummast-members";

std::uint64_t randomSeedOf(const NodeSettings &settings)
{
    return XXH3_64bits(settings.host.data(), settings.host.size()) ^ static_cast<std::uint64_t>(Process::wallNow().count);
}

Membership::MembershipOptions membershipOptions(const NodeSettings &settings)
{
    Membership::MembershipOptions options{
        .self = {.host = settings.host,
                 .domain = settings.domain,
                 .peer = internalAddress(settings, InternalPort::Members),
                 .entry = settings.front,
                 .admin = internalAddress(settings, InternalPort::Admin)},
        .incarnation = static_cast<std::uint64_t>(Process::wallNow().count),
        .seeds = {},
        .randomSeed = randomSeedOf(settings),
    };
    for (const auto &it : settings.seeds) {
        if (it.ip != settings.ip) {
            options.seeds.push_back({.ip = it.ip, .port = options.self.peer.port});
        }
    }
    return options;
}

Feed::UploadQueueOptions uploadOptions(const NodeSettings &settings)
{
    constexpr double bytesPerMilliOfMegabit = 125;
    return {.linkRate = settings.linkMegabits * bytesPerMilliOfMegabit};
}

void logFailedFetch(Topic topic, std::int64_t from, const Address &peer, Millis duration, const Http::ClientResult &result)
{
    const auto *response = std::get_if<Http::Response>(&result);
    Process::logWarning(
        "records-fetch-failed",
        {{"topic", Text::concat(static_cast<int>(topic))},
         {"from", Text::concat(from)},
         {"peer", peer.ip},
         {"reason", response ? Text::concat("status-", response->status) : std::string(Http::nameOf(std::get<Http::ClientError>(result)))},
         {"after-ms", Text::concat(static_cast<std::int64_t>(duration.count))}});
}

}

Address internalAddress(const NodeSettings &settings, InternalPort port)
{
    return {.ip = settings.ip, .port = static_cast<std::uint16_t>(settings.firstInternalPort + static_cast<std::uint16_t>(port))};
}

PeerLink::PeerLink(Asio::io_context &loop, const NodeSettings &settings, PeerEvents events)
    : m_loop(loop)
    , m_settings(settings)
    , m_events(std::move(events))
    , m_membership(membershipOptions(settings))
    , m_memberReceiver(loop)
    , m_reportReceiver(loop)
    , m_recordsListener(
          loop,
          {.onRequest
           = [this](const Http::Request &request, const Http::Responder &responder, std::uint64_t) { serveRecords(request, responder); },
           .onDisconnect = [](std::uint64_t) {}})
    , m_uploads{Feed::UploadQueue(uploadOptions(settings)), Feed::UploadQueue(uploadOptions(settings))}
    , m_timer(loop)
    , m_invitationTimer(loop)
    , m_random(randomSeedOf(settings))
{
}

PeerLink::~PeerLink()
{
    stop();
}

std::optional<Address> PeerLink::start()
{
    const auto members = internalAddress(m_settings, InternalPort::Members);
    if (auto failure = bind(m_memberReceiver, members)) {
        return failure;
    }
    if (auto failure = bind(m_reportReceiver, internalAddress(m_settings, InternalPort::Reports))) {
        return failure;
    }
    boost::system::error_code ec;
    const auto ip = Asio::ip::make_address(members.ip, ec);
    const auto guard = recordsGuard(m_settings);
    m_recordsListener.setBufferBudget(guard->budget());
    m_recordsListener.setGuard(guard);
    m_recordsListener.setLimits({.maxBodyBytes = maxRequestBodyBytes});
    if (ec || m_recordsListener.start({ip, members.port})) {
        return members;
    }
    receive(m_memberReceiver, &PeerLink::handleMemberDatagram);
    receive(m_reportReceiver, &PeerLink::handleReportDatagram);
    tick();
    return std::nullopt;
}

std::optional<Address> PeerLink::bind(Receiver &receiver, const Address &address)
{
    boost::system::error_code ec;
    const auto ip = Asio::ip::make_address(address.ip, ec);
    if (!ec) {
        receiver.socket.open(Udp::v4(), ec);
    }
    if (!ec) {
        receiver.socket.bind({ip, address.port}, ec);
    }
    return ec ? std::optional(address) : std::nullopt;
}

void PeerLink::receive(Receiver &receiver, void (PeerLink::*handle)(std::string_view, const Udp::endpoint &))
{
    receiver.socket.async_receive_from(Asio::buffer(receiver.buf), receiver.from, [this, &receiver, handle](const auto &ec, std::size_t n) {
        if (m_stopped || ec == Asio::error::operation_aborted) {
            return;
        }
        if (!ec) {
            ++m_counters.datagramsIn;
            (this->*handle)({receiver.buf.data(), n}, receiver.from);
        }
        receive(receiver, handle);
    });
}

void PeerLink::handleMemberDatagram(std::string_view bytes, const Udp::endpoint &from)
{
    const auto decoded = Membership::decode(bytes, membershipKey);
    const auto *message = std::get_if<Membership::Message>(&decoded);
    if (!message) {
        ++m_counters.unreadableMessages;
        return;
    }
    Membership::MembershipActions actions;
    m_membership.receive(*message, {.ip = from.address().to_string(), .port = from.port()}, Process::steadyNow(), actions);
    execute(actions);
}

void PeerLink::handleReportDatagram(std::string_view bytes, const Udp::endpoint &)
{
    const auto decoded = decodeReport(bytes);
    if (const auto *report = std::get_if<PeerReport>(&decoded)) {
        m_events.onReport(*report);
    } else {
        ++m_counters.unreadableMessages;
    }
}

void PeerLink::tick()
{
    if (m_stopped) {
        return;
    }
    Membership::MembershipActions actions;
    m_membership.tick(Process::steadyNow(), actions);
    execute(actions);
    m_timer.expires_after(membershipTickInterval);
    m_timer.async_wait([this](const auto &ec) {
        if (!ec) {
            tick();
        }
    });
}

void PeerLink::execute(const Membership::MembershipActions &actions)
{
    for (const auto &action : actions) {
        std::visit(Overloaded{[&](const Membership::SendMessage &it) {
                                  send(m_memberReceiver.socket, Membership::encode(it.message, membershipKey), it.to);
                              },
                              [&](const Membership::MemberChanged &it) { m_events.onMember(it); }},
                   action);
    }
}

void PeerLink::send(Udp::socket &socket, std::string_view bytes, const Address &to)
{
    boost::system::error_code ec;
    const auto ip = Asio::ip::make_address(to.ip, ec);
    if (ec) {
        return;
    }
    // A datagram that the socket does not accept at once is dropped; the protocol tolerates lost datagrams.
    socket.non_blocking(true, ec);
    socket.send_to(Asio::buffer(bytes.data(), bytes.size()), {ip, to.port}, 0, ec);
    ++m_counters.datagramsOut;
}

void PeerLink::sendReport(const PeerReport &report, ReportScope scope)
{
    const auto bytes = encodeReport(report);
    const auto &serving = m_membership.serving();
    if (scope == ReportScope::All || (scope == ReportScope::Some && serving.size() <= maxPeersForAll + 1)) {
        for (const auto &it : serving) {
            sendReportTo(it, bytes);
        }
        return;
    }
    std::vector<const Membership::Member *> inDomain;
    std::vector<const Membership::Member *> elsewhere;
    for (const auto &it : serving) {
        (it.info.domain == m_settings.domain ? inDomain : elsewhere).push_back(&it);
    }
    const auto sendToSome = [&](const std::vector<const Membership::Member *> &members, std::size_t count) {
        std::vector<const Membership::Member *> chosen;
        std::sample(members.begin(), members.end(), std::back_inserter(chosen), count, m_random);
        for (const auto *it : chosen) {
            sendReportTo(*it, bytes);
        }
    };
    const bool wholeDomain = scope == ReportScope::Domain;
    sendToSome(inDomain, wholeDomain ? inDomain.size() : reportFanoutInDomain);
    sendToSome(elsewhere, wholeDomain ? 0 : reportFanoutElsewhere);
}

void PeerLink::sendReportTo(const Membership::Member &member, std::string_view bytes)
{
    if (member.info.host == m_settings.host) {
        return;
    }
    const auto port = static_cast<std::uint16_t>(member.info.peer.port + static_cast<std::uint16_t>(InternalPort::Reports));
    send(m_reportReceiver.socket, bytes, {.ip = member.info.peer.ip, .port = port});
}

Http::ClientPool &PeerLink::clientPoolOf(const Address &peer)
{
    auto &pool = m_pools[peer];
    if (!pool) {
        boost::system::error_code ec;
        pool = std::make_unique<Http::ClientPool>(m_loop, Asio::ip::tcp::endpoint(Asio::ip::make_address(peer.ip, ec), peer.port));
    }
    return *pool;
}

void PeerLink::fetchRecords(Topic topic, const Feed::LogPosition &from, const Address &peer)
{
    const auto index = static_cast<std::size_t>(topic);
    if (m_fetching[index] || m_stopped) {
        return;
    }
    m_fetching[index] = true;
    ++m_counters.fetches;
    const auto startedAt = Process::steadyNow();
    const auto connection = clientPoolOf(peer).acquire(startedAt);
    const Http::Request request{
        .method = "GET",
        .target = Text::concat("/records?topic=", index, "&from=", from.offset, "&era=", from.era, "&host=", m_settings.host),
        .headers = {{"Host", peer.ip}, {"Accept-Encoding", std::string(Http::compressedCoding)}},
        .body = {}};
    connection->start({.bytes = Http::encode(request),
                       .timeout = fetchTimeout,
                       .progressTimeout = fetchProgressTimeout,
                       .matchesRequest = nullptr,
                       .onResult = [this, topic, index, from, peer, startedAt, connection](const Http::ClientResult &result) {
                           m_fetching[index] = false;
                           const auto *response = std::get_if<Http::Response>(&result);
                           if (response && response->status == deferredStatus) {
                               ++m_counters.deferredFetches;
                               clientPoolOf(peer).release(connection);
                               return;
                           }
                           if (!response || response->status != 200) {
                               ++m_counters.failedFetches;
                               logFailedFetch(topic, from.offset, peer, Process::steadyNow() - startedAt, result);
                               return;
                           }
                           clientPoolOf(peer).release(connection);
                           handleRecordsResponse(topic, *response);
                       }});
}

void PeerLink::handleRecordsResponse(Topic topic, const Http::Response &response)
{
    m_counters.recordBytesIn += response.body.size();
    const auto body = Http::decompressedBody(response);
    if (!body) {
        ++m_counters.unreadableMessages;
        return;
    }
    const auto decoded = decodeRecords(*body);
    const auto *delta = std::get_if<Feed::FeedDelta>(&decoded);
    if (!delta) {
        ++m_counters.unreadableMessages;
        return;
    }
    m_events.onRecords(topic, *delta);
    if (m_uploads[static_cast<std::size_t>(topic)].needsRelays(response.body.size(), m_membership.serving().size())) {
        sendReport(m_events.currentReport(), ReportScope::Some);
    }
}

void PeerLink::serveRecords(const Http::Request &request, const Http::Responder &responder)
{
    const auto topic = Text::parseInteger(Http::queryParameter(request.target, "topic").value_or(""));
    const auto from = Text::parseInteger(Http::queryParameter(request.target, "from").value_or(""));
    if (!topic || *topic < 0 || *topic >= static_cast<std::int64_t>(topicCount) || !from) {
        responder.send({.status = 400, .headers = {}, .body = {}});
        return;
    }
    const auto now = Process::steadyNow();
    auto &uploads = m_uploads[static_cast<std::size_t>(*topic)];
    if (!uploads.admit(Http::queryParameter(request.target, "host").value_or(""), now)) {
        ++m_counters.deferredUploads;
        responder.send({.status = deferredStatus, .headers = {}, .body = {}});
        inviteWaitingPeers();
        return;
    }
    // An older daemon does not state the era.
    const auto era = Text::parseInteger(Http::queryParameter(request.target, "era").value_or("")).value_or(0);
    const auto delta = m_events.recordsSince(static_cast<Topic>(*topic), {.era = era, .offset = *from});
    Http::Response response{.status = 200, .headers = {{"Content-Type", "application/octet-stream"}}, .body = encodeRecords(delta)};
    if (response.body.size() >= minCompressedBytes && Http::acceptsCompressed(request)) {
        Http::compressBody(response);
    }
    uploads.start(response.body.size(), now);
    m_counters.recordBytesOut += response.body.size();
    responder.send(std::move(response));
}

void PeerLink::inviteWaitingPeers()
{
    if (m_stopped) {
        return;
    }
    const auto now = Process::steadyNow();
    std::optional<Millis> due;
    for (auto &uploads : m_uploads) {
        const auto invited = uploads.takeInvitations(now);
        if (!invited.empty()) {
            const auto bytes = encodeReport(m_events.currentReport());
            for (const auto &member : m_membership.serving()) {
                if (std::find(invited.begin(), invited.end(), member.info.host) != invited.end()) {
                    sendReportTo(member, bytes);
                }
            }
        }
        if (const auto next = uploads.nextDue(); next && (!due || *next < *due)) {
            due = next;
        }
    }
    if (!due) {
        return;
    }
    m_invitationTimer.expires_after(std::chrono::microseconds(static_cast<std::int64_t>(std::max(0.0, (*due - now).count) * 1000)));
    m_invitationTimer.async_wait([this](const auto &ec) {
        if (!ec) {
            inviteWaitingPeers();
        }
    });
}

void PeerLink::announceRoutesVersion(std::int64_t version)
{
    Membership::MembershipActions actions;
    m_membership.setConfig({.offset = version, .hash = 0}, actions);
    execute(actions);
}

void PeerLink::leave()
{
    Membership::MembershipActions actions;
    m_membership.leave(actions);
    execute(actions);
}

void PeerLink::stop()
{
    if (m_stopped) {
        return;
    }
    Membership::MembershipActions actions;
    m_membership.announceLeft(actions);
    execute(actions);
    m_stopped = true;
    m_timer.cancel();
    m_invitationTimer.cancel();
    boost::system::error_code ec;
    m_memberReceiver.socket.close(ec);
    m_reportReceiver.socket.close(ec);
    m_recordsListener.closeAll();
}

}
