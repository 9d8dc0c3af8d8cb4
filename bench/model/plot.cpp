#include "model/plot.h"

#include <absl/strings/str_format.h>
#include <algorithm>
#include <array>
#include <cmath>

namespace Laburnummast::Model
{
namespace
{

constexpr double chartLeft = 60;
constexpr double chartTop = 40;
constexpr double chartHeight = 260;
constexpr double barWidth = 22;
constexpr double groupGap = 26;
constexpr std::array<const char *, 3> colours{"#b03a2e", "#2e6f9e", "#7d8a4a"};

// Vertical position of `value` on an axis from 1 to ten to the power of `maxExponent`.
double yPosition(double value, double maxExponent)
{
    return chartTop + chartHeight * (1 - std::log10(std::max(value, 1.0)) / maxExponent);
}

}

std::string plotBars(std::string_view title, std::span<const Bar> bars)
{
    double maxExponent = 1;
    for (const auto &it : bars) {
        maxExponent = std::max(maxExponent, std::ceil(std::log10(std::max(it.maximum, 1.0))));
    }
    std::string body;
    double x = chartLeft;
    std::string group;
    std::size_t n = 0;
    for (const auto &it : bars) {
        if (it.group != group) {
            x += groupGap;
            group = it.group;
            n = 0;
            body += absl::StrFormat("<text x='%.0f' y='%.0f' font-size='11'>%s</text>\n", x, chartTop + chartHeight + 16, group);
        }
        const double y = yPosition(it.value, maxExponent);
        body += absl::StrFormat("<rect x='%.0f' y='%.1f' width='%.0f' height='%.1f' fill='%s'><title>%s %.1f</title></rect>\n",
                                x,
                                y,
                                barWidth - 4,
                                chartTop + chartHeight - y,
                                colours[n++ % colours.size()],
                                it.label,
                                it.value);
        const double middle = x + barWidth / 2 - 2;
        body += absl::StrFormat("<line x1='%.1f' x2='%.1f' y1='%.1f' y2='%.1f' stroke='black'/>\n",
                                middle,
                                middle,
                                yPosition(it.minimum, maxExponent),
                                yPosition(it.maximum, maxExponent));
        x += barWidth;
    }
    for (int decade = 0; decade <= static_cast<int>(maxExponent); ++decade) {
        const double y = yPosition(std::pow(10.0, decade), maxExponent);
        body += absl::StrFormat(
            "<line x1='%.0f' x2='%.0f' y1='%.1f' y2='%.1f' stroke='#cccccc'/><text x='8' y='%.1f' font-size='11'>%g</text>\n",
            chartLeft,
            x + groupGap,
            y,
            y,
            y + 4,
            std::pow(10.0, decade));
    }
    return absl::StrFormat("<svg xmlns='http://www.w3.org/2000/svg' width='%.0f' height='%.0f' font-family='sans-serif'>\n"
                           "<rect width='100%%' height='100%%' fill='white'/>\n<text x='%.0f' y='22' font-size='14'>%s (red urgent, blue "
                           "normal, green deferrable)</text>\n%s</svg>\n",
                           x + 2 * groupGap,
                           chartTop + chartHeight + 30,
                           chartLeft,
                           std::string(title),
                           body);
}

}
