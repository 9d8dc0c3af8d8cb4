#include "core/config/inidocument.h"
#include "core/config/sectionreader.h"

#include <doctest/doctest.h>

using namespace Laburnummast;
using namespace Laburnummast::Config;

TEST_CASE("Parsing an INI text records the line of each section and key")
{
    const auto document = parseIni("; comment\n[a]\nx = 1\n\n[b]\ny = 2\n", "text");
    REQUIRE(document.sections.size() == 2);
    CHECK(document.errors.empty());
    CHECK(document.sections[0].name == "a");
    CHECK(document.sections[0].entries[0].line == 3);
    CHECK(document.sections[1].entries[0].key == "y");
    CHECK(document.sections[1].entries[0].line == 6);
}

TEST_CASE("A section without keys is part of the document")
{
    const auto document = parseIni("[a]\n[b]\ny = 2\n", "text");
    CHECK(document.sections.size() == 2);
}

TEST_CASE("A line that is neither a section header nor a key is reported as an error with its line")
{
    const auto document = parseIni("[a]\nx = 1\nnonsense\n", "text");
    REQUIRE(document.errors.size() == 1);
    CHECK(document.errors[0].kind == SettingErrorKind::Syntax);
    CHECK(document.errors[0].line == 3);
}

TEST_CASE("A duplicate section is reported as an error")
{
    const auto document = parseIni("[a]\nx = 1\n[b]\ny = 1\n[a]\nz = 1\n", "text");
    REQUIRE(document.errors.size() == 1);
    CHECK(document.errors[0].kind == SettingErrorKind::DuplicateSection);
    CHECK(document.errors[0].line == 5);
}

TEST_CASE("A section reader reports all errors of a section")
{
    const auto document = parseIni("[s]\nport = high\nsize = 900\nkind = blue\nextra = 1\nport = 2\n", "file.ini");
    SettingErrors errors;
    SectionReader reader(document.sections[0], document.source, errors);
    std::int64_t port = 0;
    std::int64_t size = 0;
    std::uint8_t kind = 0;
    std::string name;
    constexpr std::string_view kinds[] = {"red", "green"};
    reader.field("port", port, Range{1, 10}, Presence::Required);
    reader.field("size", size, Range{1, 10}, Presence::Required);
    reader.choice("kind", kind, kinds, Presence::Required);
    reader.field("name", name, Presence::Required);
    reader.rejectUnknownKeys();

    REQUIRE(errors.size() == 6);
    CHECK(errors[0].kind == SettingErrorKind::DuplicateKey);
    CHECK(errors[1].kind == SettingErrorKind::NotANumber);
    CHECK(errors[2].kind == SettingErrorKind::OutOfRange);
    CHECK(errors[2].allowed == "1 to 10");
    CHECK(errors[3].kind == SettingErrorKind::NotAllowed);
    CHECK(errors[3].allowed == "red, green");
    CHECK(errors[4].kind == SettingErrorKind::MissingKey);
    CHECK(errors[5].kind == SettingErrorKind::UnknownKey);
    CHECK(describe(errors[2]) == "file.ini:3: [s] size = 900: out-of-range; allowed: 1 to 10");
}

TEST_CASE("A field keeps its default value if its optional key is absent")
{
    const auto document = parseIni("[s]\nother = 1\n", "text");
    SettingErrors errors;
    SectionReader reader(document.sections[0], document.source, errors);
    std::int64_t size = 7;
    reader.field("size", size, Range{1, 10}, Presence::Optional);
    CHECK(size == 7);
    CHECK(errors.empty());
}
