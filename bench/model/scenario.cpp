#include "model/scenario.h"

#include "core/text.h"

#include <algorithm>
#include <tao/pegtl.hpp>

namespace Laburnummast::Model
{
namespace
{

namespace Grammar
{

using namespace tao::pegtl;

struct Comment : seq<one<'#'>, until<at<eolf>>>
{
};
struct Word : plus<sor<alnum, one<'.', '_', '-'>>>
{
};
struct Comparison : sor<string<'<', '='>, string<'>', '='>>
{
};
struct Token : sor<Comparison, Word>
{
};
struct Line : seq<star<blank>, list<Token, plus<blank>>, star<blank>, opt<Comment>, eolf>
{
};
struct EmptyLine : seq<star<blank>, opt<Comment>, eol>
{
};
struct Script : until<eof, sor<EmptyLine, Line, seq<star<blank>, eof>>>
{
};

}

struct Statement
{
    int line = 0;
    std::vector<std::string> tokens;
};

struct Statements
{
    std::vector<Statement> done;
    Statement current;
};

template <class Rule>
struct Action : tao::pegtl::nothing<Rule>
{
};

template <>
struct Action<Grammar::Token>
{
    template <class Input>
    static void apply(const Input &in, Statements &statements)
    {
        statements.current.line = static_cast<int>(in.position().line);
        statements.current.tokens.push_back(in.string());
    }
};

template <>
struct Action<Grammar::Line>
{
    static void apply0(Statements &statements)
    {
        statements.done.push_back(std::exchange(statements.current, {}));
    }
};

// Reads the tokens of one statement in order.
class Reader
{
public:
    explicit Reader(const Statement &statement)
        : m_tokens(statement.tokens)
    {
    }

