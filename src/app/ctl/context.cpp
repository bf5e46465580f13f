#include "app/ctl/context.h"

#include <fstream>
#include <iostream>
#include <sstream>

#include <boost/asio/ssl.hpp>
#include <boost/json.hpp>

#include "base/status.h"
#include "base/text.h"
#include "version/configuration/declarations.h"

namespace nutmegplank::app::ctl {

namespace {

constexpr auto HTTP_OK = 200U;
constexpr auto HTTP_UNAUTHORIZED = 401U;

auto readKey(const std::string &path) -> absl::StatusOr<std::string>
{
    auto stream = std::ifstream(path);
    auto text = std::stringstream();
    text << stream.rdbuf();
    auto key = text.str();
    key.erase(key.find_last_not_of(" \t\r\n") + 1);
    if (key.empty())
        return absl::InvalidArgumentError(base::concat(path, ": holds no operator key"));
    return key;
}

auto makeTls(const std::string &caFile)
    -> absl::StatusOr<std::shared_ptr<boost::asio::ssl::context>>
{
    if (caFile.empty())
        return std::shared_ptr<boost::asio::ssl::context>();
    auto tls = std::make_shared<boost::asio::ssl::context>(boost::asio::ssl::context::tls_client);
    auto error = boost::system::error_code();
    tls->load_verify_file(caFile, error);
    if (error)
        return absl::InvalidArgumentError(base::concat(caFile, ": ", error.message()));
    tls->set_verify_mode(boost::asio::ssl::verify_peer);
    return tls;
}

} // namespace

auto makeContext(Options options) -> absl::StatusOr<Context>
{
    const auto key = options.operatorKeyFile.empty() ? absl::StatusOr<std::string>(std::string())
                                                     : readKey(options.operatorKeyFile);
    if (!key.ok())
        return key.status();
    const auto tls = makeTls(options.caFile);
    if (!tls.ok())
        return tls.status();
    auto client = AdminClient(options.controllers, *key, *tls);
    return Context { std::move(options), std::move(client) };
}

auto printProblem(const Options &options, std::string_view problem) -> void
{
    if (options.json)
        printJson(boost::json::object { { "error", problem } });
    else
        std::cerr << problem << "\n";
}

auto fail(const Options &options, ExitCode code, std::string_view problem) -> ExitCode
{
    printProblem(options, problem);
    return code;
}

auto printJson(const boost::json::object &object) -> void
{
    std::cout << boost::json::serialize(object) << "\n";
}

auto fetchObject(Context &context, const std::string &call, boost::json::object &object) -> ExitCode
{
    auto answer = context.client.get(call);
    if (!answer.ok())
        return fail(context.options, ExitCode::Failed, base::describe(answer.status()));
    if (answer->status == HTTP_UNAUTHORIZED)
        return fail(context.options, ExitCode::BadInput,
                    "the controllers refuse this operator key");
    if (answer->status != HTTP_OK)
        return fail(context.options, ExitCode::Failed,
                    base::concat("HTTP status ", answer->status, ": ", answer->problem()));
    object = std::move(answer->body);
    return ExitCode::Done;
}

auto fetchConfiguration(Context &context, version::configuration::Configuration &configuration)
    -> ExitCode
{
    auto state = boost::json::object();
    const auto code = fetchObject(context, "state", state);
    if (code != ExitCode::Done)
        return code;
    const auto *declared = state.if_contains("configuration");
    const auto *number = state.if_contains("version");
    if (declared == nullptr || number == nullptr || !number->is_number())
        return fail(context.options, ExitCode::Failed, "the controller's answer is malformed");
    const auto file = version::configuration::DeclarationFile { "controller's answer",
                                                                boost::json::serialize(*declared) };
    auto parsed = version::configuration::parseDeclarations({ &file, 1 });
    if (!parsed.ok())
        return fail(context.options, ExitCode::Failed, base::toStd(parsed.status().message()));
    configuration = *std::move(parsed);
    configuration.version = number->to_number<std::uint64_t>();
    return ExitCode::Done;
}

} // namespace nutmegplank::app::ctl
