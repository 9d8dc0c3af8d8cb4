#include "core/config/settingerror.h"

#include "core/text.h"

namespace Laburnummast::Config
{

std::string nameOf(SettingErrorKind kind)
{
    switch (kind) {
    case SettingErrorKind::Syntax:
        return "syntax";
    case SettingErrorKind::UnknownSection:
        return "unknown-section";
    case SettingErrorKind::DuplicateSection:
        return "duplicate-section";
    case SettingErrorKind::UnknownKey:
        return "unknown-key";
    case SettingErrorKind::DuplicateKey:
        return "duplicate-key";
    case SettingErrorKind::MissingSection:
        return "missing-section";
    case SettingErrorKind::MissingKey:
        return "missing-key";
    case SettingErrorKind::NotANumber:
        return "not-a-number";
    case SettingErrorKind::OutOfRange:
        return "out-of-range";
    case SettingErrorKind::NotAllowed:
        return "not-allowed";
    }
    return "unknown";
}

std::string describe(const SettingError &error)
{
    std::string text = Text::concat(error.source, ":", error.line, ": [", error.section, "]");
    if (!error.key.empty()) {
        Text::append(text, " ", error.key);
    }
    if (!error.value.empty()) {
        Text::append(text, " = ", error.value);
    }
    Text::append(text, ": ", nameOf(error.kind));
    if (!error.allowed.empty()) {
        Text::append(text, "; allowed: ", error.allowed);
    }
    return text;
}

}
