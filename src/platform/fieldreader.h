#ifndef LABURNUMMAST_PLATFORM_FIELDREADER_H
#define LABURNUMMAST_PLATFORM_FIELDREADER_H

#include "core/millis.h"
#include "platform/records.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace Laburnummast::Platform
{

/// Parses a JSON text. Returns a discarded value, which is not an object, if the text is not JSON.
nlohmann::json parseJson(std::string_view text);

/// Reads typed fields of a JSON object. A read that fails returns a default value and adds a problem.
class FieldReader
{
public:
    explicit FieldReader(const nlohmann::json &object)
        : m_object(object)
    {
    }

    std::string text(const char *name);
    double number(const char *name, double minimum, double maximum);
    /// A number without a fraction.
    double wholeNumber(const char *name, double minimum, double maximum);
    bool flag(const char *name);
    Millis duration(const char *name);

    /// Whether an optional field is present; null counts as missing.
    bool has(const char *name);
    /// Whether the field is present, with any value.
    bool contains(const char *name) const
    {
        return m_object.contains(name);
    }

    /// Keeps `target` if the optional field is missing or cannot be read.
    template <class T, class Read>
    void update(T &target, const char *name, Read read)
    {
        if (!has(name)) {
            return;
        }
        const auto n = m_problems.size();
        auto value = read(name);
        if (m_problems.size() == n) {
            target = std::move(value);
        }
    }

    void addProblem(RecordError error, std::string field, std::string expected);
    const std::vector<RecordProblem> &problems() const
    {
        return m_problems;
    }
    /// First failure; empty if there was none.
    std::optional<RecordError> error() const
    {
        return m_problems.empty() ? std::nullopt : std::optional(m_problems.front().error);
    }
    /// Names of the fields that were never asked for.
    std::vector<std::string> unusedFields() const;

private:
    const nlohmann::json *find(const char *name);
    template <class T>
    T fail(const char *name, const nlohmann::json *value, std::string expected);

    const nlohmann::json &m_object;
    std::vector<std::string_view> m_asked;
    std::vector<RecordProblem> m_problems;
};

/// Collects the problems of all entries of a record.
class ProblemCollector
{
public:
    void add(RecordProblem problem)
    {
        m_problems.push_back(std::move(problem));
    }
    /// Adds the problems and the unused fields of one entry; returns whether there were problems.
    bool addAll(const FieldReader &fields, Routes::ConfigEntry entry, const std::string &name, bool rejectsRecord);
    /// The first error for which the record is rejected; empty if it can be used.
    std::optional<RecordError> error() const;
    std::vector<RecordProblem> take()
    {
        return std::move(m_problems);
    }

private:
    std::vector<RecordProblem> m_problems;
};

}

#endif
