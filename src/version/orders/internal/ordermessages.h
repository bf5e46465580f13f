#pragma once

#include <optional>
#include <string>

#include <boost/json.hpp>

#include "connection/http/message.h"
#include "version/state/iplatformlog.h"

//! Log records and HTTP messages of backend server orders; docs/PROTOCOLS.md lists their fields.
namespace nutmegplank::version::orders {

//! Answer of the ordering interface to an order or a query.
enum class OrderAnswer {
    Done,     //!< Executed; the server id is known.
    Refused,  //!< Not executed, and never will be.
    NotFound, //!< The interface does not know the order.
    Unclear,  //!< Anything else; the order is sent again.
};

struct OrderResult
{
    OrderAnswer answer = OrderAnswer::Unclear;
    std::string server; //!< Server id; empty if unknown.
};

//! Record that is written to the log before the order is sent.
auto intentRecord(const state::OrderState &order, std::uint64_t fencingNumber,
                  const std::string &scope) -> boost::json::object;
//! Record of the final answer; \a result must not be Unclear.
auto outcomeRecord(const state::OrderState &order, const OrderResult &result)
    -> boost::json::object;
//! Places the order; idempotent by order id.
auto orderRequest(const state::OrderState &order, std::uint64_t fencingNumber,
                  const std::string &scope) -> connection::http::Request;
//! Queries the state of the order without placing it.
auto orderQuery(const state::OrderState &order) -> connection::http::Request;
auto parseAnswer(const connection::http::Response &response) -> OrderResult;

} // namespace nutmegplank::version::orders
