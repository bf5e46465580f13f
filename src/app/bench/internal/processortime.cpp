#include "processortime.h"

#include <fstream>
#include <sstream>

#include <unistd.h>

#include "base/text.h"

namespace nutmegplank::app::bench {

namespace {

//! Fields between the program's name and the user time.
constexpr auto FIELDS_BEFORE = 11;

} // namespace

auto processorSeconds(std::int32_t pid) -> double
{
    auto file = std::ifstream(base::concat("/proc/", pid, "/stat"));
    auto line = std::string();
    std::getline(file, line);
    const auto nameEnd = line.rfind(')'); // The name may hold blanks.
    if (nameEnd == std::string::npos)
        return 0;
    auto fields = std::istringstream(line.substr(nameEnd + 1));
    auto skipped = std::string();
    for (auto index = 0; index < FIELDS_BEFORE; ++index)
        fields >> skipped;
    auto user = 0.0;
    auto system = 0.0;
    fields >> user >> system;
    return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

auto processorSeconds(const std::vector<WatchedProcess> &processes) -> double
{
    auto seconds = 0.0;
    for (const auto &process : processes)
        seconds += processorSeconds(process.pid);
    return seconds;
}

} // namespace nutmegplank::app::bench
