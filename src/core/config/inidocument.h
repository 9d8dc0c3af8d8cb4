#ifndef LABURNUMMAST_CORE_CONFIG_INIDOCUMENT_H
#define LABURNUMMAST_CORE_CONFIG_INIDOCUMENT_H

#include "core/config/settingerror.h"

#include <string>
#include <string_view>
#include <vector>

namespace Laburnummast::Config
{

/// One `key = value` line; lines are counted from 1.
struct IniEntry
{
    std::string key;
    std::string value;
    int line = 0;
};

/// One section with the line of its header and its entries in order.
struct IniSection
{
    std::string name;
    int line = 0;
    std::vector<IniEntry> entries;
};

/// A parsed INI text: the sections that could be read and the errors found.
struct IniDocument
{
    std::string source;
    std::vector<IniSection> sections;
    SettingErrors errors;
};

/// Parses an INI text; `source` names the text in errors.
IniDocument parseIni(std::string_view text, std::string_view source);

}

#endif
