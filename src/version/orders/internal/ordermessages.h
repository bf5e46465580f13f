#pragma once

#include <optional>
#include <string>

#include <boost/json.hpp>

#include "connection/http/message.h"
#include "version/state/iplatformlog.h"

//! Records and calls of backend server orders; docs/PROTOCOLS.md gives their fields.
namespace nutmegplank::version::orders {

//! What the ordering interface said.
enum class OrderAnswer {
    Done,    //!< Taken; the server is known.
    Refused, //!< Certainly not taken, and will not be.
    Absent,  //!< The order never arrived.
    Unclear, //!< Anything else: ask again.
};

struct OrderResult
{
    OrderAnswer answer = OrderAnswer::Unclear;
    std::string server;
};

auto intentRecord(const state::OrderState &order, std::uint64_t fencingNumber,
                  const std::string &scope) -> boost::json::object;
auto outcomeRecord(const state::OrderState &order, const OrderResult &result)
    -> boost::json::object;
auto orderRequest(const state::OrderState &order, std::uint64_t fencingNumber,
                  const std::string &scope) -> connection::http::Request;
auto orderQuery(const state::OrderState &order) -> connection::http::Request;
auto readAnswer(const connection::http::Response &response) -> OrderResult;

} // namespace nutmegplank::version::orders
