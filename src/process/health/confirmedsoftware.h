#pragma once

#include <string>

#include "process/health/serverhealth.h"
#include "process/servers/servertable.h"

namespace nutmegplank::process::health {

//! Whether the process that answers for \a server has the software version of its record. One that
//! could not be reached since it last registered may have been replaced, if the service has several
//! versions.
inline auto isSoftwareSure(const servers::Server &server, const servers::ServerTable &table,
                           const ServerHealth &health) -> bool
{
    return health.unreachableAt(server.record.id) <= server.heardAt
        || !table.hasSeveralVersions(server.record.service);
}

} // namespace nutmegplank::process::health
