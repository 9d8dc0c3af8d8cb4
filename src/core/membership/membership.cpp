#include "core/membership/membership.h"

#include <algorithm>
#include <cmath>

namespace Laburnummast::Membership
{
namespace
{

// Members that are requested to ping a member that does not answer.
constexpr std::size_t indirectProbeCount = 3;
// Members that one round of gossip or one attempt to reconnect is sent to.
constexpr std::size_t gossipFanout = 3;
constexpr std::size_t updatesPerMessage = 8;
constexpr std::size_t maxMemberListMessages = 16;
// Interval between pings to dead members and to seeds that belong to no known member.
constexpr Millis reconnectInterval = 2_s;
// The same while no other member is known: when a whole fleet starts, its seeds may be the last ones.
constexpr Millis joinInterval = 200_ms;
// A longer gap between ticks means that this process was paused. Acknowledgements missed meanwhile say nothing about other members.
constexpr Millis pauseThreshold = 1_s;
constexpr std::size_t maxRelays = 256;
constexpr std::size_t maxSeeds = 4096;
// A higher incarnation by at least this much is a restart, by less a refutation.
constexpr std::uint64_t restartIncarnationStep = 1000;
// A member that is still leaving after this time is declared dead.
constexpr Millis leaveTimeout = 600_s;

bool isDeadOrLeft(MemberState state)
{
    return state == MemberState::Dead || state == MemberState::Left;
}

}

Membership::Membership(const MembershipOptions &options)
    : m_options(options)
    , m_self{.info = options.self, .incarnation = options.incarnation, .state = MemberState::Alive, .config = {}}
    , m_seeds(options.seeds)
    , m_random(options.randomSeed)
{
}

const Member *Membership::find(std::string_view host) const
{
    if (host == m_self.info.host) {
        return &m_self;
    }
    const auto it = m_members.find(host);
    return it == m_members.end() ? nullptr : &it->second.member;
}

const Membership::MemberLists &Membership::lists() const
{
    if (m_lists.revision == m_revision) {
        return m_lists;
    }
    m_lists = {.revision = m_revision, .others = {}, .serving = {}};
    if (m_self.state == MemberState::Alive) {
        m_lists.serving.push_back(m_self);
    }
    for (const auto &[host, it] : m_members) {
        m_lists.others.push_back(it.member);
        if (it.member.state == MemberState::Alive || it.member.state == MemberState::Suspect) {
            m_lists.serving.push_back(it.member);
        }
    }
    std::sort(m_lists.serving.begin(), m_lists.serving.end(), [](const Member &a, const Member &b) { return a.info.host < b.info.host; });
    return m_lists;
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
    const auto *previous = find(message.sender.info.host);
    const bool isNew = previous == nullptr || message.sender.incarnation >= previous->incarnation + restartIncarnationStep;
    mergeUpdate(message.sender, now, actions);
    if (isNew && message.kind == MessageKind::Ping) {
        sendMemberList(message.sender, actions);
    }
    for (const auto &it : message.updates) {
        mergeUpdate(it, now, actions);
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
        m_relays[sequence] = {.requester = from, .sequence = message.sequence};
        send(message.target, MessageKind::Ping, sequence, {}, actions);
        break;
    }
    case MessageKind::Ack: {
        if (m_probe && message.sequence == m_probeSequence) {
            m_probe.reset();
        }
        const auto relay = m_relays.find(message.sequence);
        if (relay != m_relays.end()) {
            send(relay->second.requester, MessageKind::Ack, relay->second.sequence, {}, actions);
            m_relays.erase(relay);
        }
        break;
    }
    case MessageKind::Gossip:
        break;
    }
}

void Membership::mergeUpdate(const Member &update, Millis now, MembershipActions &actions)
{
    if (update.info.host == m_self.info.host) {
        refuteUpdate(update);
        return;
    }
    const auto it = m_members.find(update.info.host);
    if (it == m_members.end()) {
        if (isDeadOrLeft(update.state)) {
            return;
        }
        m_members[update.info.host] = {.member = update, .changedAt = now};
        ++m_revision;
        actions.emplace_back(MemberChanged{.member = update, .previousState = std::nullopt});
        return;
    }
    auto &entry = it->second;
    const auto &current = entry.member;
    const bool newerState
        = update.incarnation > current.incarnation || (update.incarnation == current.incarnation && update.state > current.state);
    const bool newerConfig = update.incarnation == current.incarnation && update.config.offset > current.config.offset;
    if (!newerState && !newerConfig) {
        return;
    }
    const auto previousState = current.state;
    auto merged = newerState ? update : current;
    if (current.incarnation == update.incarnation) {
        merged.config = update.config.offset > current.config.offset ? update.config : current.config;
    }
    if (newerState && isDeadOrLeft(previousState) && !isDeadOrLeft(update.state)) {
        // A refutation raises the incarnation by little, while a restart takes it from the clock.
        const bool refuted = previousState == MemberState::Dead && update.incarnation - current.incarnation < restartIncarnationStep;
        m_falseDeaths += refuted ? 1 : 0;
    }
    entry = {.member = merged, .changedAt = newerState ? now : entry.changedAt};
    ++m_revision;
    actions.emplace_back(MemberChanged{.member = merged, .previousState = previousState});
}

