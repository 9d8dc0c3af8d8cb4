#include "process/log.h"

#include "core/text.h"

#include <absl/strings/escaping.h>
#include <boost/core/null_deleter.hpp>
#include <boost/log/attributes/constant.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sinks/drop_on_overflow.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/support/date_time.hpp>
#include <boost/log/trivial.hpp>
#include <boost/log/utility/setup/common_attributes.hpp>
#include <boost/make_shared.hpp>
#include <iostream>

namespace Laburnummast::Process
{
namespace
{

namespace Expressions = boost::log::expressions;
using Severity = boost::log::trivial::severity_level;

// Lines that are queued while standard output blocks; further lines are dropped so that callers never block.
constexpr std::size_t maxQueuedLines = 4096;
using Backend = boost::log::sinks::text_ostream_backend;
using Queue = boost::log::sinks::bounded_fifo_queue<maxQueuedLines, boost::log::sinks::drop_on_overflow>;
using Sink = boost::log::sinks::asynchronous_sink<Backend, Queue>;

boost::shared_ptr<Sink> &sink()
{
    static boost::shared_ptr<Sink> instance;
    return instance;
}

bool needsQuotes(std::string_view value)
{
    return value.empty() || value.find_first_of(" \"=\n\r\t") != std::string_view::npos;
}

std::string formatLine(std::string_view event, std::initializer_list<LogField> fields)
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
    const auto backend = boost::make_shared<Backend>();
    backend->add_stream(boost::shared_ptr<std::ostream>(&std::cout, boost::null_deleter()));
    backend->auto_flush(true);
    sink() = boost::make_shared<Sink>(backend);
    sink()->set_formatter(Expressions::stream << "time=" << time << " level=" << boost::log::trivial::severity
                                              << " process=" << Expressions::attr<std::string>("Process") << " " << Expressions::smessage);
    core->add_sink(sink());
}

void stopLog()
{
    if (!sink()) {
        return;
    }
    boost::log::core::get()->remove_sink(sink());
    sink()->stop();
    sink()->flush();
    sink().reset();
}

void logInfo(std::string_view event, std::initializer_list<LogField> fields)
{
    BOOST_LOG_TRIVIAL(info) << formatLine(event, fields);
}

void logWarning(std::string_view event, std::initializer_list<LogField> fields)
{
    BOOST_LOG_TRIVIAL(warning) << formatLine(event, fields);
}

void logError(std::string_view event, std::initializer_list<LogField> fields)
{
    BOOST_LOG_TRIVIAL(error) << formatLine(event, fields);
}

}
