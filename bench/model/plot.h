#ifndef LABURNUMMAST_MODEL_PLOT_H
#define LABURNUMMAST_MODEL_PLOT_H

#include <span>
#include <string>
#include <string_view>

namespace Laburnummast::Model
{

/// A bar with the range of its value; consecutive bars of the same group are drawn side by side.
struct Bar
{
    std::string group;
    /// Shown as the tooltip of the bar.
    std::string label;
    double value = 0;
    double minimum = 0;
    double maximum = 0;
};

/// Renders a bar chart with a logarithmic value axis as SVG; values below 1 are drawn as 1.
std::string plotBars(std::string_view title, std::span<const Bar> bars);

}

#endif
