#pragma once

#include <string>
#include <vector>

#include "base/timepoint.h"
#include "process/membership/imembership.h"
#include "version/configuration/configuration.h"

//! Which gateways callers should use: the answer of GET /v1/address.
namespace nutmegplank::process::address {

//! What an answer depends on.
struct AddressQuery
{
    membership::Member self;
    bool selfLeaving = false;
    std::string caller; //!< Anything that differs between callers; spreads them.
    base::Duration keep {};
};

//! One gateway of an answer.
struct GatewayAddress
{
    std::string address;
    std::string zone;
};

//! Gateways that take new callers, best first: some of the own zone, then some of the others, each
//! in an order that differs between callers. Leaving gateways and zones that operators took out are
//! left out.
auto chooseGateways(const AddressQuery &query, const membership::MemberView &view,
                    const version::configuration::Configuration &configuration)
    -> std::vector<GatewayAddress>;

//! The answer's body.
auto addressAnswer(const std::vector<GatewayAddress> &gateways, base::Duration keep) -> std::string;

} // namespace nutmegplank::process::address
