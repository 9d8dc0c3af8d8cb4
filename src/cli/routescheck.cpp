#include "cli/routescheck.h"

#include "core/routes/configcheck.h"
#include "core/text.h"
#include "entry/nodesettings.h"
#include "platform/records.h"

#include <algorithm>
#include <utility>

namespace Laburnummast::Cli
{
namespace
{

std::string_view nameOf(Routes::Severity severity)
{
    return severity == Routes::Severity::Error ? "error" : "warning";
}

std::string_view nameOf(Routes::ConfigEntry entry)
{
    switch (entry) {
    case Routes::ConfigEntry::Whole:
        return "configuration";
    case Routes::ConfigEntry::Route:
        return "route";
    case Routes::ConfigEntry::Service:
        return "service";
    case Routes::ConfigEntry::Workspace:
        return "workspace";
    case Routes::ConfigEntry::Limits:
        return "limits";
    }
    return "unknown";
}

std::string fieldName(const Routes::ConfigPlace &place)
{
    return place.field ? std::string(Platform::nameOf(*place.field)) : std::string();
}

std::string placeText(Routes::ConfigEntry entry, const std::string &name, const std::string &field)
{
    auto text = std::string(nameOf(entry));
    if (!name.empty()) {
        Text::append(text, " ", name);
    }
    if (!field.empty()) {
        Text::append(text, ", ", field);
    }
    return text;
}

std::string explanationOf(const Platform::RecordProblem &problem)
{
    const std::string consequence = problem.rejectsRecord ? "every daemon rejects the record" : "a default is used";
    switch (problem.error) {
    case Platform::RecordError::FieldUnknown:
        return "the daemons do not use this field";
    case Platform::RecordError::NameRepeated:
        return "occurs more than once, the daemons use the last one only";
    case Platform::RecordError::FieldMissing:
        return Text::concat("is missing, must be ", problem.expected, "; ", consequence);
    case Platform::RecordError::Unreadable:
    case Platform::RecordError::FieldInvalid:
    case Platform::RecordError::UnknownWord:
        break;
    }
    return Text::concat("must be ", problem.expected, "; ", consequence);
}

CheckedPlace toPlace(const Platform::RecordProblem &problem)
{
    const bool isUnused = problem.error == Platform::RecordError::FieldUnknown;
    return {.severity = isUnused ? Routes::Severity::Warning : Routes::Severity::Error,
            .entry = problem.entry,
            .name = problem.name,
            .field = problem.field,
            .problem = std::string(Platform::nameOf(problem.error)),
            .explanation = explanationOf(problem),
            .detail = {}};
}

CheckedPlace toPlace(const Routes::ConfigFinding &finding)
{
    return {.severity = severityOf(finding.problem),
            .entry = finding.place.entry,
            .name = finding.place.name,
            .field = fieldName(finding.place),
            .problem = std::string(Routes::nameOf(finding.problem)),
            .explanation = std::string(Routes::explanationOf(finding.problem)),
            .detail = finding.detail};
}

}

std::size_t RoutesCheck::count(Routes::Severity severity) const
{
    const auto hasSeverity = [&](const CheckedPlace &it) { return it.severity == severity; };
    return static_cast<std::size_t>(std::count_if(findings.begin(), findings.end(), hasSeverity));
}

RoutesCheck checkRoutesRecord(std::string_view text, const Routes::RouteTable *inForce)
{
    RoutesCheck check;
    std::vector<Platform::RecordProblem> problems;
    const auto decoded = Platform::decodeRoutes(text, problems);
    for (auto &it : Platform::findRepeatedNames(text)) {
        problems.push_back(std::move(it));
    }
    for (const auto &it : problems) {
        check.findings.push_back(toPlace(it));
    }
    const auto *table = std::get_if<Routes::RouteTable>(&decoded);
    if (!table) {
        return check;
    }
    for (const auto &it : Routes::checkConfig(*table, Entry::NodeBounds{}.quotaWindow)) {
        check.findings.push_back(toPlace(it));
    }
    if (inForce) {
        if (const auto finding = Routes::checkVersion(*inForce, *table)) {
            check.findings.push_back(toPlace(*finding));
        }
        check.differences = Routes::differencesBetween(*inForce, *table);
    }
    return check;
}

std::string toText(const RoutesCheck &check)
{
    std::string text;
    for (const auto &it : check.findings) {
        Text::append(text, nameOf(it.severity), ": ", placeText(it.entry, it.name, it.field), ": ", it.explanation);
        Text::append(text, it.detail.empty() ? std::string() : Text::concat(" (", it.detail, ")"), " [", it.problem, "]\n");
    }
    if (check.differences) {
        for (const auto &it : *check.differences) {
            Text::append(text, Routes::nameOf(it.change), ": ", placeText(it.place.entry, it.place.name, fieldName(it.place)));
            Text::append(text, it.place.field ? Text::concat(": ", it.before, " -> ", it.after) : std::string(), "\n");
        }
    }
    Text::append(text, check.count(Routes::Severity::Error), " errors, ", check.count(Routes::Severity::Warning), " warnings");
    if (check.differences) {
        Text::append(text, ", ", check.differences->size(), " differences");
    }
    return text + "\n";
}

nlohmann::json toJson(const RoutesCheck &check)
{
    auto findings = nlohmann::json::array();
    for (const auto &it : check.findings) {
        findings.push_back({{"severity", nameOf(it.severity)},
                            {"entry", nameOf(it.entry)},
                            {"name", it.name},
                            {"field", it.field},
                            {"problem", it.problem},
                            {"explanation", it.explanation},
                            {"detail", it.detail}});
    }
    nlohmann::json differences;
    if (check.differences) {
        differences = nlohmann::json::array();
        for (const auto &it : *check.differences) {
            differences.push_back({{"change", Routes::nameOf(it.change)},
                                   {"entry", nameOf(it.place.entry)},
                                   {"name", it.place.name},
                                   {"field", fieldName(it.place)},
                                   {"before", it.before},
                                   {"after", it.after}});
        }
    }
    return {{"errors", check.count(Routes::Severity::Error)},
            {"warnings", check.count(Routes::Severity::Warning)},
            {"findings", std::move(findings)},
            {"differences", std::move(differences)}};
}

}
