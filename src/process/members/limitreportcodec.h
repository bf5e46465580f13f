#pragma once

#include "process/requestlimits/limitreport.h"
#include "version/records/records.pb.h"

namespace nutmegplank::process::members {

//! The report as a part of this machine's heartbeat; its times become ages.
auto encodeLimitReport(const requestlimits::LimitReport &report, base::TimePoint now)
    -> record::ServerLimitReport;
//! The report in a heartbeat that was made at \a madeAt. Figures that are not numbers count as 0.
auto decodeLimitReport(const record::ServerLimitReport &encoded, base::TimePoint madeAt)
    -> requestlimits::LimitReport;

} // namespace nutmegplank::process::members
