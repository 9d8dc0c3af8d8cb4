#ifndef LABURNUMMAST_CORE_LIMITS_ALLOWANCECLIENT_H
#define LABURNUMMAST_CORE_LIMITS_ALLOWANCECLIENT_H

#include "core/limits/allowance.h"
#include "core/limits/ownshare.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Laburnummast::Limits
{

/// Calls by what their decision was based on, since the start; they only increase.
struct AllowanceCounters
{
    std::uint64_t allowedByHome = 0;
    std::uint64_t allowedByOwnShare = 0;
    std::uint64_t deniedByHome = 0;
    std::uint64_t deniedByOwnShare = 0;
    /// Calls that waited for an answer of the home; counted above too once they are decided.
    std::uint64_t held = 0;
    std::uint64_t requests = 0;
    std::uint64_t unansweredRequests = 0;
};

/// State of a workspace for the state dump.
struct AllowanceState
{
    std::string_view workspace;
    double perSecond = 0;
    /// Recent calls per second at this daemon, refused ones included.
    double demand = 0;
    bool usesOwnShare = false;
    std::size_t held = 0;
};

/// Decides for the calls of this daemon whether they are within the allowances of their workspaces.
class AllowanceClient
{
public:
    /// `firstNumber` must differ between starts of the daemon, so that late answers to an earlier process are recognised.
    explicit AllowanceClient(std::uint64_t firstNumber)
        : m_lastNumber(firstNumber)
    {
    }

    /// Sets the workspaces with a limit. Calls that are held for a workspace without one are denied.
    void setAllowances(std::span<const Allowance> allowances, Millis now, AllowanceActions &actions);
    /// Sets the number of all known daemons, dead ones included; 0 while they are not known, which leaves this daemon no share of its own.
    void setKnownDaemons(std::size_t count);

    /// Decides about a call. If it is held, a DecideHeldCall follows in the actions of a later function.
    AllowanceDecision decide(std::string_view workspace, std::uint64_t call, Millis now, AllowanceActions &actions);
    void receive(const AllowanceAnswer &answer, Millis now, AllowanceActions &actions);
    /// Decides about the calls held too long, and sends due requests; must be called when nextDue() is reached.
    void tick(Millis now, AllowanceActions &actions);
    /// Earliest time at which tick() may have something to do; empty if there is no such time.
    std::optional<Millis> nextDue() const
    {
        return m_nextDue;
    }
    /// Drops a call that is held, because its caller has left.
    void forget(std::string_view workspace, std::uint64_t call);

    const AllowanceCounters &counters() const
    {
        return m_counters;
    }
    /// The workspaces with the highest demand, at most `count`, highest first.
    std::vector<AllowanceState> busiest(std::size_t count, Millis now) const;

private:
    /// Tokens of one answer.
    struct Lease
    {
        std::uint32_t tokens = 0;
        Millis expiresAt;
    };

    /// The last request.
    struct Request
    {
        std::uint64_t number = 0;
        std::uint32_t wanted = 0;
        Millis sentAt;
        bool repeated = false;
        bool answered = false;
        /// It was not answered in time.
        bool timedOut = false;
    };

    struct Entry
    {
        Allowance allowance;
        std::deque<Lease> leases;
        std::deque<std::uint64_t> held;
        std::optional<Request> request;
        /// Earliest time of the next request for tokens, after a denial or without an answer.
        Millis nextRequestAt{-1e12};
        /// When the home said that a token is due.
        Millis tokenDueAt{-1e12};
        /// When the home last had fewer tokens than wanted.
        Millis shortAt{-1e12};
        Millis lastCallAt{-1e12};
        /// When the last request of any kind was sent.
        Millis lastSentAt{-1e12};
        /// Since when the home is known not to answer; empty while it does.
        std::optional<Millis> silentSince;
        OwnShare ownShare;
        /// The home knows that this daemon uses the workspace.
        bool announced = false;
        /// Exponentially decaying count of calls.
        double recentCalls = 0;
        Millis countedAt;
    };

    static double demandOf(const Entry &entry, Millis now);
    static bool takeLeased(Entry &entry, Millis now);
    static bool isWaiting(const Entry &entry)
    {
        return entry.request && !entry.request->answered && !entry.request->timedOut;
    }
    /// Sends a new request for tokens for all held calls and those expected soon.
    void requestTokens(Entry &entry, Millis now, AllowanceActions &actions);
    void sendRequest(Entry &entry, std::uint32_t wanted, Millis now, AllowanceActions &actions);
    void sendLast(Entry &entry, AllowanceActions &actions);
    /// Decides by this daemon's own share.
    AllowanceDecision decideByOwnShare(Entry &entry, Millis now);
    AllowanceDecision denyByHome(const Entry &entry, Millis now);
    void startOwnShare(Entry &entry, Millis now);
    void decideHeldByOwnShare(Entry &entry, Millis now, AllowanceActions &actions);
    void tickEntry(Entry &entry, Millis now, AllowanceActions &actions);
    void updateDue(const Entry &entry);

    std::map<std::string, Entry, std::less<>> m_entries;
    std::size_t m_knownDaemons = 0;
    std::uint64_t m_lastNumber;
    std::optional<Millis> m_nextDue;
    AllowanceCounters m_counters;
};

}

#endif
