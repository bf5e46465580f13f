#include "request/serverprotocol/iserverprotocol.h"

namespace nutmegplank::request::serverprotocol {

namespace {

constexpr auto FIRST_CLIENT_ERROR = 400U;
constexpr auto FIRST_SERVER_ERROR = 500U;
constexpr auto STATUS_TIMEOUT = 408U;
constexpr auto STATUS_MISDIRECTED = 421U;
constexpr auto STATUS_TOO_MANY = 429U;

} // namespace

auto ResponseMetadata::isTaken() const -> bool
{
    return fromServer && !notRun && !wrongServer && status < FIRST_CLIENT_ERROR;
}

auto ResponseMetadata::faultsRequest() const -> bool
{
    // These three are about the connection or the server's load.
    if (status == STATUS_TIMEOUT || status == STATUS_MISDIRECTED || status == STATUS_TOO_MANY)
        return false;
    return status >= FIRST_CLIENT_ERROR && status < FIRST_SERVER_ERROR && !wrongServer;
}

} // namespace nutmegplank::request::serverprotocol
