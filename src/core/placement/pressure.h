#ifndef LABURNUMMAST_CORE_PLACEMENT_PRESSURE_H
#define LABURNUMMAST_CORE_PLACEMENT_PRESSURE_H

namespace Laburnummast::Placement
{

/// Moving average of the share of searches that found no suitable upstream, 0 to 1.
class Pressure
{
public:
    void update(bool noneSuitable)
    {
        m_value = m_value * (1 - updateWeight) + (noneSuitable ? updateWeight : 0);
    }
    double value() const
    {
        return m_value;
    }
    /// Free slots are plentiful, so that fewer probes are needed and distance is taken into account.
    bool isLow() const
    {
        return m_value <= lowPressure;
    }
    /// Slots are reserved for calls that can still be in time, and no hedges are sent.
    bool isHigh() const
    {
        return m_value > highPressure;
    }

private:
    /// Weight of one search.
    static constexpr double updateWeight = 0.1;
    static constexpr double lowPressure = 0.05;
    static constexpr double highPressure = 0.3;

    double m_value = 0;
};

}

#endif
