#include "entry/callend.h"

#include <array>

namespace Laburnummast::Entry
{

std::string_view nameOf(CallEnd end)
{
    constexpr std::array<std::string_view, callEndCount> names{"answered",
                                                               "failed",
                                                               "not-run",
                                                               "unknown",
                                                               "late",
                                                               "no-route",
                                                               "not-ready",
                                                               "bad-request",
                                                               "caller-left",
                                                               "unauthorized",
                                                               "over-allowance"};
    return names[static_cast<std::size_t>(end)];
}

}
