#include "process/logging/logging.h"

#include <boost/json.hpp>
#include <log4cplus/consoleappender.h>
#include <log4cplus/logger.h>
#include <log4cplus/loggingmacros.h>

#include "base/enumtable.h"
#include "process/logging/internal/boundedappender.h"
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
std::atomic<bool> s_bounded { false };

//! Lines of one level in the current second.
struct LineBudget
{
    std::atomic<std::int64_t> second { 0 };
    std::atomic<int> lines { 0 };
    std::atomic<int> dropped { 0 };
};

std::array<LineBudget, 4> s_budgets;

//! Whether one more line of \a level may be written in this second. \a dropped: lines left out
//! before it.
auto takeBudget(Level level, int &dropped) -> bool
{
    auto &budget = s_budgets[static_cast<std::size_t>(level)];
    const auto second = std::chrono::duration_cast<std::chrono::seconds>(
                            std::chrono::steady_clock::now().time_since_epoch())
                            .count();
    if (budget.second.exchange(second) != second)
        budget.lines = 0;
    if (++budget.lines > LINES_PER_SECOND) {
        ++budget.dropped;
        return false;
    }
    dropped = budget.dropped.exchange(0);
    return true;
}

auto logger() -> log4cplus::Logger &
{
    static auto instance = log4cplus::Logger::getInstance("nutmegplank");
    return instance;
}

auto install(log4cplus::SharedAppenderPtr appender, std::string_view program, std::string_view node,
             std::string_view level) -> void
{
    appender->setLayout(std::make_unique<JsonLayout>(std::string(program), std::string(node)));
    logger().setAdditivity(false);
    logger().removeAllAppenders();
    logger().addAppender(appender);
    const auto threshold = nativeLevel(base::valueOf(LEVEL_NAMES, level).value_or(Level::Info));
    logger().setLogLevel(threshold);
    s_threshold = threshold;
}

BoundedAppender *s_appender = nullptr; //!< Owned by the logger.

} // namespace

auto start(std::string_view program, std::string_view node, std::string_view level) -> void
{
    log4cplus::initialize();
    install(log4cplus::SharedAppenderPtr(new log4cplus::ConsoleAppender(true, true)), program, node,
            level);
}

auto startBounded(std::string_view program, std::string_view node, std::string_view level) -> void
{
    log4cplus::initialize();
    s_appender = new BoundedAppender();
    s_bounded = true;
    install(log4cplus::SharedAppenderPtr(s_appender), program, node, level);
}

auto flush() -> void
{
    if (s_appender != nullptr)
        s_appender->flush();
}

auto stop() -> void
{
    s_threshold = log4cplus::OFF_LOG_LEVEL;
    flush();
    s_appender = nullptr;
    logger().removeAllAppenders();
}

auto write(Level level, std::string_view event, std::initializer_list<Field> fields) -> void
{
    if (nativeLevel(level) < s_threshold.load(std::memory_order_relaxed))
        return;
    auto dropped = 0;
    if (s_bounded && !takeBudget(level, dropped))
        return;
    auto object = boost::json::object();
    if (dropped > 0)
        object["lines_left_out"] = dropped;
    object["event"] = event;
    for (const auto &field : fields)
        object[field.name] = field.value;
    const auto text = boost::json::serialize(object);
    logger().log(nativeLevel(level), text.substr(1, text.size() - 2));
}

} // namespace nutmegplank::process::logging
