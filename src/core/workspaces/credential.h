#ifndef LABURNUMMAST_CORE_WORKSPACES_CREDENTIAL_H
#define LABURNUMMAST_CORE_WORKSPACES_CREDENTIAL_H

#include <array>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace Laburnummast::Workspaces
{

/// Why the credential of a call is rejected.
enum class CredentialError : std::uint8_t {
    Missing,
    /// The call has more than one credential.
    Repeated,
    UnsupportedScheme,
    /// The credential is empty or too long.
    Malformed,
    /// No workspace holds the credential.
    Unknown,
};

constexpr std::size_t credentialErrorCount = 5;

/// Name of the error in metrics and in the log.
constexpr std::string_view nameOf(CredentialError error)
{
    constexpr std::array<std::string_view, credentialErrorCount> names{
        "no-credential", "repeated-credential", "unsupported-scheme", "malformed-credential", "unknown-credential"};
    return names[static_cast<std::size_t>(error)];
}

}

#endif
