#include "request/step/internal/responses.h"

#include <boost/json.hpp>

namespace nutmegplank::request::step {

namespace {

namespace json = boost::json;

auto rangesJson(const Sample &sample) -> json::array
{
    auto ranges = json::array();
    for (const auto &range : sample.ranges) {
        auto entry = json::object();
        entry["weight_version"] = range.weightVersion;
        entry["first_token"] = range.first;
        entry["token_count"] = range.count;
        ranges.push_back(std::move(entry));
    }
    return ranges;
}

auto sampleJson(const Delivery &delivery) -> json::object
{
    auto entry = json::object();
    entry["slot"] = delivery.slot;
    entry["sample_id"] = delivery.sampleId;
    entry["text"] = delivery.sample.text;
    entry["ranges"] = rangesJson(delivery.sample);
    if (delivery.sample.score)
        entry["score"] = *delivery.sample.score;
    return entry;
}

} // namespace

auto pullResponse(const PullResult &result, bool moved) -> connection::http::Response
{
    auto samples = json::array();
    for (const auto &delivery : result.deliveries)
        samples.push_back(sampleJson(delivery));
    auto body = json::object();
    body["samples"] = std::move(samples);
    body["left"] = result.unacknowledgedSlots;
    body["complete"] = result.complete;
    if (moved)
        body["moved"] = true;
    return connection::http::jsonResponse(200, json::serialize(body));
}

auto refusalResponse(const execution::Refusal &refusal) -> connection::http::Response
{
    auto error = json::object();
    error["code"] = refusal.code;
    error["ran"] = refusal.ran == wire::RAN_NOT_RUN ? "not_run" : "unknown";
    error["message"] = refusal.message;
    error["retry_after_ms"] = refusal.retryAfterMs;
    error["step"] = refusal.step;
    error["peer"] = refusal.peer;
    auto body = json::object();
    body["error"] = std::move(error);
    return connection::http::jsonResponse(refusal.httpStatus, json::serialize(body));
}

auto notRunRefusal(std::uint32_t status, std::string code, std::string message)
    -> execution::Refusal
{
    auto refusal = execution::Refusal {};
    refusal.code = std::move(code);
    refusal.ran = wire::RAN_NOT_RUN;
    refusal.httpStatus = status;
    refusal.message = std::move(message);
    refusal.step = "step";
    return refusal;
}

} // namespace nutmegplank::request::step
