#include "policy_bench/baseline.h"
#include "policy_bench/fleet.h"

#include <boost/program_options.hpp>

#include <array>
#include <atomic>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <list>
#include <mutex>
#include <sstream>
#include <thread>

using namespace balsamport;
using namespace balsamport::bench;

namespace {

constexpr double stallBoundMillis = 360; ///< First token within 0.36 s for 95 % of requests.
constexpr double tailBoundFactor = 0.25; ///< Of the 99th percentile of least-loaded.
constexpr double fillBoundFactor = 1.5; ///< Of the batch fill of random.
constexpr std::size_t calibrationRequests = 200'000;

/// One cell and the results of all policies in it.
struct Cell
{
    CellOptions options;
    double rate = 0; ///< Requests per second, except in the month-end peak.
    std::array<CellResult, 3> baselines; ///< In the order of Baseline.
    std::array<CellResult, 2> ours; ///< weightPercent 0 and 100.
};

const std::array<const char *, 3> baselineNames{"random", "least-loaded", "rendezvous"};
const std::array<const char *, 2> ourNames{"ours-w0", "ours-w100"};
const std::array<std::uint32_t, 2> ourWeights{0, 100};

const char *nameOf(Fault fault)
{
    switch (fault) {
    case Fault::None:
        return "steady";
    case Fault::MonthEnd:
        return "month-end";
    case Fault::Reshuffle:
        return "reshuffle";
    case Fault::ColdStart:
        return "cold-start";
    case Fault::FailingLoads:
        return "failing-loads";
    case Fault::StaleReports:
        return "stale-reports";
    }
    return "";
}

std::string labelOf(const CellOptions &options)
{
    std::ostringstream out;
    out << (options.reading == StoreReading::Serial ? "serial" : "shared") << "/s" << options.skew
        << "/d" << options.demand << "/" << nameOf(options.fault);
    return out.str();
}

/// Returns the share of requests that need a load under plain rendezvous hashing with LRU and
/// unlimited loads.
double missShare(double skew, std::uint64_t seed)
{
    std::mt19937_64 random(seed + 99);
    const Popularity popularity(skew, random);
    std::vector<std::uint32_t> preferred;
    for (std::uint32_t adapter = 0; adapter < sizes::adapters; ++adapter) {
        preferred.push_back(rendezvousServer(adapter));
    }
    std::vector<std::list<std::uint32_t>> slots(sizes::servers);
    std::size_t misses = 0;
    for (std::size_t i = 0; i < calibrationRequests; ++i) {
        const std::uint32_t adapter = popularity.draw(random);
        std::list<std::uint32_t> &resident = slots[preferred[adapter]];
        const auto found = std::find(resident.begin(), resident.end(), adapter);
        if (found != resident.end()) {
            resident.erase(found);
        } else {
            ++misses;
        }
        resident.push_front(adapter);
        if (resident.size() > sizes::slots) {
            resident.pop_back();
        }
    }
    return static_cast<double>(misses) / static_cast<double>(calibrationRequests);
}

void runCell(Cell &cell)
{
    cell.rate = cell.options.demand * sizes::loadsPerSecond
            / missShare(cell.options.skew, cell.options.seed);
    const std::vector<Arrival> trace = drawTrace(cell.options, cell.rate);
    for (std::size_t i = 0; i < cell.baselines.size(); ++i) {
        BaselineFleet fleet(static_cast<Baseline>(i), cell.options);
        cell.baselines[i] = fleet.run(trace);
    }
    for (std::size_t i = 0; i < cell.ours.size(); ++i) {
        PolicyFleet fleet(cell.options, ourWeights[i]);
        cell.ours[i] = fleet.run(trace);
    }
}

void printRow(std::ostream &out, const std::string &label, const char *name, CellResult &result)
{
    const double linkMegabytes = static_cast<double>(result.linkBytes) / 1e6;
    out << std::left << std::setw(33) << label << std::setw(13) << name << std::right
        << std::setw(7) << result.requests << std::setw(7) << result.stall(0.5) << std::setw(7)
        << result.stall(0.95) << std::setw(7) << result.stall(0.99) << std::setw(7) << std::fixed
        << std::setprecision(3) << result.fill() << std::setw(7) << result.loads << std::setw(8)
        << std::setprecision(0) << linkMegabytes << std::setw(7) << result.refused << std::setw(7)
        << result.missed << "\n"
        << std::defaultfloat << std::setprecision(6);
}

/// One bound that a cell must meet.
struct Check
{
    std::string cell;
    std::string description;
    double value = 0;
    double bound = 0;
    bool atLeast = false;

