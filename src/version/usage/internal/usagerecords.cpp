#include "base/text.h"
#include "version/usage/internal/usageloop.h"

namespace nutmegplank::version::usage {

namespace {

auto toJson(const std::vector<state::UsageFigure> &figures) -> boost::json::array
{
    auto array = boost::json::array();
    for (const auto &figure : figures) {
        array.push_back(boost::json::object {
            { "workspace", figure.workspace },
            { "service", figure.service },
            { "requests", figure.requests },
            { "prompt_tokens", figure.promptTokens },
            { "generated_tokens", figure.generatedTokens },
            { "server_milliseconds", figure.serverMilliseconds },
        });
    }
    return array;
}

} // namespace

auto makeWindowRecord(const WindowContent &content, std::uint64_t fencingNumber)
    -> boost::json::object
{
    auto marks = boost::json::array();
    for (const auto &mark : content.marks)
        marks.push_back(boost::json::object { { "process", mark.process },
                                              { "counted", toJson(mark.counted) } });
    return { { "fencing_number", fencingNumber },    { "number", content.number },
             { "start_ms", content.startMs },        { "end_ms", content.endMs },
             { "figures", toJson(content.figures) }, { "marks", marks } };
}

auto makeWindowReport(const state::UsageWindowState &window, std::uint64_t fencingNumber,
                      const std::string &reporterId) -> connection::http::Request
{
    auto request = connection::http::Request();
    request.method = "PUT";
    request.target = base::concat("/v1/windows/", window.number);
    request.headers.push_back({ "Content-Type", "application/json" });
    request.body = boost::json::serialize(boost::json::object {
        { "start_ms", window.startMs },
        { "end_ms", window.endMs },
        { "figures", toJson(window.figures) },
        { "fencing_number", fencingNumber },
        { "reporter", reporterId },
    });
    return request;
}

} // namespace nutmegplank::version::usage
