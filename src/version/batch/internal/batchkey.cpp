#include "version/batch/batchkey.h"

#include "base/text.h"

namespace nutmegplank::version::batch {

namespace {

//! No id contains it, and it sorts before everything that an id may contain.
constexpr auto SEPARATOR = std::string_view(" ");

} // namespace

auto makeBatchKey(std::string_view workspace, std::string_view id) -> std::string
{
    if (workspace.empty())
        return std::string(id);
    return base::concat(id, SEPARATOR, workspace);
}

auto idOf(std::string_view batchKey) -> std::string
{
    return std::string(batchKey.substr(0, batchKey.find(SEPARATOR)));
}

auto workspaceOf(std::string_view batchKey) -> std::string
{
    const auto separator = batchKey.find(SEPARATOR);
    if (separator == std::string_view::npos)
        return {};
    return std::string(batchKey.substr(separator + SEPARATOR.size()));
}

} // namespace nutmegplank::version::batch
