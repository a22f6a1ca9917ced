#include "command/load_command.h"
#include "command/operator_command.h"
#include "command/serve_command.h"
#include "core/error_type.h"
#include "settings/settings.h"

#include <iostream>
#include <map>

namespace {

using namespace bramleypitch;

using Command = void (*)(const std::vector<std::string> &);

const std::map<std::string, Command> &commands()
{
    static const std::map<std::string, Command> table {
        {"serve", runServe},     {"check", runCheck},     {"apply", runApply},
        {"promote", runPromote}, {"status", runStatus},   {"audit", runAudit},
        {"drain", runDrain},     {"restore", runRestore}, {"load", runLoad}};
    return table;
}

void printUsage(std::ostream &out)
{
    out << "usage: bramleypitch COMMAND [--SETTING=VALUE ...] [OPERAND]\n"
           "\n"
           "  serve            run an entry node\n"
           "  check FILE       validate a document and print what apply would change\n"
           "  apply FILE       apply a document to the trial stage\n"
           "  promote          promote the trial document to production\n"
           "  drain ZONE       take an availability zone out of service\n"
           "  restore ZONE     return an availability zone to service\n"
           "  status           print both stages and the state of each node\n"
           "  audit            print all accepted changes\n"
           "  load             generate load on a running system and print the results\n"
           "\nsettings:\n"
        << settingsHelp();
}

ExitCode exitCodeFor(ErrorCode code)
{
    switch (code) {
    case ErrorCode::UnknownFlag:
    case ErrorCode::MissingSetting:
    case ErrorCode::InvalidSetting:
    case ErrorCode::SettingOutOfBounds:
    case ErrorCode::AddressUnavailable:
        return ExitCode::Usage;
    case ErrorCode::OutcomeUnknown:
        return ExitCode::OutcomeUnknown;
    default:
        return ExitCode::Refused;
    }
}

ExitCode run(const std::vector<std::string> &arguments)
{
    const auto found = arguments.empty() ? commands().end() : commands().find(arguments.front());
    if (found == commands().end()) {
        const bool isHelpRequest =
            !arguments.empty() && (arguments.front() == "help" || arguments.front() == "--help");
        printUsage(isHelpRequest ? std::cout : std::cerr);
        return isHelpRequest ? ExitCode::Success : ExitCode::Usage;
    }
    try {
        found->second({arguments.begin() + 1, arguments.end()});
        return ExitCode::Success;
    } catch (const Failure &failure) {
        std::cerr << errorName(failure.code()) << ": " << failure.what() << "\n";
        return exitCodeFor(failure.code());
    } catch (const std::exception &error) {
        std::cerr << errorName(ErrorCode::Internal) << ": " << error.what() << "\n";
        return exitCodeFor(ErrorCode::Internal);
    }
}

} // namespace

int main(int argc, char **argv)
{
    return static_cast<int>(run({argv + 1, argv + argc}));
}
