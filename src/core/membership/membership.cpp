#include "core/membership/membership.h"

#include <algorithm>
#include <cmath>

namespace Laburnummast::Membership
{
namespace
{

constexpr std::size_t indirectProbes = 3;
constexpr std::size_t newsFanout = 3;
constexpr std::size_t updatesPerMessage = 8;
constexpr std::size_t welcomeMessages = 16;
constexpr Millis lookEvery = 2_s;
// A gap between ticks of this length means that this process was paused: what it missed proves nothing about others.
constexpr Millis pauseGap = 1_s;
constexpr std::size_t maxRelays = 256;
constexpr std::size_t maxSeeds = 4096;
constexpr std::uint64_t restartStep = 1000;
constexpr Millis longestLeave = 600_s;

bool isGone(MemberState state)
{
    return state == MemberState::Dead || state == MemberState::Left;
}

}

Membership::Membership(const MembershipOptions &options)
    : m_options(options)
    , m_self{.info = options.self, .incarnation = options.incarnation, .state = MemberState::Alive, .config = {}}
    , m_seeds(options.seeds)
    , m_random(options.seed)
{
}

const Member *Membership::find(std::string_view host) const
{
    if (host == m_self.info.host) {
        return &m_self;
    }
    const auto it = m_known.find(host);
    return it == m_known.end() ? nullptr : &it->second.member;
}

std::vector<Member> Membership::others() const
{
    std::vector<Member> members;
    for (const auto &[host, it] : m_known) {
        members.push_back(it.member);
    }
    return members;
}

std::vector<Member> Membership::serving() const
{
    std::vector<Member> members;
    if (m_self.state == MemberState::Alive) {
        members.push_back(m_self);
    }
    for (const auto &[host, it] : m_known) {
        if (it.member.state == MemberState::Alive || it.member.state == MemberState::Suspect) {
            members.push_back(it.member);
        }
    }
    std::sort(members.begin(), members.end(), [](const Member &a, const Member &b) { return a.info.host < b.info.host; });
    return members;
}

void Membership::addSeeds(std::span<const Address> seeds)
{
    for (const auto &it : seeds) {
        if (m_seeds.size() < maxSeeds && std::find(m_seeds.begin(), m_seeds.end(), it) == m_seeds.end()) {
            m_seeds.push_back(it);
        }
    }
}

void Membership::receive(const Message &message, const Address &from, Millis now, MembershipActions &actions)
{
    if (message.sender.info.host == m_self.info.host) {
        return;
    }
    const auto *before = find(message.sender.info.host);
    const bool isNew = before == nullptr || message.sender.incarnation >= before->incarnation + restartStep;
    learn(message.sender, now, actions);
    if (isNew && message.kind == MessageKind::Ping) {
        welcome(message.sender, actions);
    }
    for (const auto &it : message.updates) {
        learn(it, now, actions);
    }
    switch (message.kind) {
    case MessageKind::Ping:
        send(from, MessageKind::Ack, message.sequence, {}, actions);
        break;
    case MessageKind::PingRequest: {
        const auto sequence = ++m_sequence;
        if (m_relays.size() >= maxRelays) {
            m_relays.erase(m_relays.begin());
        }
        m_relays[sequence] = {.asker = from, .sequence = message.sequence};
        send(message.target, MessageKind::Ping, sequence, {}, actions);
        break;
    }
    case MessageKind::Ack: {
        if (m_probe && message.sequence == m_probeSequence) {
            m_probe.reset();
        }
        const auto relay = m_relays.find(message.sequence);
        if (relay != m_relays.end()) {
            send(relay->second.asker, MessageKind::Ack, relay->second.sequence, {}, actions);
            m_relays.erase(relay);
        }
        break;
    }
    case MessageKind::News:
        break;
    }
}

void Membership::learn(const Member &news, Millis now, MembershipActions &actions)
{
    if (news.info.host == m_self.info.host) {
        learnSelf(news);
        return;
    }
    const auto it = m_known.find(news.info.host);
    if (it == m_known.end()) {
        if (isGone(news.state)) {
            return;
        }
        m_known[news.info.host] = {.member = news, .changedAt = now};
        actions.emplace_back(MemberChanged{.member = news, .before = std::nullopt});
        return;
    }
    auto &known = it->second;
    const auto &present = known.member;
    const bool newer = news.incarnation > present.incarnation || (news.incarnation == present.incarnation && news.state > present.state);
    const bool further = news.incarnation == present.incarnation && news.config.offset > present.config.offset;
    if (!newer && !further) {
        return;
    }
    const auto before = present.state;
    auto merged = newer ? news : present;
    if (present.incarnation == news.incarnation) {
        merged.config = news.config.offset > present.config.offset ? news.config : present.config;
    }
    if (newer && isGone(before) && !isGone(news.state)) {
        // A refutation counts up by little; a restart takes its incarnation from the clock.
        const bool refuted = before == MemberState::Dead && news.incarnation - present.incarnation < restartStep;
        m_refutedDeaths += refuted ? 1 : 0;
    }
    known = {.member = merged, .changedAt = newer ? now : known.changedAt};
    actions.emplace_back(MemberChanged{.member = merged, .before = before});
}

// Others believe something worse of this member than is true: a higher incarnation corrects them.
void Membership::learnSelf(const Member &news)
{
    const bool worse = news.state > m_self.state && news.incarnation >= m_self.incarnation;
    if (worse || news.incarnation > m_self.incarnation) {
        m_self.incarnation = news.incarnation + 1;
        m_selfTellings = 0;
    }
}

void Membership::setState(Known &known, MemberState state, Millis now, MembershipActions &actions)
{
    const auto before = known.member.state;
    known.member.state = state;
    known.changedAt = now;
    known.tellings = 0;
    actions.emplace_back(MemberChanged{.member = known.member, .before = before});
}

int Membership::tellingsWanted() const
{
    return 3 * static_cast<int>(std::ceil(std::log2(static_cast<double>(m_known.size()) + 2)));
}

// The newest news first; what room is left tells the rest in turn, so that everybody learns everything in time.
std::vector<Member> Membership::takeNews()
{
    std::vector<Known *> fresh;
    for (auto &[host, it] : m_known) {
        if (it.tellings < tellingsWanted()) {
            fresh.push_back(&it);
        }
    }
    std::sort(fresh.begin(), fresh.end(), [](const Known *a, const Known *b) { return a->tellings < b->tellings; });
    std::vector<Member> news;
    for (auto *it : fresh) {
        if (news.size() == updatesPerMessage) {
            return news;
        }
        ++it->tellings;
        news.push_back(it->member);
    }
    const std::size_t rest = std::min<std::size_t>(updatesPerMessage - news.size(), 2);
    auto it = m_known.upper_bound(m_fillFrom);
    for (std::size_t i = 0; i < std::min(rest, m_known.size()); ++i) {
        if (it == m_known.end()) {
            it = m_known.begin();
        }
        m_fillFrom = it->first;
        news.push_back(it->second.member);
        ++it;
    }
    return news;
}

void Membership::send(const Address &to, MessageKind kind, std::uint64_t sequence, const Address &target, MembershipActions &actions)
{
    Message message{.kind = kind, .sequence = sequence, .target = target, .sender = m_self, .updates = takeNews()};
    actions.emplace_back(SendMessage{.to = to, .message = std::move(message)});
}

void Membership::noticePause(Millis now)
{
    const bool paused = m_ticked && now - m_lastTick > pauseGap;
    m_ticked = true;
    m_lastTick = now;
    if (paused) {
        m_trustFrom = now + m_options.probeEvery * 2;
        m_probe.reset();
        for (auto &[host, it] : m_known) {
            if (it.member.state == MemberState::Suspect) {
                it.changedAt = now;
            }
        }
    }
}

void Membership::tick(Millis now, MembershipActions &actions)
{
    noticePause(now);
    checkProbe(now, actions);
    endSuspicions(now, actions);
    if (now >= m_nextProbe) {
        m_nextProbe = now + m_options.probeEvery;
        probeNext(now, actions);
    }
    if (now >= m_nextLook) {
        m_nextLook = now + lookEvery;
        lookForLost(actions);
    }
}

void Membership::probeNext(Millis now, MembershipActions &actions)
{
    if (m_probe && !m_probe->host.empty()) {
        suspect(m_probe->host, now, actions);
        m_probe.reset();
    }
    if (m_probeOrder.empty()) {
        for (const auto &[host, it] : m_known) {
            if (!isGone(it.member.state)) {
                m_probeOrder.push_back(host);
            }
        }
        std::shuffle(m_probeOrder.begin(), m_probeOrder.end(), m_random);
    }
    while (!m_probeOrder.empty()) {
        const auto host = m_probeOrder.back();
        m_probeOrder.pop_back();
        const auto it = m_known.find(host);
        if (it == m_known.end() || isGone(it->second.member.state)) {
            continue;
        }
        m_probeSequence = ++m_sequence;
        m_probe = Probe{.host = host, .sentAt = now};
        send(it->second.member.info.peer, MessageKind::Ping, m_probeSequence, {}, actions);
        return;
    }
}

void Membership::checkProbe(Millis now, MembershipActions &actions)
{
    if (m_probe && !m_probe->indirect && now - m_probe->sentAt >= m_options.ackTimeout) {
        m_probe->indirect = true;
        probeIndirectly(*m_probe, actions);
    }
}

void Membership::probeIndirectly(const Probe &probe, MembershipActions &actions)
{
    const auto target = m_known.find(probe.host);
    if (target == m_known.end()) {
        return;
    }
    const auto address = target->second.member.info.peer;
    for (const auto *it : pickSome(indirectProbes, probe.host)) {
        send(it->member.info.peer, MessageKind::PingRequest, m_probeSequence, address, actions);
    }
    // Once more directly: a single lost datagram is far more common than a death.
    send(address, MessageKind::Ping, m_probeSequence, {}, actions);
}

std::vector<const Membership::Known *> Membership::pickSome(std::size_t count, std::string_view except)
{
    std::vector<const Known *> candidates;
    for (const auto &[host, it] : m_known) {
        if (it.member.state == MemberState::Alive && host != except) {
            candidates.push_back(&it);
        }
    }
    std::shuffle(candidates.begin(), candidates.end(), m_random);
    candidates.resize(std::min(candidates.size(), count));
    return candidates;
}

void Membership::suspect(const std::string &host, Millis now, MembershipActions &actions)
{
    const auto it = m_known.find(host);
    if (it == m_known.end() || now < m_trustFrom) {
        return;
    }
    if (it->second.member.state == MemberState::Alive) {
        setState(it->second, MemberState::Suspect, now, actions);
    }
}

void Membership::endSuspicions(Millis now, MembershipActions &actions)
{
    for (auto it = m_known.begin(); it != m_known.end();) {
        auto &known = it->second;
        const auto state = known.member.state;
        const Millis since = now - known.changedAt;
        const bool silent = state == MemberState::Suspect && since >= m_options.suspicion;
        const bool stuckLeaving = state == MemberState::Leaving && since >= longestLeave;
        if (silent || stuckLeaving) {
            setState(known, MemberState::Dead, now, actions);
        }
        if (isGone(state) && since >= m_options.remember) {
            it = m_known.erase(it);
        } else {
            ++it;
        }
    }
}

// Seeds nobody answers at, and the dead: they may only have been cut off.
void Membership::lookForLost(MembershipActions &actions)
{
    std::vector<Address> lost;
    for (const auto &[host, it] : m_known) {
        if (it.member.state == MemberState::Dead) {
            lost.push_back(it.member.info.peer);
        }
    }
    for (const auto &seed : m_seeds) {
        const auto isSeed = [&](const auto &it) { return it.second.member.info.peer == seed; };
        const bool known = std::any_of(m_known.begin(), m_known.end(), isSeed);
        if (!known && seed != m_self.info.peer) {
            lost.push_back(seed);
        }
    }
    std::shuffle(lost.begin(), lost.end(), m_random);
    lost.resize(std::min(lost.size(), newsFanout));
    for (const auto &it : lost) {
        send(it, MessageKind::Ping, ++m_sequence, {}, actions);
    }
}

// What rides on probes tells a newcomer of a large fleet too slowly; it is told of a part of it at once.
void Membership::welcome(const Member &newcomer, MembershipActions &actions)
{
    std::vector<const Known *> known;
    known.reserve(m_known.size());
    for (const auto &[host, it] : m_known) {
        known.push_back(&it);
    }
    std::shuffle(known.begin(), known.end(), m_random);
    known.resize(std::min(known.size(), welcomeMessages * updatesPerMessage));
    for (std::size_t i = 0; i < known.size(); i += updatesPerMessage) {
        Message message{.kind = MessageKind::News, .target = {}, .sender = m_self, .updates = {}};
        for (std::size_t j = i; j < std::min(i + updatesPerMessage, known.size()); ++j) {
            message.updates.push_back(known[j]->member);
        }
        actions.emplace_back(SendMessage{.to = newcomer.info.peer, .message = std::move(message)});
    }
}

void Membership::tellSome(MembershipActions &actions)
{
    for (const auto *it : pickSome(newsFanout, {})) {
        send(it->member.info.peer, MessageKind::News, 0, {}, actions);
    }
}

void Membership::setConfig(const ConfigPosition &config, MembershipActions &actions)
{
    m_self.config = config;
    tellSome(actions);
}

void Membership::leave(MembershipActions &actions)
{
    m_self.state = MemberState::Leaving;
    tellSome(actions);
}

void Membership::leftNow(MembershipActions &actions)
{
    m_self.state = MemberState::Left;
    for (const auto &[host, it] : m_known) {
        if (!isGone(it.member.state)) {
            send(it.member.info.peer, MessageKind::News, 0, {}, actions);
        }
    }
}

}
