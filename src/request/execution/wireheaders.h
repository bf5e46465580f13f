#pragma once

#include "connection/http/message.h"
#include "connection/link/link.pb.h"

namespace nutmegplank::request::execution {

//! Headers of a message between processes, as the HTTP side has them, and back.
auto toHttpHeaders(const google::protobuf::RepeatedPtrField<wire::Header> &headers)
    -> connection::http::Headers;
auto toWireHeaders(const connection::http::Headers &headers,
                   google::protobuf::RepeatedPtrField<wire::Header> *output) -> void;

} // namespace nutmegplank::request::execution
