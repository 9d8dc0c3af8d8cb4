#include "core/membership/configsource.h"

namespace Laburnummast::Membership
{

const Member *findConfigSource(std::span<const Member> others, std::int64_t ownOffset)
{
    const Member *source = nullptr;
    for (const auto &it : others) {
        const auto offset = source == nullptr ? ownOffset : source->config.offset;
        if (it.state <= MemberState::Leaving && it.config.offset > offset) {
            source = &it;
        }
    }
    return source;
}

}
