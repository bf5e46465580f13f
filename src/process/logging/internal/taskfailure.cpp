#include "process/logging/taskfailure.h"

#include "process/logging/logging.h"

namespace nutmegplank::process::logging {

auto describeException(const std::exception_ptr &failure) -> std::string
{
    try {
        std::rethrow_exception(failure);
    } catch (const std::exception &error) {
        return error.what();
    } catch (...) {
        return "unknown exception";
    }
}

auto LogTaskFailure::operator()(std::exception_ptr failure) const -> void
{
    if (failure != nullptr)
        error("task.failed", { { "task", m_task }, { "problem", describeException(failure) } });
}

} // namespace nutmegplank::process::logging
