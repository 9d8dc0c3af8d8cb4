#include "platform/fieldreader.h"

#include "core/text.h"
#include "platform/settings.h"

#include <algorithm>
#include <cmath>

namespace Laburnummast::Platform
{
namespace
{

using Json = nlohmann::json;

std::optional<double> numberIn(const Json *value, double minimum, double maximum)
{
    if (!value || !value->is_number()) {
        return std::nullopt;
    }
    const auto number = value->get<double>();
    return number >= minimum && number <= maximum ? std::optional(number) : std::nullopt;
}

}

template <class T>
T FieldReader::fail(const char *name, const Json *value, std::string expected)
{
    addProblem(value ? RecordError::FieldInvalid : RecordError::FieldMissing, name, std::move(expected));
    return {};
}

Json parseJson(std::string_view text)
{
    return Json::parse(text.begin(), text.end(), nullptr, false);
}

std::string FieldReader::text(const char *name)
{
    const auto *value = find(name);
    return value && value->is_string() ? value->get<std::string>() : fail<std::string>(name, value, "a string");
}

double FieldReader::number(const char *name, double minimum, double maximum)
{
    const auto *value = find(name);
    const auto number = numberIn(value, minimum, maximum);
    return number ? *number : fail<double>(name, value, Text::concat("a number from ", minimum, " to ", maximum));
}

double FieldReader::wholeNumber(const char *name, double minimum, double maximum)
{
    const auto *value = find(name);
    const auto number = numberIn(value, minimum, maximum);
    return number && std::floor(*number) == *number
        ? *number
        : fail<double>(name, value, Text::concat("a whole number from ", minimum, " to ", maximum));
}

bool FieldReader::flag(const char *name)
{
    const auto *value = find(name);
    return value && value->is_boolean() ? value->get<bool>() : fail<bool>(name, value, "true or false");
}

Millis FieldReader::duration(const char *name)
{
    const auto *value = find(name);
    const auto parsed = value && value->is_string() ? parseDuration(value->get<std::string>()) : std::nullopt;
    return parsed ? *parsed : fail<Millis>(name, value, "a duration in ms or s, as text");
}

bool FieldReader::has(const char *name)
{
    const auto *value = find(name);
    return value && !value->is_null();
}

void FieldReader::addProblem(RecordError error, std::string field, std::string expected)
{
    m_problems.push_back({.error = error, .field = std::move(field), .expected = std::move(expected)});
}

std::vector<std::string> FieldReader::unusedFields() const
{
    std::vector<std::string> names;
    for (const auto &[name, it] : m_object.items()) {
        if (std::find(m_asked.begin(), m_asked.end(), name) == m_asked.end()) {
            names.push_back(name);
        }
    }
    return names;
}

const Json *FieldReader::find(const char *name)
{
    m_asked.emplace_back(name);
    const auto it = m_object.find(name);
    return it == m_object.end() ? nullptr : &*it;
}

bool ProblemCollector::addAll(const FieldReader &fields, Routes::ConfigEntry entry, const std::string &name, bool rejectsRecord)
{
    for (auto it : fields.problems()) {
        it.entry = entry;
        it.name = name;
        // A word that is not defined has a fixed meaning.
        it.rejectsRecord = rejectsRecord && it.error != RecordError::UnknownWord;
        m_problems.push_back(std::move(it));
    }
    for (auto &it : fields.unusedFields()) {
        m_problems.push_back({.error = RecordError::FieldUnknown,
                              .entry = entry,
                              .name = name,
                              .field = std::move(it),
                              .expected = {},
                              .rejectsRecord = false});
    }
    return fields.error().has_value();
}

std::optional<RecordError> ProblemCollector::error() const
{
    const auto it = std::find_if(m_problems.begin(), m_problems.end(), [](const RecordProblem &problem) { return problem.rejectsRecord; });
    return it == m_problems.end() ? std::nullopt : std::optional(it->error);
}

}
