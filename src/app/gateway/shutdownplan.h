#pragma once

#include "base/enumtable.h"
#include "base/timepoint.h"

namespace nutmegplank::app::gateway {

//! How far a graceful shutdown has come.
enum class ShutdownStage {
    Serving,   //!< Not begun.
    Leaving,   //!< Out of address answers; callers may still come with an old one.
    Finishing, //!< Takes no more connections and finishes what it has.
    Finished,
};

constexpr auto SHUTDOWN_STAGE_NAMES = base::EnumTable<ShutdownStage, 4> { {
    { ShutdownStage::Serving, "serving" },
    { ShutdownStage::Leaving, "leaving" },
    { ShutdownStage::Finishing, "finishing" },
    { ShutdownStage::Finished, "finished" },
} };

//! What still holds the process.
struct ShutdownLoad
{
    std::size_t exchanges = 0; //!< Callers' requests that are not answered.
    std::size_t steps = 0;
    std::size_t attempts = 0; //!< At dispatchers.
};

//! Decides when a process that leaves may close its port and when it may exit. It waits for as
//! long as a request or step needs: no request is cut.
class ShutdownPlan
{
public:
    //! \a addressKeep is how long callers keep an address answer.
    explicit ShutdownPlan(base::Duration addressKeep);

    auto begin(base::TimePoint now) -> void;
    auto advance(const ShutdownLoad &load, base::TimePoint now) -> ShutdownStage;
    auto stage() const -> ShutdownStage { return m_stage; }

private:
    base::Duration m_addressKeep;
    base::TimePoint m_begun {};
    ShutdownStage m_stage = ShutdownStage::Serving;
};

} // namespace nutmegplank::app::gateway
