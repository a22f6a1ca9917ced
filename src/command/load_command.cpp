#include "command/load_command.h"

#include "command/file_func.h"
#include "core/error_type.h"
#include "load/generator.h"
#include "network/address_func.h"
#include "settings/settings.h"

#include <csignal>
#include <fstream>
#include <iostream>

namespace bramleypitch {

void runLoad(const std::vector<std::string> &arguments)
{
    const Settings settings(arguments, {Setting::Entries, Setting::Mix});
    if (!settings.isGiven(Setting::Entries) || !settings.isGiven(Setting::Mix))
        throw Failure(ErrorCode::MissingSetting, "entries, mix: both must be given");
    std::signal(SIGPIPE, SIG_IGN);
    EventLoop loop;
    load::GeneratorOptions options;
    options.entry = settings.address(Setting::Entries);
    options.ratePerSecond = static_cast<double>(settings.integer(Setting::RatePerSecond));
    options.duration = Duration(settings.integer(Setting::DurationS) * 1'000);
    options.seed =
        static_cast<std::uint64_t>(std::max<std::int64_t>(1, settings.integer(Setting::Seed)));
    load::Generator generator(loop, load::parseMix(readFile(settings.text(Setting::Mix))), options);
    const load::Result result =
        generator.run([](const std::string &line) { std::cerr << line << "\n"; });
    std::cout << load::formatResultTable(result);
    if (settings.isGiven(Setting::Output))
        std::ofstream(settings.text(Setting::Output)) << load::formatResultJson(result) << "\n";
}

} // namespace bramleypitch
