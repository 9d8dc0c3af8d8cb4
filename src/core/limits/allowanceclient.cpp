#include "core/limits/allowanceclient.h"

#include <algorithm>
#include <cmath>
#include <set>

namespace Laburnummast::Limits
{
namespace
{

// Times after which a request is sent again and after which its calls are decided without an answer; an answer takes 1 to 2 ms.
constexpr Millis repeatAfter = 25_ms;
constexpr Millis decideAfter = 50_ms;
// Intervals of requests after a denial, a partial grant and without an answer. A home has a tenth of a core, and 104 daemons may ask it.
constexpr Millis deniedInterval = 200_ms;
constexpr Millis partialInterval = 50_ms;
constexpr Millis unansweredInterval = 200_ms;
// A daemon asks again at the latest after this time, because the home or the rate may have changed.
constexpr Millis maxDeniedInterval = 2_s;
// Time for which calls are not held after a request without an answer.
constexpr Millis silenceMemory = 1_s;
// Time without calls after which a workspace counts as not used.
constexpr Millis unusedAfter = 5_s;
// Time for whose expected calls tokens are requested in advance; shorter than the lifetime of a lease, so that few of them expire.
constexpr Millis requestAhead = 150_ms;
constexpr Millis demandTime = 1_s;
// Time after an answer with too few tokens for which tokens count as scarce.
constexpr Millis scarceTime = 1_s;
constexpr std::size_t maxHeldCalls = 256;
constexpr double maxWanted = 10000;

}

void AllowanceClient::setAllowances(std::span<const Allowance> allowances, Millis now, AllowanceActions &actions)
{
    std::set<std::string_view> names;
    for (const auto &it : allowances) {
        names.insert(it.workspace);
        auto &entry = m_entries[it.workspace];
        if (entry.allowance != it) {
            entry.allowance = it;
            entry.nextRequestAt = now;
            entry.tokenDueAt = now;
        }
    }
    for (auto &[name, entry] : m_entries) {
        if (!names.contains(name)) {
            for (const auto call : entry.held) {
                actions.emplace_back(DecideHeldCall{.call = call, .decision = denyByHome(entry, now)});
            }
        }
    }
    std::erase_if(m_entries, [&](const auto &it) { return !names.contains(it.first); });
}

void AllowanceClient::setKnownDaemons(std::size_t count)
{
    m_knownDaemons = count;
}

double AllowanceClient::demandOf(const Entry &entry, Millis now)
{
    return entry.recentCalls * std::exp((entry.countedAt - now) / demandTime) / (demandTime / 1_s);
}

AllowanceDecision AllowanceClient::decide(std::string_view workspace, std::uint64_t call, Millis now, AllowanceActions &actions)
{
    const auto it = m_entries.find(workspace);
    if (it == m_entries.end()) {
        return CallAllowed{};
    }
    auto &entry = it->second;
    entry.recentCalls = entry.recentCalls * std::exp((entry.countedAt - now) / demandTime) + 1;
    entry.countedAt = now;
    entry.lastCallAt = now;
    if (entry.held.empty() && takeLeased(entry, now)) {
        ++m_counters.allowedByHome;
        return CallAllowed{.source = AllowanceSource::Home};
    }
    if (entry.silentSince && now - entry.lastSentAt < silenceMemory) {
        if (!isWaiting(entry) && now >= entry.nextRequestAt) {
            requestTokens(entry, now, actions);
        }
        return decideByOwnShare(entry, now);
    }
    if (!isWaiting(entry) && now < entry.nextRequestAt) {
        return denyByHome(entry, now);
    }
    if (entry.held.size() >= maxHeldCalls) {
        return denyByHome(entry, now);
    }
    entry.held.push_back(call);
    ++m_counters.held;
    if (!isWaiting(entry)) {
        requestTokens(entry, now, actions);
    }
    return CallHeld{};
}

bool AllowanceClient::takeLeased(Entry &entry, Millis now)
{
    while (!entry.leases.empty() && (entry.leases.front().tokens == 0 || now >= entry.leases.front().expiresAt)) {
        entry.leases.pop_front();
    }
    if (entry.leases.empty()) {
        return false;
    }
    --entry.leases.front().tokens;
    return true;
}

AllowanceDecision AllowanceClient::denyByHome(const Entry &entry, Millis now)
{
    ++m_counters.deniedByHome;
    return CallDenied{.source = AllowanceSource::Home,
                      .retryAfter = std::max(partialInterval, std::max(entry.tokenDueAt, entry.nextRequestAt) - now)};
}

AllowanceDecision AllowanceClient::decideByOwnShare(Entry &entry, Millis now)
{
    if (entry.ownShare.take(entry.allowance, m_knownDaemons, now)) {
        ++m_counters.allowedByOwnShare;
        return CallAllowed{.source = AllowanceSource::OwnShare};
    }
    ++m_counters.deniedByOwnShare;
    return CallDenied{.source = AllowanceSource::OwnShare, .retryAfter = entry.ownShare.retryAfter(now)};
}

void AllowanceClient::requestTokens(Entry &entry, Millis now, AllowanceActions &actions)
{
    // While tokens are scarce, those requested in advance would be missing at other daemons and expire here.
    const bool isScarce = now - entry.shortAt < scarceTime;
    const double ahead = isScarce ? 0 : std::floor(demandOf(entry, now) * (requestAhead / 1_s));
    const double wanted = std::min(maxWanted, static_cast<double>(entry.held.size()) + ahead);
    sendRequest(entry, static_cast<std::uint32_t>(wanted), now, actions);
}

void AllowanceClient::sendRequest(Entry &entry, std::uint32_t wanted, Millis now, AllowanceActions &actions)
{
    ++m_counters.requests;
    entry.request = Request{.number = ++m_lastNumber, .wanted = wanted, .sentAt = now};
    entry.lastSentAt = now;
    entry.announced = isWatched(entry.allowance);
    actions.emplace_back(SendAllowanceRequest{
        {.workspace = entry.allowance.workspace, .number = m_lastNumber, .wanted = wanted, .usesOwnShare = entry.silentSince.has_value()}});
    updateDue(entry);
}

void AllowanceClient::sendLast(Entry &entry, AllowanceActions &actions)
{
    entry.announced = false;
    actions.emplace_back(SendAllowanceRequest{{.workspace = entry.allowance.workspace, .number = ++m_lastNumber, .isLast = true}});
}

void AllowanceClient::receive(const AllowanceAnswer &answer, Millis now, AllowanceActions &actions)
{
    const auto it = m_entries.find(answer.workspace);
    if (it == m_entries.end()) {
        return;
    }
    auto &entry = it->second;
    if (!entry.request || entry.request->number != answer.number || entry.request->answered) {
        return;
    }
    entry.request->answered = true;
    if (answer.verdict == AllowanceVerdict::NotServing) {
        startOwnShare(entry, now);
        decideHeldByOwnShare(entry, now, actions);
        return;
    }
    entry.silentSince.reset();
    entry.nextRequestAt = now;
    const auto tokens = std::min(answer.tokens, entry.request->wanted);
    if (tokens > 0) {
        entry.leases.push_back({.tokens = tokens, .expiresAt = entry.request->sentAt + leaseLifetime});
    }
    const bool isShort = answer.verdict == AllowanceVerdict::Short;
    if (isShort) {
        entry.shortAt = now;
        entry.tokenDueAt = now + answer.retryAfter;
        entry.nextRequestAt = now + std::clamp(answer.retryAfter, tokens > 0 ? partialInterval : deniedInterval, maxDeniedInterval);
    }
    while (!entry.held.empty() && takeLeased(entry, now)) {
        ++m_counters.allowedByHome;
        actions.emplace_back(DecideHeldCall{.call = entry.held.front(), .decision = CallAllowed{.source = AllowanceSource::Home}});
        entry.held.pop_front();
    }
    if (!entry.held.empty() && !isShort) {
        requestTokens(entry, now, actions);
        return;
    }
    for (const auto call : entry.held) {
        actions.emplace_back(DecideHeldCall{.call = call, .decision = denyByHome(entry, now)});
    }
    entry.held.clear();
}

void AllowanceClient::startOwnShare(Entry &entry, Millis now)
{
    entry.nextRequestAt = now + unansweredInterval;
    if (!entry.silentSince) {
        entry.silentSince = now;
        entry.ownShare.start(entry.allowance, m_knownDaemons, now);
    }
}

void AllowanceClient::decideHeldByOwnShare(Entry &entry, Millis now, AllowanceActions &actions)
{
    for (const auto call : entry.held) {
        actions.emplace_back(DecideHeldCall{.call = call, .decision = decideByOwnShare(entry, now)});
    }
    entry.held.clear();
}

void AllowanceClient::tick(Millis now, AllowanceActions &actions)
{
    m_nextDue.reset();
    for (auto &[name, entry] : m_entries) {
        tickEntry(entry, now, actions);
        updateDue(entry);
    }
}

void AllowanceClient::tickEntry(Entry &entry, Millis now, AllowanceActions &actions)
{
    if (isWaiting(entry)) {
        auto &request = *entry.request;
        if (now >= request.sentAt + decideAfter) {
            request.timedOut = true;
            ++m_counters.unansweredRequests;
            startOwnShare(entry, now);
            decideHeldByOwnShare(entry, now, actions);
        } else if (!request.repeated && now >= request.sentAt + repeatAfter) {
            request.repeated = true;
            actions.emplace_back(SendAllowanceRequest{{.workspace = entry.allowance.workspace,
                                                       .number = request.number,
                                                       .wanted = request.wanted,
                                                       .usesOwnShare = entry.silentSince.has_value()}});
        }
    }
    if (entry.announced && now >= entry.lastSentAt + keepAliveInterval && !isWaiting(entry)) {
        if (now - entry.lastCallAt > unusedAfter) {
            sendLast(entry, actions);
        } else {
            sendRequest(entry, 0, now, actions);
        }
    }
}

void AllowanceClient::updateDue(const Entry &entry)
{
    const auto add = [&](Millis due) { m_nextDue = std::min(m_nextDue.value_or(due), due); };
    if (isWaiting(entry)) {
        add(entry.request->sentAt + (entry.request->repeated ? decideAfter : repeatAfter));
    } else if (entry.announced) {
        add(entry.lastSentAt + keepAliveInterval);
    }
}

void AllowanceClient::forget(std::string_view workspace, std::uint64_t call)
{
    if (const auto it = m_entries.find(workspace); it != m_entries.end()) {
        std::erase(it->second.held, call);
    }
}

std::vector<AllowanceState> AllowanceClient::busiest(std::size_t count, Millis now) const
{
    std::vector<AllowanceState> states;
    for (const auto &[name, entry] : m_entries) {
        if (const double demand = demandOf(entry, now); demand > 0) {
            states.push_back({.workspace = name,
                              .perSecond = entry.allowance.perSecond,
                              .demand = demand,
                              .usesOwnShare = entry.silentSince.has_value(),
                              .held = entry.held.size()});
        }
    }
    const auto end = states.begin() + static_cast<std::ptrdiff_t>(std::min(count, states.size()));
    std::partial_sort(states.begin(), end, states.end(), [](const auto &a, const auto &b) { return a.demand > b.demand; });
    states.erase(end, states.end());
    return states;
}

}
