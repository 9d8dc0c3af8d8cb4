#ifndef LABURNUMMAST_TESTS_MEMBERSHIP_FAKENETWORK_H
#define LABURNUMMAST_TESTS_MEMBERSHIP_FAKENETWORK_H

#include "core/membership/membership.h"

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <vector>

namespace Laburnummast::Tests
{

/// Members on a simulated network in virtual time. Datagrams arrive in the next step of 10 ms, or are lost.
class FakeNetwork
{
public:
    using Filter = std::function<bool(int from, int to)>;

    FakeNetwork(int count, std::uint64_t seed)
        : m_random(seed)
    {
        for (int i = 0; i < count; ++i) {
            m_nodes.emplace_back();
            start(i, 1000000);
        }
    }

    /// Starts or restarts a member without any previous state.
    void start(int node, std::uint64_t incarnation)
    {
        auto &it = m_nodes[static_cast<std::size_t>(node)];
        it.membership = std::make_unique<Membership::Membership>(Membership::MembershipOptions{
            .self = infoOf(node), .incarnation = incarnation, .seeds = {infoOf(0).peer}, .randomSeed = m_random()});
        it.running = true;
    }

    /// Pauses or resumes a member; a paused one keeps its state but neither ticks nor receives.
    void setRunning(int node, bool running)
    {
        m_nodes[static_cast<std::size_t>(node)].running = running;
    }

    /// Advances virtual time by `span`.
    void run(Millis span)
    {
        const auto until = m_now + span;
        while (m_now < until) {
            m_now += step;
            deliver();
            for (std::size_t i = 0; i < m_nodes.size(); ++i) {
                if (m_nodes[i].running) {
                    ::Laburnummast::Membership::MembershipActions actions;
                    m_nodes[i].membership->tick(m_now, actions);
                    applyActions(static_cast<int>(i), actions);
                }
            }
        }
    }

    Membership::Membership &member(int node)
    {
        return *m_nodes[static_cast<std::size_t>(node)].membership;
    }

    /// Calls `operation` on a member and sends the messages that it produces.
    void invoke(int node, const std::function<void(Membership::Membership &, Membership::MembershipActions &)> &operation)
    {
        Membership::MembershipActions actions;
        operation(member(node), actions);
        applyActions(node, actions);
    }

    /// State of `node` according to `viewer`; empty if `viewer` does not know `node`.
    std::optional<Membership::MemberState> observedState(int viewer, int node)
    {
        const auto *it = member(viewer).find(infoOf(node).host);
        return it == nullptr ? std::nullopt : std::optional(it->state);
    }

    /// Whether every other running member sees `node` in `state`.
    bool allObserve(int node, Membership::MemberState state)
    {
        for (std::size_t i = 0; i < m_nodes.size(); ++i) {
            if (m_nodes[i].running && static_cast<int>(i) != node && observedState(static_cast<int>(i), node) != state) {
                return false;
            }
        }
        return true;
    }

    static Membership::MemberInfo infoOf(int node)
    {
        const auto number = std::to_string(node);
        return {.host = "host-" + number,
                .domain = "domain-" + std::to_string(node % 4),
                .peer = {.ip = "10.0.0." + number, .port = 7000},
                .entry = {.ip = "10.0.0." + number, .port = 80},
                .admin = {.ip = "10.0.0." + number, .port = 81}};
    }

    Millis now() const
    {
        return m_now;
    }

    /// Probability that a datagram is lost.
    double lossRate = 0;
    /// Whether datagrams can pass from one node to another, apart from random loss.
    Filter canDeliver = [](int, int) { return true; };
    /// Transitions to Dead, summed over all observers.
    std::uint64_t deaths = 0;
    std::uint64_t datagrams = 0;
    /// Encodes and decodes every datagram, to count its bytes and to include the CPU cost.
    bool measureBytes = false;
    std::uint64_t bytes = 0;

private:
    static constexpr Millis step = 10_ms;

    struct Node
    {
        std::unique_ptr<Membership::Membership> membership;
        bool running = true;
    };

    struct Datagram
    {
        int from = 0;
        int to = 0;
        Membership::Message message;
    };

    void applyActions(int from, const Membership::MembershipActions &actions)
    {
        std::uniform_real_distribution<double> chance(0, 1);
        for (const auto &action : actions) {
            if (const auto *change = std::get_if<Membership::MemberChanged>(&action)) {
                deaths += change->member.state == Membership::MemberState::Dead && change->previousState != Membership::MemberState::Dead
                    ? 1
                    : 0;
                continue;
            }
            const auto &sent = std::get<Membership::SendMessage>(action);
            const int to = std::stoi(sent.to.ip.substr(sent.to.ip.rfind('.') + 1));
            ++datagrams;
            if (measureBytes) {
                const auto encoded = Membership::encode(sent.message, "key");
                bytes += encoded.size();
                (void)Membership::decode(encoded, "key");
            }
            if (canDeliver(from, to) && chance(m_random) >= lossRate) {
                m_inTransit.push_back({.from = from, .to = to, .message = sent.message});
            }
        }
    }

    void deliver()
    {
        auto arriving = std::exchange(m_inTransit, {});
        for (const auto &it : arriving) {
            auto &node = m_nodes[static_cast<std::size_t>(it.to)];
            if (node.running) {
                Membership::MembershipActions actions;
                node.membership->receive(it.message, infoOf(it.from).peer, m_now, actions);
                applyActions(it.to, actions);
            }
        }
    }

    std::mt19937_64 m_random;
    std::vector<Node> m_nodes;
    std::deque<Datagram> m_inTransit;
    Millis m_now{1000};
};

}

#endif
