#include <ctime>
#include <iostream>

#include <boost/json.hpp>

#include "app/ctl/commands.h"
#include "app/ctl/table.h"
#include "base/text.h"

namespace nutmegplank::app::ctl {

namespace {

namespace json = boost::json;

constexpr auto MILLISECONDS = 1000;
constexpr auto MOST_NAMES = std::size_t(3);

auto cell(const json::object &object, std::string_view field) -> std::string
{
    const auto *found = object.if_contains(field);
    if (found == nullptr || found->is_null())
        return {};
    return found->is_string() ? std::string(found->as_string()) : json::serialize(*found);
}

//! One row for each object of an array, with the named fields.
auto tableOf(const json::object &object, std::string_view field,
             const std::vector<std::string> &fields) -> Table
{
    auto table = Table(fields);
    const auto *found = object.if_contains(field);
    if (found == nullptr || !found->is_array())
        return table;
    for (const auto &element : found->as_array()) {
        auto cells = std::vector<std::string>();
        for (const auto &name : fields)
            cells.push_back(cell(element.as_object(), name));
        table.add(std::move(cells));
    }
    return table;
}

auto printTable(std::string_view title, const Table &table) -> void
{
    if (table.empty())
        return;
    std::cout << "\n" << title << "\n" << table.render();
}

auto wallText(const json::object &entry) -> std::string
{
    const auto seconds =
        static_cast<std::time_t>(entry.at("wall_ms").to_number<std::int64_t>() / MILLISECONDS);
    auto parts = std::tm();
    gmtime_r(&seconds, &parts);
    auto text = std::array<char, 32>();
    const auto length = std::strftime(text.data(), text.size(), "%Y-%m-%d %H:%M:%S", &parts);
    return { text.data(), length };
}

//! The names of the first objects that a change touched, and how many more there are.
auto touched(const json::object &entry) -> std::string
{
    auto names = std::string();
    const auto *after = entry.if_contains("after");
    if (after == nullptr || !after->is_object())
        return names;
    const auto &objects = after->as_object();
    auto count = std::size_t(0);
    for (const auto &field : objects) {
        if (count++ == MOST_NAMES)
            break;
        names += base::concat(names.empty() ? "" : ", ", std::string_view(field.key()));
    }
    if (objects.size() > MOST_NAMES)
        names += base::concat(" and ", objects.size() - MOST_NAMES, " more");
    return names;
}

auto printStatus(const json::object &state, const json::object &members) -> void
{
    const auto &configuration = state.at("configuration").as_object();
    std::cout << "version          " << cell(state, "version") << "\n"
              << "preset in force  " << cell(configuration, "preset_in_force") << "\n"
              << "log offset       " << cell(state, "next_offset") << ", confirmed "
              << cell(state, "log_confirmed_ms_ago") << " ms ago\n";
    printTable("zones", tableOf(configuration, "zones", { "name", "region", "out" }));
    printTable("members",
               tableOf(members, "members",
                       { "id", "role", "zone", "state", "configuration_version", "log_offset",
                         "heard_ms_ago" }));
    printTable("leases", tableOf(state, "leases", { "scope", "holder", "fencing_number" }));
    printTable("weights", tableOf(state, "weights", { "model", "version", "source" }));
    printTable(
        "plan",
        tableOf(state.at("plan").as_object(), "targets", { "service", "zone", "dear", "cheap" }));
    printTable("orders",
               tableOf(state, "orders",
                       { "order_id", "order_kind", "service", "zone", "server", "settled" }));
    printTable("usage windows",
               tableOf(state, "windows", { "number", "start_ms", "end_ms", "reported" }));
}

} // namespace

auto runStatus(Context &context) -> ExitCode
{
    auto state = json::object();
    auto members = json::object();
    auto code = fetchObject(context, "state", state);
    if (code == ExitCode::Done)
        code = fetchObject(context, "members", members);
    if (code != ExitCode::Done)
        return code;
    if (context.options.json) {
        state["members"] = members.at("members");
        printJson(state);
    } else {
        printStatus(state, members);
    }
    return ExitCode::Done;
}

auto runAudit(Context &context) -> ExitCode
{
    auto audit = json::object();
    const auto code =
        fetchObject(context, base::concat("audit?from=", context.options.from), audit);
    if (code != ExitCode::Done)
        return code;
    if (context.options.json) {
        printJson(audit);
        return ExitCode::Done;
    }
    auto table = Table({ "VERSION", "WHEN (UTC)", "WHO", "WHAT", "RESULT", "OBJECTS", "WHY" });
    for (const auto &element : audit.at("entries").as_array()) {
        const auto &entry = element.as_object();
        const auto conflict = entry.at("conflict").as_bool();
        table.add({ cell(entry, "offset"), wallText(entry), cell(entry, "who"), cell(entry, "what"),
                    conflict ? "lost a race" : "accepted", touched(entry), cell(entry, "why") });
    }
    std::cout << table.render();
    return ExitCode::Done;
}

auto runExport(Context &context) -> ExitCode
{
    auto state = json::object();
    const auto code = fetchObject(context, "state", state);
    if (code == ExitCode::Done)
        printJson(state.at("configuration").as_object());
    return code;
}

} // namespace nutmegplank::app::ctl
