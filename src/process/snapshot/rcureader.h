#pragma once

//! Thin cover of liburcu's membarrier flavour; threads register themselves on first use.
namespace nutmegplank::process::snapshot {

//! A read-side critical section; must not be held across a suspension point.
class RcuReader
{
public:
    RcuReader();
    ~RcuReader();
    RcuReader(const RcuReader &) = delete;
    auto operator=(const RcuReader &) -> RcuReader & = delete;
};

//! Returns once every read-side section that had begun before the call has ended.
auto waitForReaders() -> void;

} // namespace nutmegplank::process::snapshot
