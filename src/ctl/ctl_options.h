#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/endpoint.h"
#include "document/drain_scope.h"

namespace heatherspan {

enum class CtlCommand {
  kCheck,
  kPut,
  kPlan,
  kPromote,
  kDrain,
  kUndrain,
  kShow,
  kDiff,
  kHistory,
  kStatus,
};

/// A command line that was understood.
struct CtlOptions {
  CtlCommand command = CtlCommand::kStatus;
  std::vector<Endpoint> servers;
  bool json = false;
  std::string write_id;  ///< Empty: a random one.
  std::string author;    ///< Empty: the user's name.
  std::string reason;
  std::string file;
  std::string stage = "production";
  DrainScope scope = DrainScope::kTarget;
  std::string name;  ///< Of what is drained.
  std::optional<std::uint64_t> base_version;
  std::optional<std::uint64_t> trial_version;
};

}  // namespace heatherspan
