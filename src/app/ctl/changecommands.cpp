#include <iostream>
#include <thread>

#include <boost/json.hpp>

#include "app/ctl/commands.h"
#include "app/ctl/table.h"
#include "base/hash.h"
#include "base/status.h"
#include "base/text.h"
#include "process/clock/clock.h"
#include "version/configuration/change.h"
#include "version/configuration/declarations.h"
#include "version/configuration/plan.h"

namespace nutmegplank::app::ctl {

namespace {

namespace json = boost::json;
namespace configuration = version::configuration;
using configuration::Change;
using configuration::Configuration;
using configuration::ObjectKind;

constexpr auto HTTP_OK = 200U;
constexpr auto HTTP_BAD_REQUEST = 400U;
constexpr auto HTTP_UNAUTHORIZED = 401U;
constexpr auto HTTP_CONFLICT = 409U;
constexpr auto POLL_TIME = std::chrono::milliseconds(200);
constexpr auto KEY_PREFIX = "npk_";

//! Progress goes to standard error, so that standard output holds results only.
auto progress(const std::string &text) -> void
{
    std::cerr << text << "\n";
}

auto joinNames(const json::object &object, std::string_view field) -> std::string
{
    auto names = std::string();
    const auto *found = object.if_contains(field);
    if (found == nullptr || !found->is_array())
        return names;
    for (const auto &name : found->as_array())
        names += (names.empty() ? "" : ", ") + std::string(name.as_string());
    return names;
}

auto accept(const Options &options, std::uint64_t version, const json::object &verdict,
            json::object result) -> ExitCode
{
    const auto fenced = joinNames(verdict, "fenced");
    if (options.json) {
        result["version"] = version;
        result["accepted"] = true;
        result["fenced"] = verdict.at("fenced");
        printJson(result);
        return ExitCode::Done;
    }
    std::cout << "accepted: version " << version << " is in force\n";
    if (!fenced.empty())
        std::cout << "not heard, and so without keyed work: " << fenced << "\n";
    return ExitCode::Done;
}

//! Waits until a version is in force everywhere.
auto awaitInForce(Context &context, std::uint64_t version, const json::object &result) -> ExitCode
{
    const auto deadline = process::clock::now() + context.options.timeout;
    auto last = std::string("none asked");
    while (process::clock::now() < deadline) {
        auto answer = context.client.get(base::concat("in-force?version=", version));
        const auto usable = answer.ok() && answer->status == HTTP_OK;
        if (usable && answer->body.at("in_force").as_bool())
            return accept(context.options, version, answer->body, result);
        auto behind = usable ? joinNames(answer->body, "behind") : std::string("controllers");
        if (behind != last)
            progress(base::concat("version ", version, ": waiting for ", behind));
        last = std::move(behind);
        std::this_thread::sleep_for(POLL_TIME);
    }
    return fail(
        context.options, ExitCode::NotInForce,
        base::concat("version ", version, " stands in the log, but is not yet in force on ", last));
}

auto describeConflict(const AdminAnswer &answer) -> std::string
{
    auto text = base::concat("conflict, nothing was changed: ", answer.problem());
    const auto *error = answer.body.if_contains("error");
    const auto *winner =
        error != nullptr && error->is_object() ? error->as_object().if_contains("winner") : nullptr;
    if (winner != nullptr && winner->is_object())
        text += base::concat("; in force is ", json::serialize(*winner));
    return text;
}

//! Appends changes and waits until they are in force.
auto submit(Context &context, const std::string &what, std::span<const Change> changes,
            std::uint64_t version, const json::object &result) -> ExitCode
{
    const auto body =
        json::object { { "id", base::randomId() },
                       { "base_version", context.options.baseVersion.value_or(version) },
                       { "why", context.options.why },
                       { "what", what },
                       { "changes", configuration::toJson(changes) } };
    const auto answer = context.client.post("changes", body);
    if (!answer.ok())
        return fail(context.options, ExitCode::Failed,
                    base::concat("whether the change stands is not known: ",
                                 base::describe(answer.status())));
    if (answer->status == HTTP_CONFLICT)
        return fail(context.options, ExitCode::Conflict, describeConflict(*answer));
    if (answer->status == HTTP_BAD_REQUEST || answer->status == HTTP_UNAUTHORIZED)
        return fail(context.options, ExitCode::BadInput, answer->problem());
    if (answer->status != HTTP_OK)
        return fail(context.options, ExitCode::Failed, answer->problem());
    const auto made = answer->body.at("version").to_number<std::uint64_t>();
    progress(base::concat("version ", made, " stands in the log"));
    return awaitInForce(context, made, result);
}

auto changeLabel(const Change &change) -> std::string
{
    const auto kind = std::string(base::nameOf(configuration::OBJECT_KIND_NAMES, change.object));
    if (change.object == ObjectKind::PresetInForce)
        return base::concat(kind, " ", json::serialize(change.value));
    return base::concat(kind, " ", change.name);
}

auto planText(const std::vector<configuration::PlannedChange> &planned) -> std::string
{
    auto table = Table({ "ACTION", "OBJECT", "EFFECT" });
    for (const auto &entry : planned)
        table.add({ std::string(base::nameOf(configuration::PLANNED_ACTION_NAMES, entry.action)),
                    changeLabel(entry.change), entry.effect });
    return table.render();
}

auto planJson(const std::vector<configuration::PlannedChange> &planned) -> json::array
{
    auto array = json::array();
    for (const auto &entry : planned) {
        auto object = configuration::toJson(entry.change);
        object["action"] = base::nameOf(configuration::PLANNED_ACTION_NAMES, entry.action);
        object["before"] = entry.before;
        object["effect"] = entry.effect;
        array.emplace_back(std::move(object));
    }
    return array;
}

//! Declarations and what is in force, compared.
struct Comparison
{
    std::uint64_t version = 0;
    std::vector<configuration::PlannedChange> planned;
};

auto compare(Context &context, Comparison &comparison) -> ExitCode
{
    const auto declared = configuration::loadDeclarations(context.options.folder);
    if (!declared.ok())
        return fail(context.options, ExitCode::BadInput, base::toStd(declared.status().message()));
    auto inForce = Configuration();
    const auto code = fetchConfiguration(context, inForce);
    if (code != ExitCode::Done)
        return code;
    comparison.version = inForce.version;
    comparison.planned = configuration::planChanges(inForce, *declared);
    return ExitCode::Done;
}

//! Changes one object of what is in force.
template <typename Alter>
auto changeOne(Context &context, const std::string &what, Alter alter, json::object result = {})
    -> ExitCode
{
    auto inForce = Configuration();
    const auto code = fetchConfiguration(context, inForce);
    if (code != ExitCode::Done)
        return code;
    const auto change = std::optional<Change>(alter(inForce));
    if (!change)
        return fail(context.options, ExitCode::BadInput,
                    base::concat("\"", context.options.name, "\" is not declared"));
    return submit(context, what, { &*change, 1 }, inForce.version, result);
}

} // namespace

auto runPlan(Context &context) -> ExitCode
{
    auto comparison = Comparison();
    const auto code = compare(context, comparison);
    if (code != ExitCode::Done)
        return code;
    if (context.options.json)
        printJson(json::object { { "base_version", comparison.version },
                                 { "changes", planJson(comparison.planned) } });
    else if (comparison.planned.empty())
        std::cout << "nothing to change; version " << comparison.version << " is in force\n";
    else
        std::cout << "from version " << comparison.version << ":\n" << planText(comparison.planned);
    return ExitCode::Done;
}

auto runApply(Context &context) -> ExitCode
{
    auto comparison = Comparison();
    const auto code = compare(context, comparison);
    if (code != ExitCode::Done)
        return code;
    const auto wanted = context.options.baseVersion.value_or(comparison.version);
    if (wanted != comparison.version)
        return fail(context.options, ExitCode::Conflict,
                    base::concat("version ", comparison.version, " is in force, not ", wanted));
    if (comparison.planned.empty()) {
        progress("nothing to change");
        return awaitInForce(context, comparison.version, {});
    }
    progress(planText(comparison.planned));
    auto changes = std::vector<Change>();
    for (const auto &entry : comparison.planned)
        changes.push_back(entry.change);
    return submit(context, "apply", changes, comparison.version, {});
}

auto runPresetUse(Context &context) -> ExitCode
{
    const auto &name = context.options.name;
    return changeOne(context, "preset.use", [&name](const Configuration &inForce) {
        return inForce.presets.contains(name)
            ? std::optional(Change { ObjectKind::PresetInForce, "", json::value(name) })
            : std::nullopt;
    });
}

auto runKeyGrant(Context &context) -> ExitCode
{
    const auto key = base::concat(KEY_PREFIX, base::randomId(), base::randomId());
    auto declared = configuration::Key();
    declared.id = context.options.keyId.empty()
        ? base::concat("key-", base::randomId().substr(0, 8))
        : context.options.keyId;
    declared.workspace = context.options.name;
    declared.sha256 = base::sha256Hex(key);
    auto exists = false;
    const auto code = changeOne(
        context, "key.grant",
        [&](const Configuration &inForce) -> std::optional<Change> {
            exists = inForce.keys.contains(declared.id);
            if (exists || !inForce.workspaces.contains(declared.workspace))
                return std::nullopt;
            return Change { ObjectKind::Key, declared.id, configuration::toJson(declared) };
        },
        json::object { { "id", declared.id }, { "key", key } });
    if (exists)
        printProblem(context.options, base::concat("key \"", declared.id, "\" is there already"));
    const auto granted = code == ExitCode::Done || code == ExitCode::NotInForce;
    if (granted && !context.options.json)
        std::cout << "key id: " << declared.id << "\nkey:    " << key << "\n";
    else if (granted && code == ExitCode::NotInForce)
        printJson(json::object { { "id", declared.id }, { "key", key } });
    return code;
}

auto runKeyWithdraw(Context &context) -> ExitCode
{
    const auto &name = context.options.name;
    return changeOne(context, "key.withdraw",
                     [&name](const Configuration &inForce) -> std::optional<Change> {
                         const auto found = inForce.keys.find(name);
                         if (found == inForce.keys.end())
                             return std::nullopt;
                         auto key = found->second;
                         key.withdrawn = true;
                         return Change { ObjectKind::Key, name, configuration::toJson(key) };
                     });
}

auto runZone(Context &context, bool out) -> ExitCode
{
    const auto &name = context.options.name;
    return changeOne(context, out ? "zone.out" : "zone.back",
                     [&name, out](const Configuration &inForce) -> std::optional<Change> {
                         const auto found = inForce.zones.find(name);
                         if (found == inForce.zones.end())
                             return std::nullopt;
                         auto zone = found->second;
                         zone.out = out;
                         return Change { ObjectKind::Zone, name, configuration::toJson(zone) };
                     });
}

} // namespace nutmegplank::app::ctl
