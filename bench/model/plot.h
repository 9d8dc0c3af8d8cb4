#ifndef LABURNUMMAST_MODEL_PLOT_H
#define LABURNUMMAST_MODEL_PLOT_H

#include <span>
#include <string>
#include <string_view>

namespace Laburnummast::Model
{

/// One bar with its range; bars of a group stand together.
struct Bar
{
    std::string group;
    std::string label;
    double value = 0;
    double minimum = 0;
    double maximum = 0;
};

/// A bar chart as SVG, on a logarithmic scale.
std::string plotBars(std::string_view title, std::span<const Bar> bars);

}

#endif
