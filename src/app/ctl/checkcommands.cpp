#include <fstream>
#include <iostream>
#include <sstream>

#include <boost/json.hpp>

#include "app/ctl/commands.h"
#include "base/text.h"
#include "platform/operatorrecords.h"
#include "version/configuration/check.h"
#include "version/configuration/declarations.h"
#include "version/configuration/plan.h"
#include "version/routing/tablecheck.h"

namespace nutmegplank::app::ctl {

namespace {

namespace json = boost::json;
namespace configuration = version::configuration;
namespace routing = version::routing;
using base::Finding;
using base::FindingKind;

//! What a check prints.
struct Report
{
    std::vector<Finding> findings;
    bool compared = false;
    std::vector<std::string> differences;
};

auto findingLine(const Finding &finding) -> std::string
{
    const auto kind = std::string(base::nameOf(base::FINDING_KIND_NAMES, finding.kind));
    return finding.place.empty() ? base::concat(kind, ": ", finding.problem)
                                 : base::concat(kind, ": ", finding.place, ": ", finding.problem);
}

auto reportJson(const Report &report) -> json::object
{
    auto findings = json::array();
    for (const auto &finding : report.findings)
        findings.push_back(
            json::object { { "kind", base::nameOf(base::FINDING_KIND_NAMES, finding.kind) },
                           { "place", finding.place },
                           { "problem", finding.problem } });
    auto object =
        json::object { { "findings", std::move(findings) }, { "compared", report.compared } };
    auto differences = json::array();
    for (const auto &line : report.differences)
        differences.emplace_back(line);
    object["differences"] = std::move(differences);
    return object;
}

auto print(const Options &options, const Report &report) -> ExitCode
{
    if (options.json) {
        printJson(reportJson(report));
    } else {
        for (const auto &finding : report.findings)
            std::cout << findingLine(finding) << "\n";
        for (const auto &line : report.differences)
            std::cout << "differs: " << line << "\n";
        std::cout << report.findings.size() << " findings, "
                  << (report.compared ? base::concat(report.differences.size(), " differences")
                                      : std::string("not compared with a version in force"))
                  << "\n";
    }
    return report.findings.empty() ? ExitCode::Done : ExitCode::BadInput;
}

auto readRecord(const std::string &path) -> absl::StatusOr<routing::RoutingTablePtr>
{
    auto stream = std::ifstream(path);
    if (!stream)
        return absl::InvalidArgumentError(base::concat(path, ": cannot be read"));
    auto text = std::ostringstream();
    text << stream.rdbuf();
    const auto table = platform::readConfiguration({ path, text.str(), 0 });
    if (!table.ok())
        return absl::InvalidArgumentError(base::concat(path, ": ", table.status().message()));
    return table;
}

//! What the declarations are compared with; nothing if neither a folder nor controllers are named.
auto loadInForce(Context &context, std::optional<configuration::Configuration> &inForce) -> ExitCode
{
    const auto &options = context.options;
    if (!options.inForce.empty()) {
        const auto loaded = configuration::loadDeclarations(options.inForce);
        if (!loaded.ok())
            return fail(options, ExitCode::BadInput, base::toStd(loaded.status().message()));
        inForce = *loaded;
        return ExitCode::Done;
    }
    if (options.controllers.empty())
        return ExitCode::Done;
    return fetchConfiguration(context, inForce.emplace());
}

} // namespace

auto runValidate(const Options &options) -> ExitCode
{
    const auto declared = configuration::loadDeclarations(options.folder);
    if (!declared.ok())
        return fail(options, ExitCode::BadInput, base::toStd(declared.status().message()));
    if (options.json)
        printJson(json::object { { "valid", true } });
    else
        std::cout << options.folder << ": valid\n";
    return ExitCode::Done;
}

auto runCheck(Context &context) -> ExitCode
{
    const auto &options = context.options;
    const auto files = configuration::readDeclarationFiles(options.folder);
    if (!files.ok())
        return fail(options, ExitCode::BadInput, base::toStd(files.status().message()));
    auto report = Report();
    for (auto &problem : configuration::declarationProblems(*files))
        report.findings.push_back({ FindingKind::Error, "", std::move(problem) });
    if (!report.findings.empty())
        return print(options, report);
    const auto declared = configuration::parseDeclarations(*files);
    if (!declared.ok())
        return fail(options, ExitCode::BadInput, base::toStd(declared.status().message()));
    report.findings = configuration::checkConfiguration(*declared);
    auto inForce = std::optional<configuration::Configuration>();
    const auto code = loadInForce(context, inForce);
    if (code != ExitCode::Done)
        return code;
    report.compared = inForce.has_value();
    if (report.compared) {
        for (const auto &planned : configuration::planChanges(*inForce, *declared))
            report.differences.push_back(base::concat(
                base::nameOf(configuration::PLANNED_ACTION_NAMES, planned.action), " ",
                base::nameOf(configuration::OBJECT_KIND_NAMES, planned.change.object), " ",
                planned.change.name, planned.effect.empty() ? "" : ": ", planned.effect));
    }
    return print(options, report);
}

auto runCheckRecord(const Options &options) -> ExitCode
{
    const auto next = readRecord(options.file);
    if (!next.ok())
        return fail(options, ExitCode::BadInput, base::toStd(next.status().message()));
    auto report = Report();
    report.findings = routing::checkTable(**next);
    if (!options.inForce.empty()) {
        const auto inForce = readRecord(options.inForce);
        if (!inForce.ok())
            return fail(options, ExitCode::BadInput, base::toStd(inForce.status().message()));
        report.compared = true;
        report.differences = routing::tableDifferences(**inForce, **next);
    }
    return print(options, report);
}

} // namespace nutmegplank::app::ctl
