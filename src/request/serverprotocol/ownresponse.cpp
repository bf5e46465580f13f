#include "request/serverprotocol/ownresponse.h"

#include "base/status.h"
#include "connection/http/httpclient.h"

namespace nutmegplank::request::serverprotocol {

namespace {

namespace asio = boost::asio;
namespace http = connection::http;

//! A server sends single copies; more foreign responses mean that its order is lost.
constexpr auto MAX_OTHER_RESPONSES = 2;

//! Refusals may come without an id, also from something else at the server's address.
auto isOwn(const ResponseMetadata &metadata, const std::string &requestId) -> bool
{
    const auto isAnonymous = metadata.requestId.empty() && !metadata.fromServer;
    return isAnonymous || metadata.requestId == requestId;
}

} // namespace

auto readOwnResponse(http::IHttpConnection &connection, const IServerProtocol &protocol,
                     std::string requestId, std::function<base::Duration()> timeLeft)
    -> asio::awaitable<absl::StatusOr<OwnResponse>>
{
    auto result = OwnResponse();
    for (auto others = 0; others <= MAX_OTHER_RESPONSES; ++others) {
        auto head = co_await connection.readHead(timeLeft());
        if (!head.ok())
            co_return head.status();
        result.metadata = protocol.readHead(*head);
        result.metadata.status = head->status;
        if (isOwn(result.metadata, requestId)) {
            result.head = std::move(*head);
            co_return result;
        }
        result.skippedOthers = true;
        const auto discarded = co_await http::discardBody(connection, timeLeft);
        if (!discarded.ok())
            co_return discarded;
    }
    co_return base::makeError(absl::StatusCode::kDataLoss, "responses belong to other requests",
                              { "http.readHead", requestId });
}

} // namespace nutmegplank::request::serverprotocol