// Refutes an outdated state of this member that others hold, by raising its incarnation above theirs.
void Membership::refuteUpdate(const Member &update)
{
    const bool overridesSelf = update.state > m_self.state && update.incarnation >= m_self.incarnation;
    if (overridesSelf || update.incarnation > m_self.incarnation) {
        m_self.incarnation = update.incarnation + 1;
        ++m_revision;
        m_selfTransmissions = 0;
    }
}

void Membership::setState(MemberEntry &entry, MemberState state, Millis now, MembershipActions &actions)
{
    const auto previousState = entry.member.state;
    entry.member.state = state;
    ++m_revision;
    entry.changedAt = now;
    entry.transmissions = 0;
    actions.emplace_back(MemberChanged{.member = entry.member, .previousState = previousState});
}

int Membership::transmissionLimit() const
{
    return 3 * static_cast<int>(std::ceil(std::log2(static_cast<double>(m_members.size()) + 2)));
}

// Entries that were sent least often come first. Up to 2 of the remaining slots go to all members in rotation,
// so that each member eventually receives every entry.
std::vector<Member> Membership::selectUpdates()
{
    std::vector<MemberEntry *> pending;
    for (auto &[host, it] : m_members) {
        if (it.transmissions < transmissionLimit()) {
            pending.push_back(&it);
        }
    }
    const auto pendingEnd = pending.begin() + static_cast<std::ptrdiff_t>(std::min(pending.size(), updatesPerMessage));
    std::partial_sort(pending.begin(), pendingEnd, pending.end(), [](const MemberEntry *a, const MemberEntry *b) {
        return a->transmissions < b->transmissions;
    });
    std::vector<Member> updates;
    std::for_each(pending.begin(), pendingEnd, [&](MemberEntry *it) {
        ++it->transmissions;
        updates.push_back(it->member);
    });
    const std::size_t rotationCount = std::min<std::size_t>(updatesPerMessage - updates.size(), 2);
    auto it = m_members.upper_bound(m_rotationCursor);
    for (std::size_t i = 0; i < std::min(rotationCount, m_members.size()); ++i) {
        if (it == m_members.end()) {
            it = m_members.begin();
        }
        m_rotationCursor = it->first;
        updates.push_back(it->second.member);
        ++it;
    }
    return updates;
}

void Membership::send(const Address &to, MessageKind kind, std::uint64_t sequence, const Address &target, MembershipActions &actions)
{
    Message message{.kind = kind, .sequence = sequence, .target = target, .sender = m_self, .updates = selectUpdates()};
    actions.emplace_back(SendMessage{.to = to, .message = std::move(message)});
}

void Membership::detectPause(Millis now)
{
    const bool paused = m_hasTicked && now - m_lastTick > pauseThreshold;
    m_hasTicked = true;
    m_lastTick = now;
    if (paused) {
        m_noSuspicionUntil = now + m_options.probeInterval * 2;
        m_probe.reset();
        for (auto &[host, it] : m_members) {
            if (it.member.state == MemberState::Suspect) {
                it.changedAt = now;
            }
        }
    }
}

void Membership::tick(Millis now, MembershipActions &actions)
{
    detectPause(now);
    checkProbeTimeout(now, actions);
    applyTimeouts(now, actions);
    if (now >= m_nextProbe) {
        m_nextProbe = now + m_options.probeInterval;
        probeNext(now, actions);
    }
    if (now >= m_nextReconnect) {
        m_nextReconnect = now + (m_members.empty() ? joinInterval : reconnectInterval);
        reconnect(actions);
    }
}

void Membership::probeNext(Millis now, MembershipActions &actions)
{
    if (m_probe && !m_probe->host.empty()) {
        suspect(m_probe->host, now, actions);
        m_probe.reset();
    }
    if (m_probeOrder.empty()) {
        for (const auto &[host, it] : m_members) {
            if (!isDeadOrLeft(it.member.state)) {
                m_probeOrder.push_back(host);
            }
        }
        std::shuffle(m_probeOrder.begin(), m_probeOrder.end(), m_random);
    }
    while (!m_probeOrder.empty()) {
        const auto host = m_probeOrder.back();
        m_probeOrder.pop_back();
        const auto it = m_members.find(host);
        if (it == m_members.end() || isDeadOrLeft(it->second.member.state)) {
            continue;
        }
        m_probeSequence = ++m_sequence;
        m_probe = Probe{.host = host, .sentAt = now};
        send(it->second.member.info.peer, MessageKind::Ping, m_probeSequence, {}, actions);
        return;
    }
}

