#include "standin.h"

#include <balsamport/core/log.h>
#include <balsamport/core/settings.h>

#include <csignal>
#include <iostream>
#include <map>

namespace po = boost::program_options;
using namespace balsamport;
using namespace balsamport::standin;

namespace {

constexpr std::uint64_t maxBodyBytes = 16'777'216;

struct Kind
{
    po::options_description (*options)();
    HttpHandler (*make)(const Options &);
};

const std::map<std::string, Kind> &kinds()
{
    static const std::map<std::string, Kind> all{
            {"platform", {platformOptions, makePlatform}},
            {"engine", {engineOptions, makeEngine}},
            {"service", {serviceOptions, makeService}},
    };
    return all;
}

void printHelp()
{
    std::cout << "balsamport-standin: a small fake of a system that balsamport meets, for the demo "
                 "and tests\n\nUsage: balsamport-standin platform|engine|service OPTIONS\n";
    for (const auto &[name, kind] : kinds()) {
        std::cout << "\n" << name << "\n" << kind.options();
    }
}

int serve(const std::string &name, const Kind &kind, const Options &options)
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    HttpServerSettings settings;
    settings.address = options["listen"].as<std::string>();
    settings.maxBodyBytes = maxBodyBytes;
    const auto server = HttpServer::start(settings, kind.make(options));
    if (server.has_error()) {
        std::cerr << "balsamport-standin: " << describe(server.error()) << "\n";
        return exitcode::failure;
    }
    LOG(INFO) << logprefix::standin << "Listening. kind=" << name
              << " address=" << settings.address;
    int received = 0;
    sigwait(&signals, &received);
    LOG(INFO) << logprefix::standin << "Stopped. kind=" << name << " signal=" << received;
    return exitcode::success;
}

int run(int argc, char **argv)
{
    const std::string name = argc > 1 ? argv[1] : "--help";
    if (name == "--help") {
        printHelp();
        return exitcode::success;
    }
    if (name == "--version") {
        std::cout << "balsamport-standin " << BALSAMPORT_VERSION << "\n";
        return exitcode::success;
    }
    const auto kind = kinds().find(name);
    if (kind == kinds().end()) {
        std::cerr << "balsamport-standin: there is no stand-in \"" << name << "\"\n";
        return exitcode::usage;
    }
    po::options_description all = kind->second.options();
    all.add_options()("listen", po::value<std::string>()->required(), "IP:PORT to listen on");
    Options options;
    po::store(po::command_line_parser(argc - 1, argv + 1).options(all).run(), options);
    po::notify(options);
    startLogging("balsamport-standin");
    return serve(name, kind->second, options);
}

} // namespace

int main(int argc, char **argv)
{
    try {
        return run(argc, argv);
    } catch (const std::exception &error) {
        std::cerr << "balsamport-standin: " << error.what() << "\n";
        return exitcode::usage;
    }
}
