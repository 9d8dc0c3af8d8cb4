#include "process/log.h"

#include "core/text.h"

#include <absl/strings/escaping.h>
#include <boost/log/attributes/constant.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/trivial.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <iostream>

namespace Laburnummast::Process
{
namespace
{

namespace Expressions = boost::log::expressions;
using Severity = boost::log::trivial::severity_level;

bool needsQuotes(std::string_view value)
{
    return value.empty() || value.find_first_of(" \"=\n\r\t") != std::string_view::npos;
}

std::string lineOf(std::string_view event, std::initializer_list<LogField> fields)
{
    std::string line = Text::concat("event=", event);
    for (const auto &it : fields) {
        const auto value = needsQuotes(it.value) ? Text::concat("\"", absl::CEscape(it.value), "\"") : it.value;
        Text::append(line, " ", it.key, "=", value);
    }
    return line;
}

}

void startLog(std::string_view processName)
{
    boost::log::add_common_attributes();
    const auto core = boost::log::core::get();
    core->add_global_attribute("Process", boost::log::attributes::constant<std::string>(std::string(processName)));
    const auto time = Expressions::format_date_time<boost::posix_time::ptime>("TimeStamp", "%Y-%m-%dT%H:%M:%S.%f");
    boost::log::add_console_log(std::clog,
                                boost::log::keywords::auto_flush = true,
                                boost::log::keywords::format
                                = (Expressions::stream << "time=" << time << " level=" << boost::log::trivial::severity << " process="
                                                       << Expressions::attr<std::string>("Process") << " " << Expressions::smessage));
}

void logInfo(std::string_view event, std::initializer_list<LogField> fields)
{
    BOOST_LOG_TRIVIAL(info) << lineOf(event, fields);
}

void logWarning(std::string_view event, std::initializer_list<LogField> fields)
{
    BOOST_LOG_TRIVIAL(warning) << lineOf(event, fields);
}

void logError(std::string_view event, std::initializer_list<LogField> fields)
{
    BOOST_LOG_TRIVIAL(error) << lineOf(event, fields);
}

}
