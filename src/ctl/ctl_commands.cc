#include "ctl/ctl_commands.h"

#include <fstream>
#include <iterator>
#include <nlohmann/json.hpp>
#include <utility>

#include "ctl/drain_edit.h"
#include "ctl/json_text.h"
#include "document/canonical.h"
#include "document/document_reader.h"
#include "document/document_toml.h"
#include "document/plan_change.h"
#include "fmt/format.h"

namespace heatherspan {
namespace {

using Json = nlohmann::ordered_json;

auto Dump(const Json& json) -> std::string {
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

}  // namespace

CtlCommands::CtlCommands(CtlOptions options, CtlContext& context, AdminClient client)
    : options_(std::move(options)), context_(context), client_(std::move(client)) {}

auto CtlCommands::Run() -> ExitCode {
  switch (options_.command) {
    case CtlCommand::kCheck:
      return Check();
    case CtlCommand::kPut:
      return Put();
    case CtlCommand::kPromote:
      return Promote();
    case CtlCommand::kDrain:
    case CtlCommand::kUndrain:
      return ChangeDrain();
    case CtlCommand::kShow:
      return Show();
    case CtlCommand::kPlan:
      return Query("/admin/v1/plan");
    case CtlCommand::kDiff:
      return Query("/admin/v1/diff");
    case CtlCommand::kHistory:
      return Query("/admin/v1/history");
    case CtlCommand::kStatus:
      return Query("/admin/v1/status");
  }
  return ExitCode::kFailure;
}

auto CtlCommands::Check() -> ExitCode {
  std::string text;
  if (!ReadFile(text)) return ExitCode::kFailure;
  const auto code = ReportFaults(text, options_.file);
  if (code != ExitCode::kDone) return code;
  const auto document = ReadDocument(text, options_.file).value();
  // Drains count as new, so that a document that could not be promoted at first is reported.
  const auto plan = PlanChange({}, document);
  Json json = {{"sound", plan.errors.empty()}};
  if (!plan.warnings.empty()) json["warnings"] = plan.warnings;
  if (!plan.errors.empty()) {
    json["faults"] = plan.errors;
    return ReportError(ExitCode::kUnsoundDocument, options_.file + ": can't be promoted",
                       Dump(json));
  }
  Print(Dump(json));
  return ExitCode::kDone;
}

auto CtlCommands::ReadFile(std::string& text) -> bool {
  std::ifstream file(options_.file, std::ios::binary);
  text.assign(std::istreambuf_iterator<char>(file), {});
  if (file && !file.bad()) return true;
  ReportError(ExitCode::kFailure, fmt::format("{}: the file can't be read", options_.file));
  return false;
}

auto CtlCommands::ReportFaults(std::string_view text, const std::string& file) -> ExitCode {
  const auto faults = ReadDocumentErrors(text, file);
  if (faults.empty()) return ExitCode::kDone;
  if (!options_.json) {
    for (const auto& fault : faults) context_.err << fault.Text() << '\n';
    return ExitCode::kUnsoundDocument;
  }
  Json list = Json::array();
  for (const auto& fault : faults) {
    list.push_back({{"file", fault.file},
                    {"line", fault.position.line},
                    {"column", fault.position.column},
                    {"message", fault.message}});
  }
  return ReportError(ExitCode::kUnsoundDocument, "the document has faults",
                     Dump(Json{{"faults", list}}));
}

auto CtlCommands::Put() -> ExitCode {
  std::string text;
  if (!ReadFile(text)) return ExitCode::kFailure;
  if (const auto code = ReportFaults(text, options_.file); code != ExitCode::kDone) return code;
  const auto canonical = WriteCanonical(ReadDocument(text, options_.file).value());
  if (!options_.base_version.has_value()) {
    const auto trial = Fetch("trial");
    if (trial.code != ExitCode::kDone) return trial.code;
    options_.base_version = trial.version;
  }
  return Report(SendPut(canonical, *options_.base_version, options_.write_id));
}

auto CtlCommands::Promote() -> ExitCode {
  if (!options_.trial_version.has_value()) {
    const auto trial = Fetch("trial");
    if (trial.code != ExitCode::kDone) return trial.code;
    if (trial.version == 0) return ReportError(ExitCode::kFailure, "there is no trial document");
    options_.trial_version = trial.version;
  }
  if (!options_.base_version.has_value()) {
    const auto production = Fetch("production");
    if (production.code != ExitCode::kDone) return production.code;
    options_.base_version = production.version;
  }
  return Report(SendPromote(*options_.base_version, *options_.trial_version, options_.write_id));
}

auto CtlCommands::ChangeDrain() -> ExitCode {
  const auto production = Fetch("production");
  if (production.code != ExitCode::kDone) return production.code;
  if (production.version == 0) {
    return ReportError(ExitCode::kFailure, "there is no production document");
  }
  const auto before = ReadDocument(production.text, "production");
  if (!before.ok()) {
    return ReportError(ExitCode::kUnsoundDocument, "the production document has faults",
                       std::string(before.status().message()));
  }
  auto after = *before;
  bool changed = false;
  if (const auto code = EditDrains(*before, after, changed); code != ExitCode::kDone || !changed) {
    return code;
  }
  const auto trial = Fetch("trial");
  if (trial.code != ExitCode::kDone) return trial.code;
  WarnOfReplacedTrial(trial, production);
  const auto put = SendPut(WriteCanonical(after), trial.version, options_.write_id + ".put");
  if (!put.ok()) return Report(put);
  const auto trial_version = put.Version() != 0 ? put.Version() : Fetch("trial").version;
  const auto promote =
      SendPromote(production.version, trial_version, options_.write_id + ".promote");
  if (!promote.ok()) {
    context_.err << fmt::format(
        "heatherspanctl: trial version {} was put, but its promotion is not confirmed\n",
        trial_version);
  }
  return Report(promote);
}

auto CtlCommands::EditDrains(const Document& before, Document& after, bool& changed) -> ExitCode {
  if (options_.command == CtlCommand::kDrain) {
    changed = AddDrain(after, {options_.scope, options_.name, options_.reason});
  } else {
    changed = RemoveDrain(after, options_.scope, options_.name);
  }
  if (!changed) {
    const auto* state = options_.command == CtlCommand::kDrain ? "is already" : "is not";
    Print(Dump({{"changed", false}, {"note", fmt::format("{} {} drained", options_.name, state)}}));
    return ExitCode::kDone;
  }
  const auto code = ReportFaults(WriteCanonical(after), "edited document");
  if (code != ExitCode::kDone) return code;
  const auto plan = PlanChange(before, after);
  if (plan.errors.empty()) return ExitCode::kDone;
  return ReportError(ExitCode::kUnsoundDocument, "the rest could not bear this drain",
                     Dump({{"faults", plan.errors}}));
}

auto CtlCommands::WarnOfReplacedTrial(const StageDocument& trial, const StageDocument& production)
    -> void {
  if (trial.version == 0) return;
  const auto document = ReadDocument(trial.text, "trial");
  if (document.ok() && *document == ReadDocument(production.text, "production").value()) return;
  context_.err << fmt::format(
      "heatherspanctl: warning: replaces trial version {}, which differs from production\n",
      trial.version);
}

auto CtlCommands::Show() -> ExitCode {
  const auto stage = Fetch(options_.stage);
  if (stage.code != ExitCode::kDone) return stage.code;
  if (stage.version == 0) {
    return ReportError(ExitCode::kFailure, fmt::format("there is no {} document", options_.stage));
  }
  auto text = stage.text;
  if (IsCanonical(text)) {
    const auto document = ReadDocument(text, options_.stage);
    if (!document.ok()) {
      return ReportError(ExitCode::kUnsoundDocument, "the document has faults",
                         std::string(document.status().message()));
    }
    text = WriteToml(*document);
  }
  if (options_.json) {
    Print(Dump({{"stage", options_.stage}, {"version", stage.version}, {"document", text}}));
  } else {
    context_.out << fmt::format("# {} version {}\n{}", options_.stage, stage.version,
                                PrintableText(text));
  }
  return ExitCode::kDone;
}

auto CtlCommands::Query(const std::string& path) -> ExitCode { return Report(client_.Read(path)); }

auto CtlCommands::Fetch(const std::string& stage) -> StageDocument {
  auto result = client_.Read("/admin/v1/document?stage=" + stage);
  StageDocument document;
  if (result.response.status == 404) return document;
  if (!result.ok()) {
    document.code = Report(result);
    return document;
  }
  document.version = result.Version();
  document.text = std::move(result.response.body);
  if (document.version == 0) {
    document.code = ReportError(ExitCode::kFailure,
                                "the answer has no header field Heatherspan-Config-Version");
  }
  return document;
}

auto CtlCommands::ChangeHeaders(std::uint64_t base, const std::string& write_id) const
    -> std::vector<HeaderField> {
  std::vector<HeaderField> headers = {{"Base-Version", fmt::format("{}", base)},
                                      {"Write-Id", write_id},
                                      {"Author", options_.author}};
  if (!options_.reason.empty()) headers.push_back({"Reason", options_.reason});
  return headers;
}

auto CtlCommands::SendPut(const std::string& canonical, std::uint64_t base,
                          const std::string& write_id) -> AdminResult {
  return client_.Write("PUT", "/admin/v1/trial", ChangeHeaders(base, write_id), canonical);
}

auto CtlCommands::SendPromote(std::uint64_t base, std::uint64_t trial, const std::string& write_id)
    -> AdminResult {
  auto headers = ChangeHeaders(base, write_id);
  headers.push_back({"Trial-Version", fmt::format("{}", trial)});
  return client_.Write("POST", "/admin/v1/promote", std::move(headers), "");
}

auto CtlCommands::Report(const AdminResult& result) -> ExitCode {
  switch (result.code) {
    case ExitCode::kDone:
      Print(result.response.body);
      return ExitCode::kDone;
    case ExitCode::kConflict:
      return ReportError(result.code, "another change came first", result.response.body);
    case ExitCode::kNotAuthorized:
      return ReportError(result.code, "the credential gives no right to do this",
                         result.response.body);
    case ExitCode::kUnsoundDocument:
      return ReportError(result.code, "the document was refused", result.response.body);
    case ExitCode::kUnreachable:
      return ReportError(result.code, "no server took the request; it was not run", result.error);
    case ExitCode::kOutcomeUnknown:
      return ReportError(
          result.code,
          fmt::format("the outcome is unknown; repeat the command with --write-id {}",
                      options_.write_id),
          result.error);
    default:
      return ReportError(result.code, result.error, result.response.body);
  }
}

auto CtlCommands::ReportError(ExitCode code, std::string_view message, std::string_view details)
    -> ExitCode {
  if (!options_.json) {
    context_.err << "heatherspanctl: " << PrintableText(message) << '\n' << ReadableText(details);
    return code;
  }
  Json json = {{"error", message}, {"exit_code", static_cast<int>(code)}};
  if (code == ExitCode::kOutcomeUnknown) json["write_id"] = options_.write_id;
  if (!details.empty()) {
    auto parsed = Json::parse(JsonText(details), nullptr, false);
    json["details"] = std::move(parsed);
  }
  context_.err << JsonText(Dump(json));
  return code;
}

auto CtlCommands::Print(std::string_view body) -> void {
  if (body.empty() && !options_.json) return;
  context_.out << (options_.json ? JsonText(body.empty() ? "{}" : body) : ReadableText(body));
}

}  // namespace heatherspan
