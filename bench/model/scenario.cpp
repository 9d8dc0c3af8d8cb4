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

// Words of one line of a script.
struct Statement
{
    int line = 0;
    std::vector<std::string> tokens;
};

// Result of the parser.
struct Statements
{
    std::vector<Statement> completed;
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
        statements.completed.push_back(std::exchange(statements.current, {}));
    }
};

// Reads the words of a statement in order and remembers whether one was missing or invalid.
class StatementReader
{
public:
    explicit StatementReader(const Statement &statement)
        : m_tokens(statement.tokens)
    {
    }

    // Consumes the next word if it is `wanted`.
    bool acceptWord(std::string_view wanted)
    {
        if (m_position < m_tokens.size() && m_tokens[m_position] == wanted) {
            ++m_position;
            return true;
        }
        return false;
    }
    // Consumes the next word; the statement is invalid unless it is `wanted`.
    void expectWord(std::string_view wanted)
    {
        m_valid = acceptWord(wanted) && m_valid;
    }
    std::string readText()
    {
        m_valid = m_valid && m_position < m_tokens.size();
        return m_valid ? m_tokens[m_position++] : std::string();
    }
    double readNumber()
    {
        const auto value = m_position < m_tokens.size() ? Text::parseNumber(m_tokens[m_position]) : std::nullopt;
        m_valid = m_valid && value;
        ++m_position;
        return value.value_or(0);
    }
    int readCount()
    {
        return static_cast<int>(readNumber());
    }
    Millis readDuration()
    {
        const double value = readNumber();
        if (acceptWord("s")) {
            return Millis{value * 1000};
        }
        expectWord("ms");
        return Millis{value};
    }
    Priority readPriority()
    {
        const auto name = readText();
        const auto it = std::find(priorityNames.begin(), priorityNames.end(), name);
        m_valid = m_valid && it != priorityNames.end();
        return m_valid ? static_cast<Priority>(it - priorityNames.begin()) : Priority::Urgent;
    }
    // Whether the statement is valid and was read completely.
    bool atEnd() const
    {
        return m_valid && m_position == m_tokens.size();
    }

private:
    const std::vector<std::string> &m_tokens;
    std::size_t m_position = 0;
    bool m_valid = true;
};

void readDeploy(StatementReader &reader, Scenario &scenario)
{
    reader.expectWord("entries");
    scenario.entries = reader.readCount();
    reader.expectWord("dispatchers");
    scenario.dispatchers = reader.readCount();
    reader.expectWord("workers");
    scenario.workers = reader.readCount();
    reader.expectWord("slots");
    scenario.slots = reader.readCount();
    reader.expectWord("domains");
    scenario.domains = reader.readCount();
}

void readNetwork(StatementReader &reader, Scenario &scenario)
{
    reader.expectWord("same-domain");
    scenario.sameDomainDelay = reader.readDuration();
    reader.expectWord("other-domain");
    scenario.otherDomainDelay = reader.readDuration();
    reader.expectWord("client");
    scenario.clientDelay = reader.readDuration();
}

void readMix(StatementReader &reader, Scenario &scenario)
{
    constexpr double percent = 100;
    for (std::size_t i = 0; i < priorityCount; ++i) {
        reader.expectWord(priorityNames[i]);
        scenario.mix[i] = reader.readNumber() / percent;
    }
}

// Reads the number of affected workers or entry hosts and the optional index of the first one.
void readTargets(StatementReader &reader, std::string_view targetWord, Fault &fault)
{
    reader.expectWord(targetWord);
    fault.targetCount = reader.readCount();
    if (reader.acceptWord("from")) {
        fault.firstTarget = reader.readCount();
    }
}

void readFlood(StatementReader &reader, Fault &fault)
{
    fault.kind = FaultKind::Flood;
    fault.priority = reader.readPriority();
    reader.expectWord("load");
    fault.magnitude = reader.readNumber();
    if (reader.acceptWord("partner")) {
        fault.partner = reader.readCount();
    }
}

void readFault(StatementReader &reader, Scenario &scenario)
{
    Fault fault{.at = reader.readDuration()};
    if (reader.acceptWord("slow")) {
        fault.kind = FaultKind::Slow;
        readTargets(reader, "workers", fault);
        reader.expectWord("by");
        fault.magnitude = reader.readNumber();
    } else if (reader.acceptWord("fail")) {
        fault.kind = FaultKind::Fail;
        readTargets(reader, "workers", fault);
    } else if (reader.acceptWord("mislead")) {
        fault.kind = FaultKind::Mislead;
        readTargets(reader, "workers", fault);
    } else if (reader.acceptWord("drain")) {
        fault.kind = FaultKind::Drain;
        readTargets(reader, "workers", fault);
    } else if (reader.acceptWord("restart")) {
        fault.kind = FaultKind::Restart;
        readTargets(reader, "workers", fault);
    } else if (reader.acceptWord("heal")) {
        fault.kind = FaultKind::Heal;
        readTargets(reader, "workers", fault);
    } else if (reader.acceptWord("kill")) {
        fault.kind = FaultKind::Kill;
        readTargets(reader, "entries", fault);
    } else if (reader.acceptWord("silence")) {
        fault.kind = FaultKind::Silence;
        readTargets(reader, "workers", fault);
    } else if (reader.acceptWord("lose")) {
        fault.kind = FaultKind::LoseAnswers;
        fault.magnitude = reader.readNumber();
    } else if (reader.acceptWord("cross")) {
        fault.kind = FaultKind::CrossAnswers;
        fault.magnitude = reader.readNumber();
    } else {
        reader.expectWord("flood");
        readFlood(reader, fault);
    }
    scenario.faults.push_back(fault);
}

void readExpectation(StatementReader &reader, int line, Scenario &scenario)
{
    Expectation expectation{.measure = reader.readText(), .line = line};
    expectation.atMost = reader.acceptWord("<=");
    if (!expectation.atMost) {
        reader.expectWord(">=");
    }
    expectation.bound = reader.readNumber();
    if (reader.acceptWord("x")) {
        if (reader.acceptWord("central")) {
            expectation.reference = Reference::Central;
        } else if (reader.acceptWord("before")) {
            expectation.reference = Reference::Before;
        } else {
            reader.expectWord("best-baseline");
            expectation.reference = Reference::BestBaseline;
        }
    }
    scenario.expectations.push_back(expectation);
}

bool readStatement(const Statement &statement, Scenario &scenario)
{
    StatementReader reader(statement);
    if (reader.acceptWord("deploy")) {
        readDeploy(reader, scenario);
    } else if (reader.acceptWord("network")) {
        readNetwork(reader, scenario);
    } else if (reader.acceptWord("mix")) {
        readMix(reader, scenario);
    } else if (reader.acceptWord("load")) {
        scenario.load = reader.readNumber();
    } else if (reader.acceptWord("run")) {
        scenario.duration = reader.readDuration();
        reader.expectWord("warm-up");
        scenario.warmUp = reader.readDuration();
    } else if (reader.acceptWord("at")) {
        readFault(reader, scenario);
    } else {
        reader.expectWord("expect");
        readExpectation(reader, statement.line, scenario);
    }
    return reader.atEnd();
}

}

Millis Scenario::firstFaultTime() const
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
    for (const auto &it : statements.completed) {
        if (!readStatement(it, scenario)) {
            return ScenarioError{.name = std::string(name), .line = it.line, .statement = Text::join(it.tokens, " ")};
        }
    }
    std::stable_sort(scenario.faults.begin(), scenario.faults.end(), [](const Fault &a, const Fault &b) { return a.at < b.at; });
    return scenario;
}

}
