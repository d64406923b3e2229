#include "ctl/command_line.h"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <array>

#include "fmt/format.h"
#include "toml_table/nearest_word.h"
#include "toml_table/value_format.h"

namespace heatherspan {
namespace {

constexpr std::size_t kMaxTextBytes = 200;
constexpr std::size_t kMaxWriteIdCharacters = 64;

struct CommandEntry {
  CtlCommand command;
  const char* name;
  const char* help;
  bool changes;  ///< Takes --reason, --author and --write-id.
};

constexpr std::array<CommandEntry, 10> kCommands = {{
    {CtlCommand::kCheck, "check", "Report every fault of a document; needs no server", false},
    {CtlCommand::kPut, "put", "Check a document and make it the trial document", true},
    {CtlCommand::kPlan, "plan", "Show what promoting the trial document would bring", false},
    {CtlCommand::kPromote, "promote", "Put the trial document into production", true},
    {CtlCommand::kDrain, "drain", "Take a target, entry VM, zone or region out of service", true},
    {CtlCommand::kUndrain, "undrain", "Return what was drained to service", true},
    {CtlCommand::kShow, "show", "Print a document as TOML", false},
    {CtlCommand::kDiff, "diff", "Show how trial and production differ", false},
    {CtlCommand::kHistory, "history", "List the accepted configurations", false},
    {CtlCommand::kStatus, "status", "Show the state of the system", false},
}};

/// Empty when the text may stand in a header field, otherwise what is wrong.
auto CheckLine(const std::string& text) -> std::string {
  if (!text.empty() && IsPlainText(text, kMaxTextBytes)) return "";
  return fmt::format("expected 1 to {} bytes without control characters", kMaxTextBytes);
}

auto CheckWriteId(const std::string& text) -> std::string {
  const bool sound =
      !text.empty() && text.size() <= kMaxWriteIdCharacters &&
      text.find_first_not_of("ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-_.") ==
          std::string::npos;
  if (sound) return "";
  return fmt::format("expected 1 to {} letters, digits, hyphens, underscores and dots",
                     kMaxWriteIdCharacters);
}

auto CheckServer(const std::string& text) -> std::string {
  const auto endpoint = Endpoint::Parse(text);
  return endpoint.ok() ? "" : std::string(endpoint.status().message());
}

class CommandLine {
 public:
  CommandLine() : app_("Operates heatherspan through its documents.", "heatherspanctl") {
    app_.require_subcommand(1);
    app_.fallthrough();
    app_.add_option("--server", servers_, "Administration address of an entry VM; may be repeated")
        ->type_name("IP:PORT")
        ->take_all()
        ->expected(1)
        ->check(CheckServer);
    app_.add_option("--output", output_, "Form of the output")
        ->check(CLI::IsMember({"text", "json"}))
        ->capture_default_str();
    for (const auto& entry : kCommands) AddCommand(entry);
  }

  auto Parse(std::vector<std::string> arguments, CtlContext& context)
      -> std::variant<CtlOptions, ExitCode> {
    try {
      std::reverse(arguments.begin(), arguments.end());  // As CLI11 expects them.
      app_.parse(arguments);
    } catch (const CLI::RequiredError& error) {
      if (ReportUnknownCommand(context)) return ExitCode::kUsage;
      app_.exit(error, context.out, context.err);
      return ExitCode::kUsage;
    } catch (const CLI::ParseError& error) {
      const int code = app_.exit(error, context.out, context.err);
      return code == 0 ? ExitCode::kDone : ExitCode::kUsage;
    }
    return Finish(context);
  }

 private:
  /// CLI11 reports a misspelt command as a missing one.
  auto ReportUnknownCommand(CtlContext& context) const -> bool {
    if (!app_.get_subcommands().empty() || app_.remaining().empty()) return false;
    std::vector<std::string> known;
    known.reserve(kCommands.size());
    for (const auto& entry : kCommands) known.emplace_back(entry.name);
    const auto word = app_.remaining().front();
    const auto nearest = NearestWord(word, known);
    context.err << fmt::format("unknown command \"{}\"; {}\n", word,
                               nearest.empty()
                                   ? fmt::format("known commands: {}", fmt::join(known, ", "))
                                   : fmt::format("did you mean \"{}\"?", nearest));
    return true;
  }

  auto AddCommand(const CommandEntry& entry) -> void {
    auto* command = app_.add_subcommand(entry.name, entry.help);
    command->callback([this, &entry] { options_.command = entry.command; });
    if (entry.changes) AddChangeOptions(*command, entry.command == CtlCommand::kDrain);
    switch (entry.command) {
      case CtlCommand::kCheck:
      case CtlCommand::kPut:
        command->add_option("FILE", options_.file, "The document in TOML")->required();
        break;
      case CtlCommand::kDrain:
      case CtlCommand::kUndrain:
        command->add_option("SCOPE", scope_, "What is drained")
            ->required()
            ->check(CLI::IsMember({"target", "entry-vm", "zone", "region"}));
        command->add_option("NAME", options_.name, "Its name")->required();
        break;
      case CtlCommand::kShow:
        command->add_option("--stage", options_.stage, "Which document")
            ->check(CLI::IsMember({"trial", "production"}))
            ->capture_default_str();
        break;
      default:
        break;
    }
    if (entry.command == CtlCommand::kPut || entry.command == CtlCommand::kPromote) {
      command->add_option("--base-version", options_.base_version,
                          "The version that the change replaces (default: the present one)");
    }
    if (entry.command == CtlCommand::kPromote) {
      command->add_option("--trial-version", options_.trial_version,
                          "The version to promote (default: the present one)");
    }
  }

  auto AddChangeOptions(CLI::App& command, bool reason_required) -> void {
    command.add_option("--reason", options_.reason, "Why; shown to other operators")
        ->required(reason_required)
        ->check(CheckLine);
    command.add_option("--author", options_.author, "Who makes the change (default: the user)")
        ->check(CheckLine);
    command
        .add_option("--write-id", options_.write_id,
                    "Names the change, so that it may be repeated after a lost answer")
        ->check(CheckWriteId);
  }

  auto Finish(CtlContext& context) -> std::variant<CtlOptions, ExitCode> {
    options_.json = output_ == "json";
    if (scope_ == "entry-vm") options_.scope = DrainScope::kEntryVm;
    if (scope_ == "zone") options_.scope = DrainScope::kZone;
    if (scope_ == "region") options_.scope = DrainScope::kRegion;
    for (const auto& server : servers_) options_.servers.push_back(*Endpoint::Parse(server));
    if (options_.author.empty()) options_.author = context.user;
    if (options_.write_id.empty()) options_.write_id = context.random_write_id();
    if (options_.command == CtlCommand::kCheck) return options_;
    if (options_.servers.empty()) {
      context.err << "heatherspanctl: --server IP:PORT is required for this command\n";
      return ExitCode::kUsage;
    }
    if (context.credential.empty()) {
      context.err << "heatherspanctl: the environment variable HEATHERSPAN_ADMIN_CREDENTIAL is not "
                     "set\n";
      return ExitCode::kUsage;
    }
    return options_;
  }

  CLI::App app_;
  CtlOptions options_;
  std::vector<std::string> servers_;
  std::string output_ = "text";
  std::string scope_;
};

}  // namespace

auto ParseCommandLine(const std::vector<std::string>& arguments, CtlContext& context)
    -> std::variant<CtlOptions, ExitCode> {
  return CommandLine().Parse(arguments, context);
}

}  // namespace heatherspan
