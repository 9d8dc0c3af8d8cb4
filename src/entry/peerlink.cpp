#include "entry/peerlink.h"

#include "core/text.h"
#include "process/wallclock.h"

#include <algorithm>
#include <chrono>
#include <xxhash.h>

namespace Laburnummast::Entry
{
namespace
{

namespace Asio = boost::asio;

constexpr std::chrono::milliseconds membershipTickInterval(100);
// A report goes to all peers if there are at most this many, else to this many randomly chosen ones.
constexpr std::size_t reportFanout = 24;
constexpr Millis fetchTimeout = 500_ms;
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
    , m_timer(loop)
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

void PeerLink::sendReport(const PeerReport &report, bool toAll)
{
    const auto bytes = encodeReport(report);
    auto members = m_membership.serving();
    std::erase_if(members, [&](const Membership::Member &it) { return it.info.host == m_settings.host; });
    if (!toAll && members.size() > reportFanout) {
        std::shuffle(members.begin(), members.end(), m_random);
        members.resize(reportFanout);
    }
    for (const auto &it : members) {
        const auto port = static_cast<std::uint16_t>(it.info.peer.port + static_cast<std::uint16_t>(InternalPort::Reports));
        send(m_reportReceiver.socket, bytes, {.ip = it.info.peer.ip, .port = port});
    }
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
    const auto connection = clientPoolOf(peer).acquire(Process::steadyNow());
    const Http::Request request{.method = "GET",
                                .target = Text::concat("/records?topic=", index, "&from=", from.offset, "&era=", from.era),
                                .headers = {{"Host", peer.ip}},
                                .body = {}};
    connection->start({.bytes = Http::encode(request),
                       .timeout = fetchTimeout,
                       .matchesRequest = nullptr,
                       .onResult = [this, topic, index, peer, connection](const Http::ClientResult &result) {
                           m_fetching[index] = false;
                           const auto *response = std::get_if<Http::Response>(&result);
                           if (!response || response->status != 200) {
                               ++m_counters.failedFetches;
                               return;
                           }
                           clientPoolOf(peer).release(connection);
                           const auto decoded = decodeRecords(response->body);
                           if (const auto *delta = std::get_if<Feed::FeedDelta>(&decoded)) {
                               m_events.onRecords(topic, *delta);
                           } else {
                               ++m_counters.unreadableMessages;
                           }
                       }});
}

void PeerLink::serveRecords(const Http::Request &request, const Http::Responder &responder)
{
    const auto topic = Text::parseInteger(Http::queryParameter(request.target, "topic").value_or(""));
    const auto from = Text::parseInteger(Http::queryParameter(request.target, "from").value_or(""));
    if (!topic || *topic < 0 || *topic >= static_cast<std::int64_t>(topicCount) || !from) {
        responder.send({.status = 400, .headers = {}, .body = {}});
        return;
    }
    // An older daemon does not state the era.
    const auto era = Text::parseInteger(Http::queryParameter(request.target, "era").value_or("")).value_or(0);
    const auto delta = m_events.recordsSince(static_cast<Topic>(*topic), {.era = era, .offset = *from});
    responder.send({.status = 200, .headers = {{"Content-Type", "application/octet-stream"}}, .body = encodeRecords(delta)});
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
    boost::system::error_code ec;
    m_memberReceiver.socket.close(ec);
    m_reportReceiver.socket.close(ec);
    m_recordsListener.closeAll();
}

}
