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
    static const std::map<std::string, Command> all {
        {"serve", runServe},     {"check", runCheck},     {"apply", runApply},
        {"promote", runPromote}, {"status", runStatus},   {"audit", runAudit},
        {"drain", runDrain},     {"restore", runRestore}, {"load", runLoad}};
    return all;
}

void printUsage(std::ostream &out)
{
    out << "usage: bramleypitch COMMAND [--SETTING=VALUE ...] [OPERAND]\n"
           "\n"
           "  serve            run an entry node\n"
           "  check FILE       say what apply would do, without effect\n"
           "  apply FILE       put a document into trial\n"
           "  promote          put the document in trial into production\n"
           "  drain ZONE       take an availability zone out\n"
           "  restore ZONE     take an availability zone back in\n"
           "  status           what is in force, and where\n"
           "  audit            every accepted change\n"
           "  load             put load on a running system and report\n"
           "\nsettings:\n"
        << settingsHelp();
}

ExitCode exitCodeOf(ErrorCode code)
{
    switch (code) {
    case ErrorCode::UnknownFlag:
    case ErrorCode::MissingSetting:
    case ErrorCode::InvalidSetting:
    case ErrorCode::SettingOutOfBounds:
        return ExitCode::Usage;
    case ErrorCode::OutcomeUnknown:
        return ExitCode::Unknown;
    default:
        return ExitCode::Refused;
    }
}

ExitCode run(const std::vector<std::string> &arguments)
{
    const auto found = arguments.empty() ? commands().end() : commands().find(arguments.front());
    if (found == commands().end()) {
        const bool asked =
            !arguments.empty() && (arguments.front() == "help" || arguments.front() == "--help");
        printUsage(asked ? std::cout : std::cerr);
        return asked ? ExitCode::Done : ExitCode::Usage;
    }
    try {
        found->second({arguments.begin() + 1, arguments.end()});
        return ExitCode::Done;
    } catch (const Failure &failure) {
        std::cerr << errorName(failure.code()) << ": " << failure.what() << "\n";
        return exitCodeOf(failure.code());
    }
}

} // namespace

int main(int argc, char **argv)
{
    return static_cast<int>(run({argv + 1, argv + argc}));
}
