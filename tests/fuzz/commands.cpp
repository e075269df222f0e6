/// @file
/// Runs long random histories of cut links, silent connections, pauses and restarts in which all
/// daemons command one engine. Exits with 1 where the engine's commands break the rule of one
/// holder.

#include <command_world.h>

#include <boost/program_options.hpp>

#include <iostream>

namespace po = boost::program_options;

int main(int argc, char **argv)
{
    using namespace balsamport::testing;
    po::options_description options("fuzz-commands");
    options.add_options()("help", "print this help")(
            "seed", po::value<std::uint64_t>()->default_value(1), "first seed")(
            "histories", po::value<std::uint64_t>()->default_value(2'000), "number of histories")(
            "steps", po::value<std::size_t>()->default_value(200), "events in each history")(
            "keep-models", "engines restart with their base model in place")(
            "all-runs", "judge refused commands that were meant for an earlier run, too")(
            "engines", po::value<std::string>()->default_value("exclusive"),
            "how they answer reservations: exclusive, grant-all or refuse-all; daemons are cut off "
            "from each other unless they are exclusive");
    po::variables_map values;
    po::store(po::parse_command_line(argc, argv, options), values);
    if (values.count("help") != 0) {
        std::cout << options;
        return 0;
    }
    const auto first = values["seed"].as<std::uint64_t>();
    const auto histories = values["histories"].as<std::uint64_t>();
    const auto steps = values["steps"].as<std::size_t>();
    CommandConditions conditions;
    conditions.keepsModel = values.count("keep-models") != 0;
    conditions.allRuns = values.count("all-runs") != 0;
    const auto engines = values["engines"].as<std::string>();
    if (engines != "exclusive" && engines != "grant-all" && engines != "refuse-all") {
        std::cerr << "fuzz-commands: unknown kind of engines; see --help\n";
        return 2;
    }
    conditions.engine = engines == "exclusive" ? EngineKind::Exclusive
            : engines == "grant-all"           ? EngineKind::GrantAll
                                               : EngineKind::RefuseAll;
    std::size_t counted = 0;
    std::size_t violations = 0;
    for (std::uint64_t seed = first; seed < first + histories; ++seed) {
        std::mt19937_64 random(seed);
        const CommandHistory history = playCommands(
                seed, drawCommandSteps(random, steps, conditions.engine != EngineKind::Exclusive),
                conditions);
        if (!history.violation.empty()) {
            ++violations;
            std::cout << history.violation << ": seed=" << seed << " steps=" << steps << "\n";
        }
        counted += history.counted;
    }
    std::cout << "histories=" << histories << " steps=" << steps << " commands=" << counted
              << " violations=" << violations << "\n";
    return counted == 0 || violations != 0 ? 1 : 0;
}
