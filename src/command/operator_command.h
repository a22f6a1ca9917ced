#pragma once

#include <string>
#include <vector>

namespace bramleypitch {

/// Exit codes of every command.
enum class ExitCode { Done = 0, Refused = 1, Usage = 2, Unknown = 3 };

/// Each runs one operators' command with its arguments and returns when it is done. Failures are
/// thrown; main() prints them and chooses the exit code.

/// Checks a document against trial as `apply` would, without effect.
void runCheck(const std::vector<std::string> &arguments);
/// Puts a document into trial.
void runApply(const std::vector<std::string> &arguments);
/// Puts the document in trial into production.
void runPromote(const std::vector<std::string> &arguments);
/// Takes an availability zone out.
void runDrain(const std::vector<std::string> &arguments);
/// Takes an availability zone back in.
void runRestore(const std::vector<std::string> &arguments);
/// Prints both stages and what each node has in force.
void runStatus(const std::vector<std::string> &arguments);
/// Prints every accepted change, oldest first.
void runAudit(const std::vector<std::string> &arguments);

} // namespace bramleypitch
