#include "app/node/exchange.h"

#include "process/clock/clock.h"
#include "process/logging/logging.h"

namespace nutmegplank::app::node {

namespace logging = process::logging;

auto refuse(const request::call::ICallProtocol &protocol, const Exchange &exchange,
            const request::call::Refusal &refusal) -> connection::http::Response
{
    logging::info(
        "call.refused",
        { { "request", exchange.call.requestId },
          { "kind", base::nameOf(request::call::CALL_KIND_NAMES, exchange.call.kind) },
          { "path", exchange.call.path },
          { "code", base::nameOf(request::call::REFUSAL_CODE_NAMES, refusal.code) },
          { "detail", refusal.detail },
          { "retry_after_ms", base::toMilliseconds(refusal.retryAfter) },
          { "configuration", exchange.table == nullptr ? 0 : exchange.table->version },
          { "held_ms", base::toMilliseconds(process::clock::now() - exchange.receivedAt) } });
    return protocol.writeRefusal(refusal, exchange.call.requestId);
}

} // namespace nutmegplank::app::node