    [[nodiscard]] bool holds() const noexcept
    {
        return this->atLeast ? this->value >= this->bound : this->value <= this->bound;
    }
};

std::vector<Check> checksOf(Cell &cell)
{
    std::vector<Check> checks;
    const std::string label = labelOf(cell.options);
    for (std::size_t i = 0; i < cell.ours.size(); ++i) {
        CellResult &ours = cell.ours[i];
        const std::string name = label + "/" + ourNames[i];
        const auto p95 = static_cast<double>(ours.stall(0.95));
        if (cell.options.demand == 0.5) {
            checks.push_back({name, "p95 within 360 ms", p95, stallBoundMillis});
        }
        if (cell.options.demand < 1) {
            const auto leastLoaded = static_cast<double>(cell.baselines[1].stall(0.99));
            checks.push_back({name, "p99 at most 1/4 of least-loaded",
                              static_cast<double>(ours.stall(0.99)),
                              leastLoaded * tailBoundFactor});
        }
        for (std::size_t b = 0; b < cell.baselines.size(); ++b) {
            checks.push_back({name, std::string("p95 no worse than ") + baselineNames[b], p95,
                              static_cast<double>(cell.baselines[b].stall(0.95))});
        }
        checks.push_back({name, "fill at least 1.5 x random", ours.fill(),
                          cell.baselines[0].fill() * fillBoundFactor, true});
        checks.push_back(
                {name, "store never exceeded", static_cast<double>(ours.storeExceeded), 0});
        checks.push_back(
                {name, "no pinned eviction", static_cast<double>(ours.pinnedEvictions), 0});
    }
    return checks;
}

std::vector<Cell> makeCells(const std::string &only, std::uint64_t seed)
{
    std::vector<Cell> cells;
    for (const StoreReading reading : {StoreReading::Shared, StoreReading::Serial}) {
        for (const Fault fault : {Fault::None, Fault::MonthEnd, Fault::Reshuffle, Fault::ColdStart,
                                  Fault::FailingLoads, Fault::StaleReports}) {
            for (const double skew : {0.9, 1.1, 1.3}) {
                for (const double demand : {0.5, 0.9, 1.5}) {
                    Cell cell;
                    cell.options.skew = skew;
                    cell.options.demand = demand;
                    cell.options.fault = fault;
                    cell.options.reading = reading;
                    cell.options.seed = seed;
                    if (labelOf(cell.options).find(only) != std::string::npos) {
                        cells.push_back(cell);
                    }
                }
            }
        }
    }
    return cells;
}

void runAll(std::vector<Cell> &cells, unsigned threads)
{
    std::atomic<std::size_t> next{0};
    std::vector<std::thread> workers;
    for (unsigned i = 0; i < threads; ++i) {
        workers.emplace_back([&cells, &next] {
            for (std::size_t at = next++; at < cells.size(); at = next++) {
                runCell(cells[at]);
            }
        });
    }
    for (std::thread &worker : workers) {
        worker.join();
    }
}

void writePlotData(const std::string &file, std::vector<Cell> &cells)
{
    std::ofstream out(file);
    out << "# demand skew p95_ms and fill of random, least-loaded, rendezvous, ours-w0, "
           "ours-w100\n";
    for (Cell &cell : cells) {
        const bool shown
                = cell.options.fault == Fault::None && cell.options.reading == StoreReading::Shared;
        if (!shown) {
            continue;
        }
        out << cell.options.demand << " " << cell.options.skew;
        for (CellResult &result : cell.baselines) {
            out << " " << result.stall(0.95) << " " << result.fill();
        }
        for (CellResult &result : cell.ours) {
            out << " " << result.stall(0.95) << " " << result.fill();
        }
        out << "\n";
    }
}

int printResults(std::vector<Cell> &cells, bool missesOnly)
{
    std::cout << std::left << std::setw(33) << "reading/skew/demand/fault" << std::setw(13)
              << "policy" << std::right << std::setw(7) << "reqs" << std::setw(7) << "p50"
              << std::setw(7) << "p95" << std::setw(7) << "p99" << std::setw(7) << "fill"
              << std::setw(7) << "loads" << std::setw(8) << "link-MB" << std::setw(7) << "refus"
              << std::setw(7) << "missed"
              << "\n";
    std::size_t count = 0;
    std::vector<Check> misses;
    for (Cell &cell : cells) {
        const std::string label = labelOf(cell.options);
        for (std::size_t i = 0; i < cell.baselines.size() && !missesOnly; ++i) {
            printRow(std::cout, label, baselineNames[i], cell.baselines[i]);
        }
        for (std::size_t i = 0; i < cell.ours.size() && !missesOnly; ++i) {
            printRow(std::cout, label, ourNames[i], cell.ours[i]);
        }
        for (const Check &check : checksOf(cell)) {
            ++count;
            if (!check.holds()) {
                misses.push_back(check);
            }
        }
    }
    for (const Check &miss : misses) {
        std::cout << "MISS " << miss.cell << ": " << miss.description << ": " << miss.value
                  << " against " << miss.bound << "\n";
    }
    std::cout << "bounds: checked=" << count << " missed=" << misses.size() << "\n";
    return misses.empty() ? 0 : 1;
}

} // namespace

int main(int argc, char **argv)
{
    namespace po = boost::program_options;
    po::options_description options("bench-policy: routing, slots and loads in virtual time");
    options.add_options()("help", "show this text")(
            "only", po::value<std::string>()->default_value(""), "run cells whose name has this")(
            "seed", po::value<std::uint64_t>()->default_value(20261204), "seed of the traces")(
            "threads", po::value<unsigned>()->default_value(4), "cells run at once")(
            "plot-data", po::value<std::string>(), "write the steady cells for the plot")(
            "misses-only", po::bool_switch(), "print no table");
    po::variables_map values;
    try {
        po::store(po::parse_command_line(argc, argv, options), values);
    } catch (const po::error &error) {
        std::cerr << error.what() << "\n" << options;
        return 2;
    }
    if (values.count("help") > 0) {
        std::cout << options;
        return 0;
    }
    const auto seed = values["seed"].as<std::uint64_t>();
    std::vector<Cell> cells = makeCells(values["only"].as<std::string>(), seed);
    runAll(cells, std::max(1U, values["threads"].as<unsigned>()));
    std::cout << "seed=" << seed << " stalls in ms; a refused request counts its deadline of "
              << sizes::requestDeadline.count() << "\n";
    if (values.count("plot-data") > 0) {
        writePlotData(values["plot-data"].as<std::string>(), cells);
    }
    return printResults(cells, values["misses-only"].as<bool>());
}
