#pragma once

#include "request/call/call.h"

namespace nutmegplank::platform {

//! Decodes caller requests and encodes their responses in the platform's HTTP format.
class CallProtocol : public request::call::ICallProtocol
{
public:
    auto readCall(const connection::http::Request &request) const -> request::call::Call override;
    auto readSubmission(const request::call::Call &call, const std::string &body) const
        -> absl::StatusOr<version::batch::Submission> override;
    auto writeResults(std::size_t total, std::uint64_t position,
                      std::vector<version::batch::Result> results) const
        -> connection::http::Response override;
    auto maxResultBytes() const -> std::size_t override;
    auto writeRefusal(const request::call::Refusal &refusal, const std::string &requestId) const
        -> connection::http::Response override;
    auto writeAccepted(const std::string &requestId) const -> connection::http::Response override;
    auto isAccepted(const connection::http::Response &response, const std::string &requestId) const
        -> bool override;
    auto toServerRequest(connection::http::Request request) const
        -> connection::http::Request override;
    auto toCallerResponse(connection::http::Response response) const
        -> connection::http::Response override;
};

} // namespace nutmegplank::platform
