#pragma once

namespace nutmegplank::process::memory {

//! From now on the C library maps each large buffer by itself, so that it takes memory only for
//! what is written to it, and gives all of it back at its end. Call it before threads are started.
auto mapLargeBuffers() -> void;

} // namespace nutmegplank::process::memory
