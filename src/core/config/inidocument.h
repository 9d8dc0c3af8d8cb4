#ifndef LABURNUMMAST_CORE_CONFIG_INIDOCUMENT_H
#define LABURNUMMAST_CORE_CONFIG_INIDOCUMENT_H

#include "core/config/settingerror.h"

#include <string>
#include <string_view>
#include <vector>

namespace Laburnummast::Config
{

/// One `key = value` line.
struct IniEntry
{
    std::string key;
    std::string value;
    int line = 0;
};

/// One section with its entries in order.
struct IniSection
{
    std::string name;
    int line = 0;
    std::vector<IniEntry> entries;
};

/// A parsed INI text; mistakes found on the way are kept beside what could be read.
struct IniDocument
{
    std::string source;
    std::vector<IniSection> sections;
    SettingErrors errors;
};

/// Reads INI text; `source` names it in errors.
IniDocument parseIni(std::string_view text, std::string_view source);

}

#endif
