#include "app/ctl/options.h"

#include <charconv>
#include <iostream>

#include <docopt/docopt.h>

#include "base/jsonreader.h"
#include "base/text.h"
#include "process/settings/settings.h"

namespace nutmegplank::app::ctl {

namespace {

using Arguments = std::map<std::string, docopt::value>;

constexpr auto USAGE = R"(Changes and shows what is in force.

Usage:
  nutmegplankctl validate FOLDER [options]
  nutmegplankctl check FOLDER [--in-force=PATH] [options]
  nutmegplankctl check-record FILE [--in-force=PATH] [options]
  nutmegplankctl plan FOLDER [options]
  nutmegplankctl apply FOLDER [options]
  nutmegplankctl status [options]
  nutmegplankctl preset use NAME [options]
  nutmegplankctl key grant WORKSPACE [--id=ID] [options]
  nutmegplankctl key withdraw ID [options]
  nutmegplankctl zone out NAME [options]
  nutmegplankctl zone back NAME [options]
  nutmegplankctl audit [--from=VERSION] [options]
  nutmegplankctl export [options]

Options:
  --controllers=LIST        Controllers to ask, "address:port,address:port"; any of them will do.
  --operator-key-file=FILE  File that holds the operator's key.
  --ca=FILE                 Certificates to trust; the controllers are then asked over TLS.
  --why=TEXT                Reason, for the audit trail [default: ].
  --base-version=N          Change only if version N is in force.
  --timeout=TIME            How long a change may take to be in force everywhere [default: 30s].
  --in-force=PATH           Compare with this folder, or record, instead of asking controllers.
  --json                    Print JSON.
  --id=ID                   Name of the new key.
  --from=VERSION            Show changes from this version on [default: 0].
  -h --help                 Show this text.
  --version                 Show the version.

"check" looks at declarations before they are sent: all errors, entries that can never match, limits
that contradict each other, and what differs from the version in force. "check-record" does so for
a configuration record of the platform.

A key that is granted is printed once and kept nowhere; the platform's log holds its hash.

Exit codes:
  0  done; for a change: in force on every process
  1  failed; no controller answered, or the log is out of reach
  2  command line, declarations or operator key are wrong; "check" has findings
  3  another change came first; nothing was changed
  4  the change stands in the log, but was not in force everywhere in time
)";

constexpr auto TIMEOUT_RANGE =
    base::DurationRange { std::chrono::milliseconds(100), std::chrono::hours(1) };

//! A command and the words that ask for it.
struct CommandWords
{
    std::string first;
    std::string second;
    Command command;
};

auto commandTable() -> const std::vector<CommandWords> &
{
    static const auto table = std::vector<CommandWords> {
        { "validate", "", Command::Validate },
        { "check", "", Command::Check },
        { "check-record", "", Command::CheckRecord },
        { "plan", "", Command::Plan },
        { "apply", "", Command::Apply },
        { "status", "", Command::Status },
        { "preset", "use", Command::PresetUse },
        { "key", "grant", Command::KeyGrant },
        { "key", "withdraw", Command::KeyWithdraw },
        { "zone", "out", Command::ZoneOut },
        { "zone", "back", Command::ZoneBack },
        { "audit", "", Command::Audit },
        { "export", "", Command::Export },
    };
    return table;
}

auto commandOf(const Arguments &arguments) -> Command
{
    for (const auto &words : commandTable()) {
        const auto second = words.second.empty() || arguments.at(words.second).asBool();
        if (arguments.at(words.first).asBool() && second)
            return words.command;
    }
    return Command::Status;
}

auto textOf(const Arguments &arguments, const std::string &name) -> std::string
{
    const auto found = arguments.find(name);
    return found != arguments.end() && found->second.isString() ? found->second.asString()
                                                                : std::string();
}

auto splitList(const std::string &text) -> std::vector<std::string>
{
    auto parts = std::vector<std::string>();
    auto begin = std::size_t(0);
    while (begin < text.size()) {
        const auto end = std::min(text.find(',', begin), text.size());
        parts.push_back(text.substr(begin, end - begin));
        begin = end + 1;
    }
    return parts;
}

auto parseNumber(const std::string &option, const std::string &text)
    -> absl::StatusOr<std::uint64_t>
{
    auto number = std::uint64_t(0);
    const auto *end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, number);
    if (text.empty() || parsed.ec != std::errc() || parsed.ptr != end)
        return absl::InvalidArgumentError(
            base::concat(option, ": \"", text, "\" is no whole number"));
    return number;
}

