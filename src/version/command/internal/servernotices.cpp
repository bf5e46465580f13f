#include "version/command/servernotices.h"

namespace nutmegplank::version::command {

auto holdServers(connection::link::ILink &link, const process::membership::IMembership &membership,
                 const std::vector<std::string> &servers, base::Duration time) -> void
{
    const auto view = membership.view();
    const auto self = membership.self();
    for (const auto &id : view->liveIds(process::membership::Role::Dispatcher)) {
        const auto *member = view->find(id);
        for (const auto &server : servers) {
            auto message = wire::Envelope();
            message.set_from(self.id);
            message.set_reply_link(link.localAddress());
            message.set_incarnation(self.incarnation);
            auto *notice = message.mutable_server_notice();
            notice->set_server(server);
            notice->set_hold(true);
            notice->set_hold_ms(static_cast<std::uint32_t>(base::toMilliseconds(time)));
            // A full queue drops the notice; the caller's next repetition sends it again.
            static_cast<void>(link.send(member->linkAddress, std::move(message)));
        }
    }
}

} // namespace nutmegplank::version::command
