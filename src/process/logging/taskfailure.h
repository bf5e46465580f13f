#pragma once

#include <exception>
#include <string>
#include <string_view>

namespace nutmegplank::process::logging {

//! Completion handler for a coroutine that nobody waits for. An exception that leaves the coroutine
//! is logged with the name of the task, which must be a literal, and ends that task alone.
class LogTaskFailure
{
public:
    explicit constexpr LogTaskFailure(std::string_view task)
        : m_task(task)
    { }

    auto operator()(std::exception_ptr failure) const -> void;

private:
    std::string_view m_task;
};

//! Text of an exception, for logs.
auto describeException(const std::exception_ptr &failure) -> std::string;

} // namespace nutmegplank::process::logging
