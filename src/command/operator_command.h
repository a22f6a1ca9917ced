#pragma once

#include <string>
#include <vector>

namespace bramleypitch {

/// Exit codes of all commands.
enum class ExitCode { Success = 0, Refused = 1, Usage = 2, OutcomeUnknown = 3 };

/// Each function below runs one operator command to its end. Errors are thrown as Failure; main()
/// prints them and selects the exit code.

/// Validates a document against the trial stage as `apply` does, without writing it.
void runCheck(const std::vector<std::string> &arguments);
/// Applies a document to the trial stage.
void runApply(const std::vector<std::string> &arguments);
/// Promotes the trial document to production.
void runPromote(const std::vector<std::string> &arguments);
/// Takes an availability zone out of service.
void runDrain(const std::vector<std::string> &arguments);
/// Returns an availability zone to service.
void runRestore(const std::vector<std::string> &arguments);
/// Prints both stages and the configuration that is active on each node.
void runStatus(const std::vector<std::string> &arguments);
/// Prints all accepted changes of each stage, oldest first.
void runAudit(const std::vector<std::string> &arguments);

} // namespace bramleypitch
