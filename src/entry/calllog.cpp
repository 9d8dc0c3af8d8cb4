#include "entry/calllog.h"

#include "core/text.h"

namespace Laburnummast::Entry
{

void CallLog::write(std::string_view event, Millis now, std::initializer_list<Process::LogField> fields)
{
    if (!m_tokens.take(1, now)) {
        ++m_suppressed;
        return;
    }
    if (m_suppressed > m_reportedSuppressed) {
        Process::logWarning("lines-left-out", {{"count", Text::concat(m_suppressed - m_reportedSuppressed)}});
        m_reportedSuppressed = m_suppressed;
    }
    Process::logInfo(event, fields);
}

}
