#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "base/ids.h"
#include "document/document.h"

namespace heatherspan {

/// Who calls the administration interface.
struct AdminCaller {
  /// The team whose credential was shown; empty for the deployment's own operators, who may change
  /// everything.
  TeamName team;

  auto is_operator() const -> bool { return team.empty(); }
};

/// Finds the owner of the credential in an Authorization header. Credentials are compared in
/// constant time. The document may be null.
auto CheckCredential(std::string_view authorization, const std::string& operator_credential,
                     const Document* document) -> std::optional<AdminCaller>;

/// What a team would change beyond its own services, as text for the refusal; nothing if the change
/// is within its rights: the services that it owns, and drains of their targets.
auto ForeignChange(const Document& before, const Document& after, const TeamName& team)
    -> std::optional<std::string>;

}  // namespace heatherspan
