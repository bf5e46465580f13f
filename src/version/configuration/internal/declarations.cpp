#include "version/configuration/declarations.h"

#include <fstream>
#include <sstream>

#include <boost/json.hpp>

#include "base/jsonreader.h"
#include "base/text.h"
#include "version/configuration/change.h"
#include "version/configuration/codec.h"

namespace nutmegplank::version::configuration {

namespace {

constexpr auto FILE_SUFFIX = ".json";

//! All problems of the files read so far.
using Problems = std::vector<absl::Status>;

auto keepProblem(absl::Status status, Problems &problems) -> void
{
    if (!status.ok())
        problems.push_back(std::move(status));
}

template <typename Object, typename Parse>
auto readObjects(base::ObjectReader &file, std::string_view field, std::string_view nameField,
                 std::map<std::string, Object> &objects, Problems &problems, Parse parse) -> void
{
    for (auto &reader : file.objects(field)) {
        auto object = parse(reader);
        auto name = reader.string(nameField, "");
        if (!name.empty() && objects.contains(name))
            reader.fail(nameField, base::concat("names \"", name, "\", which is declared already"));
        keepProblem(reader.finish(), problems);
        objects.emplace(std::move(name), std::move(object));
    }
}

auto readPresetInForce(base::ObjectReader &file, Configuration &configuration) -> void
{
    if (!file.has("preset_in_force"))
        return;
    const auto name = file.string("preset_in_force", "");
    if (!configuration.presetInForce.empty())
        file.fail("preset_in_force", "is declared already in another file");
    configuration.presetInForce = name;
}

auto readFile(const DeclarationFile &declaration, Configuration &configuration, Problems &problems)
    -> void
{
    const auto value = base::parseJson(declaration.text);
    if (!value.ok()) {
        problems.push_back(absl::InvalidArgumentError(
            base::concat(declaration.name, ": ", value.status().message())));
        return;
    }
    auto file = base::ObjectReader(*value, declaration.name);
    readObjects(file, "workspaces", "name", configuration.workspaces, problems, parseWorkspace);
    readObjects(file, "keys", "id", configuration.keys, problems, parseKey);
    readObjects(file, "services", "name", configuration.services, problems, parseService);
    readObjects(file, "routes", "name", configuration.routes, problems, parseRoute);
    readObjects(file, "zones", "name", configuration.zones, problems, parseZone);
    readObjects(file, "presets", "name", configuration.presets, problems, parsePreset);
    readPresetInForce(file, configuration);
    keepProblem(file.finish(), problems);
}

auto readTextFile(const std::filesystem::path &path) -> std::string
{
    auto stream = std::ifstream(path);
    auto text = std::ostringstream();
    text << stream.rdbuf();
    return text.str();
}

} // namespace

auto parseDeclarations(std::span<const DeclarationFile> files) -> absl::StatusOr<Configuration>
{
    auto configuration = Configuration();
    auto problems = Problems();
    for (const auto &file : files)
        readFile(file, configuration, problems);
    if (!problems.empty())
        return problems.front();
    const auto references = checkReferences(configuration);
    if (!references.ok())
        return references;
    rebuildIndexes(configuration);
    return configuration;
}

auto declarationProblems(std::span<const DeclarationFile> files) -> std::vector<std::string>
{
    auto configuration = Configuration();
    auto problems = Problems();
    for (const auto &file : files)
        readFile(file, configuration, problems);
    // References of entries that could not be read would only repeat their problems.
    if (problems.empty())
        keepProblem(checkReferences(configuration), problems);
    auto texts = std::vector<std::string>();
    for (const auto &problem : problems)
        texts.emplace_back(problem.message());
    return texts;
}

auto readDeclarationFiles(const std::filesystem::path &folder)
    -> absl::StatusOr<std::vector<DeclarationFile>>
{
    auto error = std::error_code();
    auto paths = std::vector<std::filesystem::path>();
    for (const auto &entry : std::filesystem::directory_iterator(folder, error)) {
        if (entry.is_regular_file() && entry.path().extension() == FILE_SUFFIX)
            paths.push_back(entry.path());
    }
    if (error)
        return absl::InvalidArgumentError(base::concat(folder.string(), ": ", error.message()));
    if (paths.empty())
        return absl::InvalidArgumentError(base::concat(folder.string(), ": holds no .json file"));
    std::sort(paths.begin(), paths.end());
    auto files = std::vector<DeclarationFile>();
    for (const auto &path : paths)
        files.push_back({ path.filename().string(), readTextFile(path) });
    return files;
}

auto loadDeclarations(const std::filesystem::path &folder) -> absl::StatusOr<Configuration>
{
    const auto files = readDeclarationFiles(folder);
    return files.ok() ? parseDeclarations(*files) : files.status();
}

} // namespace nutmegplank::version::configuration
