#include "process/logging/internal/jsonlayout.h"

#include <boost/json.hpp>
#include <log4cplus/helpers/timehelper.h>
#include <log4cplus/loglevel.h>
#include <log4cplus/spi/loggingevent.h>

namespace nutmegplank::process::logging {

JsonLayout::JsonLayout(std::string program, std::string node)
    : m_prefix("\"program\":" + boost::json::serialize(boost::json::string(program))
               + ",\"node\":" + boost::json::serialize(boost::json::string(node)) + ",")
{ }

auto JsonLayout::formatAndAppend(log4cplus::tostream &output,
                                 const log4cplus::spi::InternalLoggingEvent &event) -> void
{
    const auto time =
        log4cplus::helpers::getFormattedTime("%Y-%m-%dT%H:%M:%S.%qZ", event.getTimestamp(), true);
    output << "{\"time\":\"" << time << "\",\"level\":\""
           << log4cplus::getLogLevelManager().toString(event.getLogLevel()) << "\"," << m_prefix
           << event.getMessage() << "}\n";
}

} // namespace nutmegplank::process::logging
