/// @file
/// Long random histories of the votes on ownership: never two effective owners.

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
    std::uint64_t owned = 0;
    for (std::uint64_t seed = first; seed < first + histories; ++seed) {
        std::mt19937_64 random(seed);
        bool ever = false;
        if (randomHistoryHasTwoOwners(random, OwnershipDefect::None, steps, &ever)) {
            std::cout << "two effective owners: seed=" << seed << " steps=" << steps << "\n";
            return 1;
        }
        owned += ever ? 1 : 0;
    }
    std::cout << "histories=" << histories << " steps=" << steps << " owned=" << owned
              << " violations=0\n";
    return owned == 0 ? 1 : 0;
}
