#include "core/limits/allowance.h"

namespace Laburnummast::Limits
{

std::string_view nameOf(AllowanceSource source)
{
    switch (source) {
    case AllowanceSource::Unlimited:
        return "unlimited";
    case AllowanceSource::Home:
        return "allowance";
    case AllowanceSource::OwnShare:
        return "own-share";
    }
    return "unknown";
}

}