auto checkControllers(const Options &options) -> absl::Status
{
    const auto needsNone = options.command == Command::Validate
        || options.command == Command::CheckRecord
        || (options.command == Command::Check && options.controllers.empty());
    if (needsNone)
        return absl::OkStatus();
    if (options.controllers.empty() || options.operatorKeyFile.empty())
        return absl::InvalidArgumentError(
            "--controllers and --operator-key-file are needed for this command");
    for (const auto &controller : options.controllers) {
        if (!process::settings::isEndpoint(controller))
            return absl::InvalidArgumentError(
                base::concat("--controllers: \"", controller,
                             "\" is no IP number with a port, such as 10.0.0.1:7100"));
    }
    return absl::OkStatus();
}

auto nameOf(const Arguments &arguments) -> std::string
{
    for (const auto *name : { "NAME", "WORKSPACE", "ID" }) {
        const auto text = textOf(arguments, name);
        if (!text.empty())
            return text;
    }
    return {};
}

auto readNumbers(const Arguments &arguments, Options &options) -> absl::Status
{
    const auto from = parseNumber("--from", textOf(arguments, "--from"));
    if (!from.ok())
        return from.status();
    options.from = *from;
    const auto timeout = base::parseDuration(textOf(arguments, "--timeout"));
    if (!timeout.ok() || *timeout < TIMEOUT_RANGE.shortest || *timeout > TIMEOUT_RANGE.longest)
        return absl::InvalidArgumentError("--timeout: must be from 100ms to 1h");
    options.timeout = *timeout;
    const auto baseText = textOf(arguments, "--base-version");
    if (baseText.empty())
        return absl::OkStatus();
    const auto baseVersion = parseNumber("--base-version", baseText);
    if (!baseVersion.ok())
        return baseVersion.status();
    options.baseVersion = *baseVersion;
    return absl::OkStatus();
}

} // namespace

auto usageText() -> const std::string &
{
    static const auto usage = std::string(USAGE);
    return usage;
}

auto parseOptions(const std::vector<std::string> &arguments) -> absl::StatusOr<Options>
{
    auto parsed = Arguments();
    try {
        parsed = docopt::docopt_parse(usageText(), arguments, true, true);
    } catch (const docopt::DocoptExitHelp &) {
        std::cout << usageText();
        std::exit(0);
    } catch (const docopt::DocoptExitVersion &) {
        std::cout << "nutmegplankctl\n";
        std::exit(0);
    } catch (const std::exception &error) {
        return absl::InvalidArgumentError(
            base::concat("wrong command line: ", error.what(), "; see --help"));
    }
    auto options = Options();
    options.command = commandOf(parsed);
    options.folder = textOf(parsed, "FOLDER");
    options.file = textOf(parsed, "FILE");
    options.inForce = textOf(parsed, "--in-force");
    options.name = nameOf(parsed);
    options.keyId = textOf(parsed, "--id");
    options.controllers = splitList(textOf(parsed, "--controllers"));
    options.operatorKeyFile = textOf(parsed, "--operator-key-file");
    options.caFile = textOf(parsed, "--ca");
    options.why = textOf(parsed, "--why");
    options.json = parsed.at("--json").asBool();
    const auto numbers = readNumbers(parsed, options);
    if (!numbers.ok())
        return numbers;
    const auto controllers = checkControllers(options);
    if (!controllers.ok())
        return controllers;
    return options;
}

} // namespace nutmegplank::app::ctl
