#pragma once

#include <string>

#include <boost/asio/awaitable.hpp>

#include "base/timepoint.h"
#include "connection/http/message.h"

namespace nutmegplank::load {

//! How far one exchange came.
enum class ExchangeEnd {
    Answered,
    NotSent, //!< The connection was refused; no byte was written.
    Unknown, //!< Sent, but no whole answer came.
};

struct ExchangeResult
{
    ExchangeEnd end = ExchangeEnd::NotSent;
    connection::http::Response response; //!< When answered.
};

//! One request on a connection of its own to \a endpoint.
auto exchange(std::string endpoint, connection::http::Request request, base::Duration timeout)
    -> boost::asio::awaitable<ExchangeResult>;

//! A POST of JSON with the caller's key; no key when \a key is empty.
auto jsonPost(std::string target, std::string key, std::string body) -> connection::http::Request;

} // namespace nutmegplank::load
