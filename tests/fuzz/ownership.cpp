/// @file
/// Runs long random histories of votes on ownership, in which no backend server may ever have two
/// effective owners. Exits with 1 where one has, or where no history had an owner.

#include <ownership_cluster.h>

#include <boost/program_options.hpp>

#include <iostream>

namespace po = boost::program_options;

int main(int argc, char **argv)
{
    using namespace balsamport::testing;
    po::options_description options("fuzz-ownership");
    options.add_options()("help", "print this help")(
            "seed", po::value<std::uint64_t>()->default_value(1), "first seed")(
            "histories", po::value<std::uint64_t>()->default_value(5'000), "number of histories")(
            "steps", po::value<std::size_t>()->default_value(300), "events in each history");
    po::variables_map values;
    po::store(po::parse_command_line(argc, argv, options), values);
    if (values.count("help") != 0) {
        std::cout << options;
        return 0;
    }
    const auto first = values["seed"].as<std::uint64_t>();
    const auto histories = values["histories"].as<std::uint64_t>();
    const auto steps = values["steps"].as<std::size_t>();
    std::uint64_t ownedHistories = 0;
    for (std::uint64_t seed = first; seed < first + histories; ++seed) {
        std::mt19937_64 random(seed);
        bool hadOwner = false;
        if (randomHistoryHasTwoOwners(random, OwnershipDefect::None, steps, &hadOwner)) {
            std::cout << "two effective owners: seed=" << seed << " steps=" << steps << "\n";
            return 1;
        }
        ownedHistories += hadOwner ? 1 : 0;
    }
    std::cout << "histories=" << histories << " steps=" << steps << " owned=" << ownedHistories
              << " violations=0\n";
    return ownedHistories == 0 ? 1 : 0;
}
