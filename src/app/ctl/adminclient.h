#pragma once

#include <memory>
#include <string>
#include <vector>

#include <absl/status/statusor.h>
#include <boost/asio/ssl/context.hpp>
#include <boost/json/object.hpp>

#include "connection/http/message.h"

namespace nutmegplank::app::ctl {

//! A controller's answer.
struct AdminAnswer
{
    std::uint32_t status = 0;
    boost::json::object body;

    //! The message of a refusal; empty when there is none.
    auto problem() const -> std::string;
};

//! Calls of the operators' interface at whichever controller answers.
class AdminClient
{
public:
    AdminClient(std::vector<std::string> controllers, std::string key,
                std::shared_ptr<boost::asio::ssl::context> tls);

    //! Asks one controller after the other until one answers other than with 503.
    auto get(const std::string &call) -> absl::StatusOr<AdminAnswer>;
    //! As get(); the body must hold an id, for it may arrive more than once.
    auto post(const std::string &call, const boost::json::object &body)
        -> absl::StatusOr<AdminAnswer>;

private:
    auto call(const connection::http::Request &request) -> absl::StatusOr<AdminAnswer>;
    auto callOne(const std::string &controller, const connection::http::Request &request)
        -> absl::StatusOr<AdminAnswer>;

    std::vector<std::string> m_controllers;
    std::string m_key;
    std::shared_ptr<boost::asio::ssl::context> m_tls;
    std::size_t m_preferred = 0; //!< The controller that answered last.
};

} // namespace nutmegplank::app::ctl
