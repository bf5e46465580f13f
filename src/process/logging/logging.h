#pragma once

#include <concepts>
#include <initializer_list>
#include <string>
#include <string_view>

#include <boost/json/value.hpp>

//! Logs as JSON lines, through log4cplus.
namespace nutmegplank::process::logging {

//! Severity of a line.
enum class Level {
    Debug,
    Info,
    Warning,
    Error,
};

//! One named value of a log line. Key material must never be passed.
struct Field
{
    template <typename Text>
    requires std::convertible_to<const Text &, std::string_view> Field(std::string_view fieldName,
                                                                       const Text &text)
        : name(fieldName)
        , value(boost::json::string(std::string_view(text)))
    { }
    Field(std::string_view fieldName, boost::json::value fieldValue)
        : name(fieldName)
        , value(std::move(fieldValue))
    { }

    std::string_view name;
    boost::json::value value;
};

//! Starts logging for this process; \a program and \a node stand in every line.
//! \a level is one of debug, info, warning, error.
auto start(std::string_view program, std::string_view node, std::string_view level) -> void;

//! The same, but to standard output, without ever waiting for its reader and with at most
//! LINES_PER_SECOND lines of each level; what is left out is counted. Call flush() now and then.
auto startBounded(std::string_view program, std::string_view node, std::string_view level) -> void;

//! Lines of one level in a second; a line is about 300 bytes.
constexpr auto LINES_PER_SECOND = 400;

//! Hands gathered lines to the reader of standard output, as far as it takes them.
auto flush() -> void;

//! Flushes and ends logging.
auto stop() -> void;

//! Writes one line: the event's name, for instance "lease.taken", and its fields.
auto write(Level level, std::string_view event, std::initializer_list<Field> fields = {}) -> void;

inline auto debug(std::string_view event, std::initializer_list<Field> fields = {}) -> void
{
    write(Level::Debug, event, fields);
}
inline auto info(std::string_view event, std::initializer_list<Field> fields = {}) -> void
{
    write(Level::Info, event, fields);
}
inline auto warning(std::string_view event, std::initializer_list<Field> fields = {}) -> void
{
    write(Level::Warning, event, fields);
}
inline auto error(std::string_view event, std::initializer_list<Field> fields = {}) -> void
{
    write(Level::Error, event, fields);
}

} // namespace nutmegplank::process::logging
