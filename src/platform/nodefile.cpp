#include "platform/nodefile.h"

#include <cmath>
#include <cstdlib>

#include "base/jsonreader.h"
#include "process/settings/settings.h"

namespace nutmegplank::platform {

namespace {

using process::settings::MachineSettings;

constexpr auto PATH_VARIABLE = "NUTMEGPLANK_NODE_FILE";
constexpr auto DEFAULT_PATH = "/etc/nutmegplank/node.json";
constexpr auto MAX_SECONDS = 86400.0;
constexpr auto MAX_BYTES = std::int64_t(1) << 30;

auto readEndpoint(base::ObjectReader &reader, std::string_view field) -> std::string
{
    auto endpoint = reader.string(field);
    if (reader.problem().ok() && !process::settings::isEndpoint(endpoint))
        reader.fail(field, "must be \"IP number:port\"");
    return endpoint;
}

constexpr auto BYTES_PER_MEGABYTE = std::uint64_t(1'000'000);
constexpr auto MAX_MEGABYTES = 16'000'000;
constexpr auto MAX_DESCRIPTORS = 16'000'000;

auto readSeconds(base::ObjectReader &reader, std::string_view field, base::Duration fallback)
    -> base::Duration
{
    const auto seconds = reader.number(field, 0.0, MAX_SECONDS, base::toSeconds(fallback));
    return base::Duration(std::llround(seconds * 1e6));
}

//! Keeps the first error of all readers. Unknown fields are accepted, since the platform may add
//! some.
auto keepFirstError(absl::Status &problem, const base::ObjectReader &reader) -> void
{
    if (problem.ok())
        problem = reader.problem();
}

} // namespace

auto nodeFilePath() -> std::string
{
    const auto *path = std::getenv(PATH_VARIABLE);
    return path == nullptr ? DEFAULT_PATH : path;
}

auto readNodeFile(const std::string &path) -> absl::StatusOr<MachineSettings>
{
    const auto file = process::settings::readFile(path);
    if (!file.ok())
        return file.status();
    auto reader = base::ObjectReader(*file, path);
    auto settings = MachineSettings();
    auto problem = absl::Status();
    settings.node = reader.string("node_name");
    settings.ip = reader.string("ip");
    settings.zone = reader.string("zone");
    settings.region = reader.string("region");
    auto listen = reader.object("listen");
    // "front" is the endpoint to which callers connect.
    settings.callerEndpoint = readEndpoint(listen, "front");
    settings.readinessEndpoint = readEndpoint(listen, "readiness");
    settings.directoryEndpoint = readEndpoint(listen, "directory");
    keepFirstError(problem, listen);
    auto store = reader.object("platform");
    settings.storeEndpoint = readEndpoint(store, "address");
    settings.appendLimits.recordBytes =
        static_cast<std::size_t>(store.integer("record_bytes", { 1024, MAX_BYTES }, 262144));
    settings.appendLimits.callBytes =
        static_cast<std::size_t>(store.integer("call_bytes", { 1024, MAX_BYTES }, 2097152));
    settings.appendLimits.partitions =
        static_cast<std::uint32_t>(store.integer("parts", { 1, 10000 }, 12));
    keepFirstError(problem, store);
    if (reader.has("cloud")) {
        auto cloud = reader.object("cloud");
        settings.cloudEndpoint = readEndpoint(cloud, "address");
        keepFirstError(problem, cloud);
    }
    auto limits = reader.object("limits");
    settings.cpuShare = limits.number("cpu_share", 0.0, 1024.0, settings.cpuShare);
    settings.memoryBytes =
        static_cast<std::uint64_t>(limits.integer("memory_mb", { 0, MAX_MEGABYTES }, 0))
        * BYTES_PER_MEGABYTE;
    settings.descriptors =
        static_cast<std::uint32_t>(limits.integer("max_fds", { 0, MAX_DESCRIPTORS }, 0));
    keepFirstError(problem, limits);
    auto bounds = reader.object("bounds");
    settings.usageWindow = readSeconds(bounds, "usage_window_s", settings.usageWindow);
    settings.grace = readSeconds(bounds, "grace_s", settings.grace);
    // "status_s" is how long results are kept.
    settings.resultMemory = readSeconds(bounds, "status_s", settings.resultMemory);
    settings.directoryTtl = readSeconds(bounds, "ttl_max_s", settings.directoryTtl);
    settings.peersCheckFences = bounds.boolean("enforce_fencing", settings.peersCheckFences);
    settings.holderTurn =
        std::chrono::milliseconds(bounds.integer("lease_ms", { 0, 600000 }, 3000));
    settings.settle = std::chrono::milliseconds(bounds.integer("settle_ms", { 0, 600000 }, 1000));
    keepFirstError(problem, bounds);
    keepFirstError(problem, reader);
    if (!problem.ok())
        return problem;
    return settings;
}

} // namespace nutmegplank::platform
