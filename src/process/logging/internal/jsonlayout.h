#pragma once

#include <string>

#include <log4cplus/layout.h>

namespace nutmegplank::process::logging {

//! A log4cplus layout that writes one JSON object a line. The event's message is the inside of a
//! JSON object that write() has already rendered.
class JsonLayout : public log4cplus::Layout
{
public:
    JsonLayout(std::string program, std::string node);
    auto formatAndAppend(log4cplus::tostream &output,
                         const log4cplus::spi::InternalLoggingEvent &event) -> void override;

private:
    std::string m_prefix;
};

} // namespace nutmegplank::process::logging