    bool word(std::string_view wanted)
    {
        if (m_at < m_tokens.size() && m_tokens[m_at] == wanted) {
            ++m_at;
            return true;
        }
        return false;
    }
    /// As `word`, but the statement is wrong without it.
    void need(std::string_view wanted)
    {
        m_ok = word(wanted) && m_ok;
    }
    std::string text()
    {
        m_ok = m_ok && m_at < m_tokens.size();
        return m_ok ? m_tokens[m_at++] : std::string();
    }
    double number()
    {
        const auto value = m_at < m_tokens.size() ? Text::parseNumber(m_tokens[m_at]) : std::nullopt;
        m_ok = m_ok && value;
        ++m_at;
        return value.value_or(0);
    }
    int count()
    {
        return static_cast<int>(number());
    }
    Millis span()
    {
        const double value = number();
        if (word("s")) {
            return Millis{value * 1000};
        }
        need("ms");
        return Millis{value};
    }
    Priority priority()
    {
        const auto name = text();
        const auto it = std::find(priorityNames.begin(), priorityNames.end(), name);
        m_ok = m_ok && it != priorityNames.end();
        return m_ok ? static_cast<Priority>(it - priorityNames.begin()) : Priority::Urgent;
    }
    bool ended() const
    {
        return m_ok && m_at == m_tokens.size();
    }

private:
    const std::vector<std::string> &m_tokens;
    std::size_t m_at = 0;
    bool m_ok = true;
};

void readDeploy(Reader &reader, Scenario &scenario)
{
    reader.need("entries");
    scenario.entries = reader.count();
    reader.need("dispatchers");
    scenario.dispatchers = reader.count();
    reader.need("workers");
    scenario.workers = reader.count();
    reader.need("slots");
    scenario.slots = reader.count();
    reader.need("domains");
    scenario.domains = reader.count();
}

void readNetwork(Reader &reader, Scenario &scenario)
{
    reader.need("same-domain");
    scenario.sameDomain = reader.span();
    reader.need("other-domain");
    scenario.otherDomain = reader.span();
    reader.need("client");
    scenario.client = reader.span();
}

void readMix(Reader &reader, Scenario &scenario)
{
    constexpr double percent = 100;
    for (std::size_t i = 0; i < priorityCount; ++i) {
        reader.need(priorityNames[i]);
        scenario.mix[i] = reader.number() / percent;
    }
}

void readStruck(Reader &reader, std::string_view what, Fault &fault)
{
    reader.need(what);
    fault.count = reader.count();
    if (reader.word("from")) {
        fault.first = reader.count();
    }
}

void readFlood(Reader &reader, Fault &fault)
{
    fault.kind = FaultKind::Flood;
    fault.priority = reader.priority();
    reader.need("load");
    fault.amount = reader.number();
    if (reader.word("partner")) {
        fault.partner = reader.count();
    }
}

void readFault(Reader &reader, Scenario &scenario)
{
    Fault fault{.at = reader.span()};
    if (reader.word("slow")) {
        fault.kind = FaultKind::Slow;
        readStruck(reader, "workers", fault);
        reader.need("by");
        fault.amount = reader.number();
    } else if (reader.word("fail")) {
        fault.kind = FaultKind::Fail;
        readStruck(reader, "workers", fault);
    } else if (reader.word("mislead")) {
        fault.kind = FaultKind::Mislead;
        readStruck(reader, "workers", fault);
    } else if (reader.word("drain")) {
        fault.kind = FaultKind::Drain;
        readStruck(reader, "workers", fault);
    } else if (reader.word("restart")) {
        fault.kind = FaultKind::Restart;
        readStruck(reader, "workers", fault);
    } else if (reader.word("heal")) {
        fault.kind = FaultKind::Heal;
        readStruck(reader, "workers", fault);
    } else if (reader.word("kill")) {
        fault.kind = FaultKind::Kill;
        readStruck(reader, "entries", fault);
    } else if (reader.word("silence")) {
        fault.kind = FaultKind::Silence;
        readStruck(reader, "workers", fault);
    } else if (reader.word("lose")) {
        fault.kind = FaultKind::LoseAnswers;
        fault.amount = reader.number();
    } else if (reader.word("cross")) {
        fault.kind = FaultKind::CrossAnswers;
        fault.amount = reader.number();
    } else {
        reader.need("flood");
        readFlood(reader, fault);
    }
    scenario.faults.push_back(fault);
}

void readExpectation(Reader &reader, int line, Scenario &scenario)
{
    Expectation expectation{.measure = reader.text(), .line = line};
    expectation.atMost = reader.word("<=");
    if (!expectation.atMost) {
        reader.need(">=");
    }
    expectation.bound = reader.number();
    if (reader.word("x")) {
        if (reader.word("central")) {
            expectation.reference = Reference::Central;
        } else if (reader.word("before")) {
            expectation.reference = Reference::Before;
        } else {
            reader.need("best-baseline");
            expectation.reference = Reference::BestBaseline;
        }
    }
    scenario.expectations.push_back(expectation);
}

bool readStatement(const Statement &statement, Scenario &scenario)
{
    Reader reader(statement);
    if (reader.word("deploy")) {
        readDeploy(reader, scenario);
    } else if (reader.word("network")) {
        readNetwork(reader, scenario);
    } else if (reader.word("mix")) {
        readMix(reader, scenario);
    } else if (reader.word("load")) {
        scenario.load = reader.number();
    } else if (reader.word("run")) {
        scenario.length = reader.span();
        reader.need("warm-up");
        scenario.warmUp = reader.span();
    } else if (reader.word("at")) {
        readFault(reader, scenario);
    } else {
        reader.need("expect");
        readExpectation(reader, statement.line, scenario);
    }
    return reader.ended();
}

}

Millis Scenario::firstFault() const
{
    return faults.empty() ? warmUp : faults.front().at;
}

Result<Scenario, ScenarioError> parseScenario(std::string_view name, std::string_view text)
{
    Statements statements;
    tao::pegtl::memory_input in(text.data(), text.size(), std::string(name));
    if (!tao::pegtl::parse<Grammar::Script, Action>(in, statements)) {
        return ScenarioError{.name = std::string(name), .line = static_cast<int>(in.position().line), .statement = {}};
    }
    Scenario scenario;
    scenario.name = name;
    for (const auto &it : statements.done) {
        if (!readStatement(it, scenario)) {
            return ScenarioError{.name = std::string(name), .line = it.line, .statement = Text::join(it.tokens, " ")};
        }
    }
    std::stable_sort(scenario.faults.begin(), scenario.faults.end(), [](const Fault &a, const Fault &b) { return a.at < b.at; });
    return scenario;
}

}
