#ifndef LABURNUMMAST_CORE_PLACEMENT_DOMAINCHOICE_H
#define LABURNUMMAST_CORE_PLACEMENT_DOMAINCHOICE_H

#include "core/millis.h"

#include <array>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>

namespace Laburnummast::Placement
{

/// Measured load of the upstreams of a service in one failure domain.
struct DomainLoad
{
    std::string_view domain;
    /// Calls that the upstreams can run at the same time.
    double slots = 0;
    /// Calls that run or are queued there.
    double calls = 0;
    /// Usual time that a call waits there before it runs.
    Millis wait;
    /// Additional round trip from this daemon, compared with its own domain.
    Millis extraRoundTrip;
};

/// What sending a call to another failure domain costs beside the round trip, as a latency; it stands for the bytes that are transferred.
struct DomainPrices
{
    Millis normal{6};
    Millis bulk{40};
};

/// Decides which part of a daemon's calls goes to the upstreams of other failure domains.
///
/// The part changes in small steps: it rises while the own domain is full or waits long and others have room, and falls while the own
/// domain has room. Between the two loads it stays, so that domains do not pass load back and forth.
class DomainChoice
{
public:
    explicit DomainChoice(const DomainPrices &prices = {});

    /// Whether update() would take new measurements.
    bool isDue(Millis now) const;
    /// Takes new measurements; ignored if the last ones are too recent for their effect to show.
    void update(std::string_view home, std::span<const DomainLoad> loads, Millis now);
    /// Part of the calls that leave the own domain, 0 to 1.
    double awayShare(bool bulk) const
    {
        return m_kinds[bulk ? 1 : 0].awayShare;
    }
    /// Failure domain for a call; empty for the own one. `draw` is a random number from 0 to 1.
    std::optional<std::string_view> choose(bool bulk, double draw) const;

private:
    /// Calls that differ in their costs.
    struct Kind
    {
        Millis price;
        /// Load of the own domain, in calls per slot, above which calls leave.
        double fullLoad = 0;
        double awayShare = 0;
        /// Smoothed room of the other domains, by name.
        std::map<std::string, double, std::less<>> room;
    };

    static void updateKind(Kind &kind, const DomainLoad &home, std::span<const DomainLoad> loads);

    std::array<Kind, 2> m_kinds;
    std::optional<Millis> m_updatedAt;
};

}

#endif
