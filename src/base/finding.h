#pragma once

#include <string>

#include "base/enumtable.h"

namespace nutmegplank::base {

//! What is wrong with an entry of a configuration that is about to be sent.
enum class FindingKind {
    Error,         //!< It would be refused.
    NeverMatches,  //!< It is accepted and has no effect.
    Contradiction, //!< Its limits cannot hold together.
};

constexpr auto FINDING_KIND_NAMES = EnumTable<FindingKind, 3> { {
    { FindingKind::Error, "error" },
    { FindingKind::NeverMatches, "never_matches" },
    { FindingKind::Contradiction, "contradiction" },
} };

struct Finding
{
    FindingKind kind = FindingKind::Error;
    std::string place; //!< Names the entry; empty if \a problem does.
    std::string problem;
};

} // namespace nutmegplank::base
