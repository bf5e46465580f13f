#include "request/admission/admission.h"

#include "base/hash.h"
#include "request/admission/credentials.h"
#include "request/admission/routing.h"
#include "request/refusal/refusal.h"

namespace nutmegplank::request::admission {

namespace {

using version::configuration::Configuration;
using version::configuration::Key;

constexpr auto STEPS_PATH = std::string_view("/v1/steps");
constexpr auto WEIGHTS_PATH = std::string_view("/v1/weights");
constexpr auto PROCESSING_STEP = "admission";

auto refuse(refusal::Code code, std::string message) -> execution::Refusal
{
    return refusal::makeRefusal(code, wire::RAN_NOT_RUN,
                                { std::move(message), PROCESSING_STEP, "", 0 });
}

auto findKey(const Configuration &configuration, const std::string &key) -> const Key *
{
    const auto hash = base::sha256Hex(key);
    const auto found = configuration.keysByHash.find(hash);
    if (found == configuration.keysByHash.end())
        return nullptr;
    return base::equalConstantTime(found->second.sha256, hash) ? &found->second : nullptr;
}

//! Sets workspace and key id of \a admitted from the request's only key, or returns a refusal.
auto authenticate(const Credentials &credentials, const Configuration &configuration,
                  AdmittedRequest &admitted) -> std::optional<execution::Refusal>
{
    if (credentials.keys.empty())
        return refuse(refusal::Code::MissingKey, "the request carries no key");
    if (credentials.keys.size() > 1)
        return refuse(refusal::Code::AmbiguousKey, "the request carries several different keys");
    const auto *key = findKey(configuration, credentials.keys.front());
    if (key == nullptr)
        return refuse(refusal::Code::UnknownKey, "the key is not known");
    if (key->withdrawn || !isKeyValid(configuration, key->id))
        return refuse(refusal::Code::KeyWithdrawn, "the key was withdrawn");
    admitted.workspace = key->workspace;
    admitted.keyId = key->id;
    return std::nullopt;
}

auto isAtOrBelow(std::string_view path, std::string_view prefix) -> bool
{
    return path == prefix || (path.starts_with(prefix) && path[prefix.size()] == '/');
}

auto isStepCreation(const connection::http::Request &request) -> bool
{
    return request.method == "POST" && connection::http::pathOf(request.target) == STEPS_PATH;
}

auto admitStep(AdmittedRequest admitted, const Configuration &configuration) -> AdmissionResult
{
    admitted.target = Target::Step;
    const auto *preset = configuration.preset();
    if (preset != nullptr && preset->refuseRollouts && isStepCreation(admitted.request))
        return refuse(refusal::Code::RolloutsRefused, "the preset in force takes no new steps");
    return admitted;
}

auto admitRoute(AdmittedRequest admitted, const version::configuration::Route &route,
                const Configuration &configuration) -> AdmissionResult
{
    const auto service = configuration.services.find(route.service);
    if (service == configuration.services.end())
        return refuse(refusal::Code::NoService, "the route's service is not declared");
    admitted.route = route.name;
    admitted.service = service->second;
    admitted.idempotent = route.idempotent || isIdempotentMethod(admitted.request.method)
        || service->second.kind == version::configuration::ServiceKind::Engine;
    return admitted;
}

} // namespace

auto isKeyValid(const Configuration &configuration, const std::string &keyId) -> bool
{
    const auto found = configuration.keys.find(keyId);
    if (found == configuration.keys.end() || found->second.withdrawn)
        return false;
    return configuration.workspaces.contains(found->second.workspace);
}

auto admit(connection::http::Request request, const Configuration &configuration,
           bool configurationConfirmed) -> AdmissionResult
{
    auto admitted = AdmittedRequest();
    const auto credentials = extractCredentials(request);
    removeConnectionHeaders(request.headers);
    admitted.request = std::move(request);
    const auto path = std::string(connection::http::pathOf(admitted.request.target));
    if (!isNormalizedPath(path))
        return refuse(refusal::Code::MalformedRequest, "the path is ambiguous");
    if (containsKey(admitted.request, credentials))
        return refuse(refusal::Code::MisplacedKey, "the key also stands in path or body");
    const auto isStep = isAtOrBelow(path, STEPS_PATH) || isAtOrBelow(path, WEIGHTS_PATH);
    const auto *route = isStep ? nullptr : findRoute(configuration, path);
    if (route != nullptr && route->open && credentials.keys.empty()) {
        admitted.workspace = route->workspace;
        return admitRoute(std::move(admitted), *route, configuration);
    }
    if (!configurationConfirmed)
        return refuse(refusal::Code::ConfigurationUnconfirmed,
                      "this process cannot confirm its configuration");
    if (auto problem = authenticate(credentials, configuration, admitted); problem.has_value())
        return *problem;
    if (isStep)
        return admitStep(std::move(admitted), configuration);
    if (route == nullptr)
        return refuse(refusal::Code::NoRoute, "no route covers the path");
    return admitRoute(std::move(admitted), *route, configuration);
}

} // namespace nutmegplank::request::admission
