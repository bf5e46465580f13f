#include "process/logging/logging.h"

#include <boost/json.hpp>
#include <log4cplus/consoleappender.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include "base/enumtable.h"
#include "process/logging/internal/jsonlayout.h"

namespace nutmegplank::process::logging {

namespace {

constexpr auto LEVEL_NAMES = base::EnumTable<Level, 4> { {
    { Level::Debug, "debug" },
    { Level::Info, "info" },
    { Level::Warning, "warning" },
    { Level::Error, "error" },
} };

auto nativeLevel(Level level) -> log4cplus::LogLevel
{
    switch (level) {
    case Level::Debug:
        return log4cplus::DEBUG_LOG_LEVEL;
    case Level::Info:
        return log4cplus::INFO_LOG_LEVEL;
    case Level::Warning:
        return log4cplus::WARN_LOG_LEVEL;
    case Level::Error:
        return log4cplus::ERROR_LOG_LEVEL;
    }
    return log4cplus::INFO_LOG_LEVEL;
}

std::atomic<int> s_threshold { log4cplus::OFF_LOG_LEVEL };

auto logger() -> log4cplus::Logger &
{
    static auto instance = log4cplus::Logger::getInstance("nutmegplank");
    return instance;
}

} // namespace

auto start(std::string_view program, std::string_view node, std::string_view level) -> void
{
    log4cplus::initialize();
    auto appender = log4cplus::SharedAppenderPtr(new log4cplus::ConsoleAppender(true, true));
    appender->setLayout(std::make_unique<JsonLayout>(std::string(program), std::string(node)));
    logger().setAdditivity(false);
    logger().removeAllAppenders();
    logger().addAppender(appender);
    const auto threshold = nativeLevel(base::valueOf(LEVEL_NAMES, level).value_or(Level::Info));
    logger().setLogLevel(threshold);
    s_threshold = threshold;
}

auto stop() -> void
{
    s_threshold = log4cplus::OFF_LOG_LEVEL;
    logger().removeAllAppenders();
}

auto write(Level level, std::string_view event, std::initializer_list<Field> fields) -> void
{
    if (nativeLevel(level) < s_threshold.load(std::memory_order_relaxed))
        return;
    auto object = boost::json::object();
    object["event"] = event;
    for (const auto &field : fields)
        object[field.name] = field.value;
    const auto text = boost::json::serialize(object);
    logger().log(nativeLevel(level), text.substr(1, text.size() - 2));
}

} // namespace nutmegplank::process::logging
