#include "core/membership/configsource.h"

#include <vector>

namespace Laburnummast::Membership
{

const Member *findConfigSource(std::span<const Member> others, std::int64_t ownOffset, std::uint64_t choice)
{
    std::vector<const Member *> sources;
    for (const auto &it : others) {
        if (it.state > MemberState::Leaving || it.config.offset <= ownOffset) {
            continue;
        }
        if (!sources.empty() && it.config.offset > sources.front()->config.offset) {
            sources.clear();
        }
        if (sources.empty() || it.config.offset == sources.front()->config.offset) {
            sources.push_back(&it);
        }
    }
    return sources.empty() ? nullptr : sources[choice % sources.size()];
}

}
