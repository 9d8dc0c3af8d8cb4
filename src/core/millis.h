#ifndef LABURNUMMAST_CORE_MILLIS_H
#define LABURNUMMAST_CORE_MILLIS_H

#include <compare>

namespace Laburnummast
{

/// A point in time or a duration, in milliseconds.
struct Millis
{
    double count = 0;

    friend constexpr auto operator<=>(Millis, Millis) = default;
    friend constexpr Millis operator+(Millis a, Millis b)
    {
        return {a.count + b.count};
    }
    friend constexpr Millis operator-(Millis a, Millis b)
    {
        return {a.count - b.count};
    }
    friend constexpr Millis operator*(Millis a, double factor)
    {
        return {a.count * factor};
    }
    friend constexpr double operator/(Millis a, Millis b)
    {
        return a.count / b.count;
    }
    constexpr Millis &operator+=(Millis other)
    {
        count += other.count;
        return *this;
    }
    constexpr Millis &operator-=(Millis other)
    {
        count -= other.count;
        return *this;
    }

    template <class Archive>
    void serialize(Archive &archive)
    {
        archive(count);
    }
};

constexpr Millis operator""_ms(long double count)
{
    return {static_cast<double>(count)};
}

constexpr Millis operator""_ms(unsigned long long count)
{
    return {static_cast<double>(count)};
}

constexpr Millis operator""_s(unsigned long long count)
{
    return {static_cast<double>(count) * 1000.0};
}

}

#endif
