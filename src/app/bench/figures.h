#pragma once

#include <boost/json/object.hpp>

#include "fairness.h"
#include "load/loadrun.h"
#include "standinwatch.h"

namespace nutmegplank::app::bench {

//! Latency of the same order sent straight to a plain backend server and through a gateway.
struct AddedLatency
{
    double directP50Ms = 0;
    double throughP50Ms = 0;
};

//! What one run has measured beside the callers' own counts.
struct Measured
{
    StandinCounts before;
    StandinCounts after;
    Spending spending;
    AddedLatency latency;
    double processorSeconds = 0;
    base::Duration duration {};
};

//! What each workspace of the run asked for and got, orders counted as a fixed number of tokens.
auto workspaceServices(const BenchSettings &settings, const load::LoadRun &run)
    -> std::vector<WorkspaceService>;

//! All figures of a run.
auto makeFigures(const BenchSettings &settings, const load::LoadRun &run, const Measured &measured)
    -> boost::json::object;

//! The figures as a Markdown table.
auto toMarkdown(const boost::json::object &figures) -> std::string;

} // namespace nutmegplank::app::bench
