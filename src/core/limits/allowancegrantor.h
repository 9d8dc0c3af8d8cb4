#ifndef LABURNUMMAST_CORE_LIMITS_ALLOWANCEGRANTOR_H
#define LABURNUMMAST_CORE_LIMITS_ALLOWANCEGRANTOR_H

#include "core/limits/allowance.h"
#include "core/retry/tokenbucket.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>

namespace Laburnummast::Limits
{

/// The daemons as the home of a workspace knows them.
struct AllowanceFleet
{
    /// All known daemons, this one and dead ones included.
    std::size_t known = 1;
    /// Daemons declared dead; they may run and use their own shares, because only this side cannot reach them.
    std::set<std::string, std::less<>> dead;
    /// This daemon receives nothing from any other, although some are not declared dead.
    bool isolated = false;

    friend bool operator==(const AllowanceFleet &, const AllowanceFleet &) = default;
};

/// Grants tokens of the workspaces whose home this daemon is.
///
/// Its memory is bounded by the workspaces given to setAllowances() and by the number of known daemons.
class AllowanceGrantor
{
public:
    /// Grants nothing before `firstGrantsAt`, when the other daemons are known and leases from before a restart have expired.
    explicit AllowanceGrantor(Millis firstGrantsAt)
        : m_firstGrantsAt(firstGrantsAt)
    {
    }

    void setFleet(const AllowanceFleet &fleet, Millis now);
    /// Sets the workspaces whose home this daemon is; a workspace that is new here waits before its first grant.
    void setAllowances(std::span<const Allowance> homed, Millis now);
    AllowanceAnswer answer(const AllowanceRequest &request, std::string_view daemon, Millis now);
    /// Forgets a daemon that ended or restarted: its silence is no sign of a lost link.
    void forget(std::string_view daemon);

    /// Number of workspaces whose home this daemon is.
    std::size_t workspaceCount() const
    {
        return m_homes.size();
    }
    /// Tokens per second that are granted at present, which is less than the rate while daemons may use their own shares; 0 if this daemon
    /// is not the home.
    double grantedRate(std::string_view workspace) const;

private:
    /// A daemon that uses the workspace.
    struct User
    {
        Millis heardAt;
        /// Its last request got an answer other than NotServing.
        bool answered = false;
        /// It does not receive the answers and uses its own share.
        bool usesOwnShare = false;
    };

    /// Part that could have been granted throughout since a time.
    struct LargerPart
    {
        double part = 1;
        Millis since;
    };

    struct Home
    {
        Allowance allowance;
        Millis grantsFrom;
        Retry::TokenBucket bucket{0, 0};
        std::map<std::string, User, std::less<>> users;
        /// Part of the rate and burst that is granted; the rest is reserved for daemons that may use their own shares.
        double part = 1;
        /// Empty unless a larger part could be granted.
        std::optional<LargerPart> larger;
        Millis partUpdatedAt;
    };

    void noteUser(Home &home, const AllowanceRequest &request, std::string_view daemon, Millis now) const;
    /// Works out the part from the daemons that are dead or silent.
    void updatePart(Home &home, Millis now) const;
    static void setPart(Home &home, double part, Millis now);
    static void applyRate(Home &home, Millis now);

    Millis m_firstGrantsAt;
    AllowanceFleet m_fleet;
    std::map<std::string, Home, std::less<>> m_homes;
};

}

#endif
