#include "request/execution/wireheaders.h"

namespace nutmegplank::request::execution {

auto toHttpHeaders(const google::protobuf::RepeatedPtrField<wire::Header> &headers)
    -> connection::http::Headers
{
    auto output = connection::http::Headers();
    for (const auto &header : headers)
        output.push_back({ header.name(), header.value() });
    return output;
}

auto toWireHeaders(const connection::http::Headers &headers,
                   google::protobuf::RepeatedPtrField<wire::Header> *output) -> void
{
    for (const auto &header : headers) {
        auto *added = output->Add();
        added->set_name(header.name);
        added->set_value(header.value);
    }
}

} // namespace nutmegplank::request::execution
