#include "entry/decisionlog.h"

#include "core/text.h"

namespace Laburnummast::Entry
{

void DecisionLog::line(std::string_view event, Millis now, std::initializer_list<Process::LogField> fields)
{
    if (!m_tokens.take(1, now)) {
        ++m_leftOut;
        return;
    }
    if (m_leftOut > m_told) {
        Process::logWarning("lines-left-out", {{"count", Text::concat(m_leftOut - m_told)}});
        m_told = m_leftOut;
    }
    Process::logInfo(event, fields);
}

}
