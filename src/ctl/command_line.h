#pragma once

#include <string>
#include <variant>
#include <vector>

#include "ctl/ctl_context.h"
#include "ctl/ctl_options.h"
#include "ctl/exit_code.h"

namespace heatherspan {

/// Reads the arguments behind the program's name. When there is nothing to run, because help was
/// asked for or an argument is wrong, it prints what to know and gives the exit code.
auto ParseCommandLine(const std::vector<std::string>& arguments, CtlContext& context)
    -> std::variant<CtlOptions, ExitCode>;

}  // namespace heatherspan
