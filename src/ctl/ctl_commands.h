#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "ctl/admin_client.h"
#include "ctl/ctl_context.h"
#include "ctl/ctl_options.h"
#include "ctl/exit_code.h"
#include "document/document.h"
#include "document/document_error.h"

namespace heatherspan {

/// Runs one command of heatherspanctl.
class CtlCommands {
 public:
  CtlCommands(CtlOptions options, CtlContext& context, AdminClient client);

  auto Run() -> ExitCode;

 private:
  /// A document of a stage with its version; version zero means that there is none.
  struct StageDocument {
    ExitCode code = ExitCode::kDone;
    std::uint64_t version = 0;
    std::string text;
  };

  auto Check() -> ExitCode;
  auto Put() -> ExitCode;
  auto Promote() -> ExitCode;
  auto ChangeDrain() -> ExitCode;
  auto Show() -> ExitCode;
  auto Query(const std::string& path) -> ExitCode;

  /// Reads the file; reports the failure or the faults.
  auto ReadFile(std::string& text) -> bool;
  /// Reports the faults of the text; kDone without any.
  auto ReportFaults(std::string_view text, const std::string& file) -> ExitCode;
  auto Fetch(const std::string& stage) -> StageDocument;
  /// Edits production's drains and checks the result. kDone without a change when nothing is to do.
  auto EditDrains(const Document& before, Document& after, bool& changed) -> ExitCode;
  auto SendPut(const std::string& canonical, std::uint64_t base, const std::string& write_id)
      -> AdminResult;
  auto SendPromote(std::uint64_t base, std::uint64_t trial, const std::string& write_id)
      -> AdminResult;
  auto ChangeHeaders(std::uint64_t base, const std::string& write_id) const
      -> std::vector<HeaderField>;
  auto WarnOfReplacedTrial(const StageDocument& trial, const StageDocument& production) -> void;

  auto Report(const AdminResult& result) -> ExitCode;
  auto ReportError(ExitCode code, std::string_view message, std::string_view details = {})
      -> ExitCode;
  auto Print(std::string_view body) -> void;

  CtlOptions options_;
  CtlContext& context_;
  AdminClient client_;
};

}  // namespace heatherspan
