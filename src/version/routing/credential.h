#pragma once

#include <string>

namespace nutmegplank::version::routing {

enum class CredentialKind {
    None, //!< The call came without a key.
    Key,
    Unusable, //!< Came as a key, but is empty or ambiguous; belongs to no workspace.
};

//! What a call presents to be recognized by.
struct Credential
{
    CredentialKind kind = CredentialKind::None;
    std::string key; //!< Set for CredentialKind::Key only; must not be logged.
};

} // namespace nutmegplank::version::routing
