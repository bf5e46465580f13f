#pragma once

#include "connection/http/message.h"
#include "connection/link/link.pb.h"

namespace nutmegplank::request::execution {

//! Conversions between HTTP headers and the headers in messages between processes.
auto toHttpHeaders(const google::protobuf::RepeatedPtrField<wire::Header> &headers)
    -> connection::http::Headers;
auto toWireHeaders(const connection::http::Headers &headers,
                   google::protobuf::RepeatedPtrField<wire::Header> *output) -> void;

} // namespace nutmegplank::request::execution