void Membership::checkProbeTimeout(Millis now, MembershipActions &actions)
{
    if (m_probe && !m_probe->indirect && now - m_probe->sentAt >= m_options.ackTimeout) {
        m_probe->indirect = true;
        probeIndirectly(*m_probe, actions);
    }
}

void Membership::probeIndirectly(const Probe &probe, MembershipActions &actions)
{
    const auto target = m_members.find(probe.host);
    if (target == m_members.end()) {
        return;
    }
    const auto address = target->second.member.info.peer;
    for (const auto *it : randomAliveMembers(indirectProbeCount, probe.host)) {
        send(it->member.info.peer, MessageKind::PingRequest, m_probeSequence, address, actions);
    }
    // The target is also pinged directly again, because a single lost datagram is far more common than a dead member.
    send(address, MessageKind::Ping, m_probeSequence, {}, actions);
}

std::vector<const Membership::MemberEntry *> Membership::randomAliveMembers(std::size_t count, std::string_view except)
{
    std::vector<const MemberEntry *> candidates;
    for (const auto &[host, it] : m_members) {
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
    const auto it = m_members.find(host);
    if (it == m_members.end() || now < m_noSuspicionUntil) {
        return;
    }
    if (it->second.member.state == MemberState::Alive) {
        setState(it->second, MemberState::Suspect, now, actions);
    }
}

void Membership::applyTimeouts(Millis now, MembershipActions &actions)
{
    for (auto it = m_members.begin(); it != m_members.end();) {
        auto &entry = it->second;
        const auto state = entry.member.state;
        const Millis elapsed = now - entry.changedAt;
        const bool suspicionExpired = state == MemberState::Suspect && elapsed >= m_options.suspicionTimeout;
        const bool leaveExpired = state == MemberState::Leaving && elapsed >= leaveTimeout;
        if (suspicionExpired || leaveExpired) {
            setState(entry, MemberState::Dead, now, actions);
        }
        if (isDeadOrLeft(state) && elapsed >= m_options.tombstoneLifetime) {
            it = m_members.erase(it);
            ++m_revision;
        } else {
            ++it;
        }
    }
}

// Pings seeds that belong to no known member, and dead members: they may only have been partitioned off.
void Membership::reconnect(MembershipActions &actions)
{
    std::vector<Address> targets;
    for (const auto &[host, it] : m_members) {
        if (it.member.state == MemberState::Dead) {
            targets.push_back(it.member.info.peer);
        }
    }
    for (const auto &seed : m_seeds) {
        const auto hasSeedAddress = [&](const auto &it) { return it.second.member.info.peer == seed; };
        const bool isKnown = std::any_of(m_members.begin(), m_members.end(), hasSeedAddress);
        if (!isKnown && seed != m_self.info.peer) {
            targets.push_back(seed);
        }
    }
    std::shuffle(targets.begin(), targets.end(), m_random);
    targets.resize(std::min(targets.size(), gossipFanout));
    for (const auto &it : targets) {
        send(it, MessageKind::Ping, ++m_sequence, {}, actions);
    }
}

// Piggybacked updates alone are too slow for a new member to learn of a large fleet, so it is sent a random part of the list at once.
void Membership::sendMemberList(const Member &newMember, MembershipActions &actions)
{
    std::vector<const MemberEntry *> entries;
    entries.reserve(m_members.size());
    for (const auto &[host, it] : m_members) {
        entries.push_back(&it);
    }
    std::shuffle(entries.begin(), entries.end(), m_random);
    entries.resize(std::min(entries.size(), maxMemberListMessages * updatesPerMessage));
    for (std::size_t i = 0; i < entries.size(); i += updatesPerMessage) {
        Message message{.kind = MessageKind::Gossip, .target = {}, .sender = m_self, .updates = {}};
        for (std::size_t j = i; j < std::min(i + updatesPerMessage, entries.size()); ++j) {
            message.updates.push_back(entries[j]->member);
        }
        actions.emplace_back(SendMessage{.to = newMember.info.peer, .message = std::move(message)});
    }
}

void Membership::gossip(MembershipActions &actions)
{
    for (const auto *it : randomAliveMembers(gossipFanout, {})) {
        send(it->member.info.peer, MessageKind::Gossip, 0, {}, actions);
    }
}

void Membership::setConfig(const ConfigPosition &config, MembershipActions &actions)
{
    m_self.config = config;
    ++m_revision;
    gossip(actions);
}

void Membership::leave(MembershipActions &actions)
{
    m_self.state = MemberState::Leaving;
    ++m_revision;
    gossip(actions);
}

void Membership::announceLeft(MembershipActions &actions)
{
    m_self.state = MemberState::Left;
    ++m_revision;
    for (const auto &[host, it] : m_members) {
        if (!isDeadOrLeft(it.member.state)) {
            send(it.member.info.peer, MessageKind::Gossip, 0, {}, actions);
        }
    }
}

}
