#ifndef BALSAMPORT_TESTS_PROCESS_FIXTURE_H
#define BALSAMPORT_TESTS_PROCESS_FIXTURE_H

#include <balsamport/core/clock.h>
#include <balsamport/http/http_client.h>
#include <balsamport/wire/message_client.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdint>
#include <exception>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <optional>
#include <spawn.h>
#include <sstream>
#include <stdexcept>
#include <string>
#include <sys/file.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

/// Runs the built programs on loopback for end-to-end tests. A fixture ends all processes that it
/// started, by process id; its files are in a folder of its own that is removed at the end.
namespace balsamport::testing {

/// @brief Polls a condition every 20 ms until it holds.
/// @return false where it did not hold within the limit
inline bool eventually(Millis limit, const std::function<bool()> &condition)
{
    constexpr std::chrono::milliseconds pause{20};
    const Millis end = monotonicNow() + limit;
    while (!condition()) {
        if (monotonicNow() >= end) {
            return false;
        }
        std::this_thread::sleep_for(pause);
    }
    return true;
}

inline void sleepFor(Millis time)
{
    std::this_thread::sleep_for(std::chrono::milliseconds(time.count()));
}

/// @brief A temporary folder, which the destructor removes with its contents.
///
/// A failed requirement ends a test by an exception: the folder is then kept in the build folder
/// under e2e-failed, and its path is printed.
class TemporaryFolder
{
public:
    TemporaryFolder()
    {
        std::string pattern
                = (std::filesystem::temp_directory_path() / "balsamport-e2e-XXXXXX").string();
        if (mkdtemp(pattern.data()) == nullptr) {
            throw std::runtime_error("cannot create a temporary folder");
        }
        this->folder = pattern;
    }
    ~TemporaryFolder()
    {
        std::error_code ignored;
        if (std::uncaught_exceptions() > this->exceptionsBefore) {
            const std::filesystem::path kept = std::filesystem::path(BALSAMPORT_BIN_DIR)
                    / "e2e-failed" / this->folder.filename();
            std::filesystem::create_directories(kept.parent_path(), ignored);
            std::filesystem::copy(this->folder, kept, std::filesystem::copy_options::recursive,
                                  ignored);
            std::cerr << "The files of the failed test are in " << kept << '\n';
        }
        std::filesystem::remove_all(this->folder, ignored);
    }
    TemporaryFolder(const TemporaryFolder &) = delete;
    TemporaryFolder &operator=(const TemporaryFolder &) = delete;

    [[nodiscard]] const std::filesystem::path &path() const noexcept { return this->folder; }

    void write(const std::string &name, const std::string &content) const
    {
        std::ofstream stream(this->folder / name, std::ios::binary | std::ios::trunc);
        stream << content;
    }
    void remove(const std::string &name) const { std::filesystem::remove(this->folder / name); }

private:
    std::filesystem::path folder;
    int exceptionsBefore = std::uncaught_exceptions();
};

/// @brief Allows one fixture at a time on a machine, because all use the same ports.
class MachineLock
{
public:
    MachineLock()
        : file(open(path().c_str(), O_RDWR | O_CREAT | O_CLOEXEC, 0666))
    {
        if (this->file < 0 || flock(this->file, LOCK_EX) != 0) {
            throw std::runtime_error("cannot lock " + path());
        }
    }
    ~MachineLock() { close(this->file); }
    MachineLock(const MachineLock &) = delete;
    MachineLock &operator=(const MachineLock &) = delete;

private:
    static std::string path()
    {
        return (std::filesystem::temp_directory_path() / "balsamport-e2e.lock").string();
    }
    int file;
};

/// @brief A running program. The destructor kills it by its process id.
class Process
{
public:
    /// @param program name of a built binary, for example "balsamport-controller"
    /// @param logFile receives standard output and standard error
    Process(const std::string &program, const std::vector<std::string> &arguments,
            std::string logFile)
        : log(std::move(logFile))
    {
        std::vector<std::string> command = {std::string(BALSAMPORT_BIN_DIR) + "/" + program};
        command.insert(command.end(), arguments.begin(), arguments.end());
        std::vector<char *> argv;
        for (std::string &word : command) {
            argv.push_back(word.data());
        }
        argv.push_back(nullptr);
        posix_spawn_file_actions_t actions;
        posix_spawn_file_actions_init(&actions);
        constexpr int logMode = 0600;
        posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, this->log.c_str(),
                                         O_WRONLY | O_CREAT | O_APPEND, logMode);
        posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
        const int failure
                = posix_spawn(&this->pid, argv[0], &actions, nullptr, argv.data(), environ);
        posix_spawn_file_actions_destroy(&actions);
        if (failure != 0) {
            throw std::runtime_error("cannot start " + command.front());
        }
    }
    ~Process()
    {
        if (!this->hasEnded()) {
            this->signal(SIGKILL);
            waitpid(this->pid, nullptr, 0);
        }
    }
    Process(const Process &) = delete;
    Process &operator=(const Process &) = delete;

    void signal(int number) const
    {
        if (!this->status) {
            kill(this->pid, number);
        }
    }
    [[nodiscard]] pid_t id() const noexcept { return this->pid; }
    void killNow() { this->signal(SIGKILL); }
    void terminate() { this->signal(SIGTERM); }
    void pause() { this->signal(SIGSTOP); }
    void resume() { this->signal(SIGCONT); }

    /// @return true where the program has exited or was ended by a signal
    bool hasEnded()
    {
        int raw = 0;
        if (!this->status && waitpid(this->pid, &raw, WNOHANG) == this->pid) {
            this->status = raw;
        }
        return this->status.has_value();
    }

    /// @return the exit code; -1 where a signal ended it; empty where it still runs at the limit
    std::optional<int> waitForExit(Millis limit)
    {
        if (!eventually(limit, [this] { return this->hasEnded(); })) {
            return std::nullopt;
        }
        return WIFEXITED(*this->status) ? WEXITSTATUS(*this->status) : -1;
    }

    [[nodiscard]] std::string logText() const
    {
        std::ifstream stream(this->log);
        std::ostringstream text;
        text << stream.rdbuf();
        return text.str();
    }

private:
    std::string log;
    pid_t pid = 0;
    std::optional<int> status;
};

/// @brief A VM of the fleet under test.
struct VmSpec
{
    std::string id;
    std::string dataCentre;
    std::uint16_t controllerPort = 0;
    std::uint16_t gatewayPort = 0;

    [[nodiscard]] std::string controllerEndpoint() const
    {
        return "tcp://127.0.0.1:" + std::to_string(this->controllerPort);
    }
    [[nodiscard]] std::string gatewayAddress() const
    {
        return "127.0.0.1:" + std::to_string(this->gatewayPort);
    }
};

/// @brief A platform, VMs and backend servers on loopback.
///
/// Example:
///
///     FleetFixture fleet(24100);
///     fleet.writeConfig("10-base.ini", text);
///     fleet.addVm({"a1", "a", 24110, 24111});
///     fleet.startPlatform();
///     fleet.startController("a1");
class FleetFixture
{
public:
    /// @param platformPort port that the platform's stand-in listens on
    explicit FleetFixture(std::uint16_t platformPort)
        : port(platformPort)
        , messages({"test", 1}, {})
    {
        std::filesystem::create_directory(this->configFolder());
    }

    /// @name Configuration and VM list
    /// @{
    void writeConfig(const std::string &name, const std::string &text) const
    {
        this->folder.write("config/" + name, text);
    }
    void removeConfig(const std::string &name) const { this->folder.remove("config/" + name); }
    void addVm(const VmSpec &vm) { this->vms[vm.id] = vm; }
    /// Sets the platform's list of VMs, in order; those in `draining` are listed as draining.
    void setVmList(const std::vector<std::string> &ids,
                   const std::vector<std::string> &draining = {})
    {
        this->listed = ids;
        this->drainingVms = draining;
        this->folder.write("vms.json", this->vmsJson());
        if (this->platform) {
            this->post("/admin/vms", this->vmsJson());
        }
    }
    /// Publishes the current files of the folder as a revision. Returns the response's body.
    std::string publish() { return this->post("/admin/reload", ""); }
    /// Sets a mode of the platform's stand-in, for example "down=1" or "stale=1".
    std::string setMode(const std::string &query) { return this->post("/admin/mode?" + query, ""); }
    /// @}

    /// @name Processes
    /// @{
    void startPlatform(const std::vector<std::string> &further = {})
    {
        std::vector<std::string> arguments = {"platform",
                                              "--listen",
                                              this->platformAddress(),
                                              "--folder",
                                              this->configFolder(),
                                              "--vms",
                                              (this->folder.path() / "vms.json").string()};
        arguments.insert(arguments.end(), further.begin(), further.end());
        this->platform = this->spawn("balsamport-standin", arguments, "platform");
        this->waitForHttp(this->platformAddress(), "/admin/calls");
    }
    void stopPlatform() { this->platform.reset(); }

    /// @param further additional settings, each KEY=VALUE
    void startController(const std::string &vmId, const std::vector<std::string> &further = {})
    {
        const VmSpec &vm = this->vms.at(vmId);
        std::string peers;
        for (const auto &[id, other] : this->vms) {
            peers += (peers.empty() ? "" : ",") + other.controllerEndpoint();
        }
        std::vector<std::string> settings = {"vm.id=" + vm.id,
                                             "vm.data-centre=" + vm.dataCentre,
                                             "vm.gateway-address=" + vm.gatewayAddress(),
                                             "controller.endpoint=" + vm.controllerEndpoint(),
                                             "platform.address=" + this->platformAddress(),
                                             "peers.endpoints=" + peers};
        settings.insert(settings.end(), further.begin(), further.end());
        this->controllers.erase(vmId);
        this->controllers[vmId]
                = this->spawn("balsamport-controller", asSets(settings), "controller-" + vmId);
    }
    void startGateway(const std::string &vmId, const std::vector<std::string> &further = {})
    {
        const VmSpec &vm = this->vms.at(vmId);
        std::vector<std::string> settings = {"vm.id=" + vm.id, "vm.data-centre=" + vm.dataCentre,
                                             "gateway.listen=" + vm.gatewayAddress(),
                                             "controller.endpoint=" + vm.controllerEndpoint()};
        settings.insert(settings.end(), further.begin(), further.end());
        this->gateways.erase(vmId);
        this->gateways[vmId]
                = this->spawn("balsamport-gateway", asSets(settings), "gateway-" + vmId);
    }
    /// Starts an engine or a service. `kind` is a subcommand of balsamport-standin.
    void startBackendServer(const std::string &kind, const std::string &id,
                            std::uint16_t listenPort, const std::vector<std::string> &further = {})
    {
        const std::string address = "127.0.0.1:" + std::to_string(listenPort);
        std::vector<std::string> arguments = {kind, "--listen", address, "--id", id};
        arguments.insert(arguments.end(), further.begin(), further.end());
        this->backendServers.erase(id);
        this->backendServers[id] = this->spawn("balsamport-standin", arguments, id);
    }
    Process &controller(const std::string &vmId) { return *this->controllers.at(vmId); }
    Process &gateway(const std::string &vmId) { return *this->gateways.at(vmId); }
    Process &backendServer(const std::string &id) { return *this->backendServers.at(id); }
    /// @}

    /// @name Queries
    /// @{
    std::optional<wire::StatusReply> status(const std::string &vmId)
    {
        wire::Envelope message;
        message.mutable_status_request();
        const auto reply = this->callController(vmId, std::move(message));
        if (!reply || !reply->has_status_reply()) {
            return std::nullopt;
        }
        return reply->status_reply();
    }
    std::optional<wire::Envelope> callController(const std::string &vmId, wire::Envelope message)
    {
        constexpr Millis replyTimeout{500};
        const auto reply = this->messages.call(this->vms.at(vmId).controllerEndpoint(),
                                               std::move(message), replyTimeout);
        return reply.has_value() ? std::optional(reply.value()) : std::nullopt;
    }
    std::optional<wire::MembersReply> members(const std::string &vmId)
    {
        wire::Envelope message;
        message.mutable_members_pull();
        const auto reply = this->callController(vmId, std::move(message));
        if (!reply || !reply->has_members_reply()) {
            return std::nullopt;
        }
        return reply->members_reply();
    }
    /// The owner of a backend server in the view of a VM; empty where none is known.
    std::string ownerOf(const std::string &backendServer, const std::string &seenBy)
    {
        const auto reply = this->members(seenBy);
        if (!reply) {
            return {};
        }
        for (const wire::OwnerEntry &owner : reply->owners()) {
            if (owner.backend_server() == backendServer) {
                return owner.vm();
            }
        }
        return {};
    }
    std::uint64_t revisionAt(const std::string &vmId)
    {
        const auto reply = this->status(vmId);
        return reply ? reply->config_revision() : 0;
    }
    HttpClient &http() { return this->httpClient; }
    [[nodiscard]] std::string platformAddress() const
    {
        return "127.0.0.1:" + std::to_string(this->port);
    }
    [[nodiscard]] const std::filesystem::path &path() const { return this->folder.path(); }
    std::string get(const std::string &address, const std::string &target)
    {
        OutgoingRequest request;
        request.url = "http://" + address + target;
        request.timeout = Millis(2'000);
        const auto response = this->httpClient.fetch(std::move(request));
        return response.has_value() ? response.value().body : std::string();
    }
    bool waitForHttp(const std::string &address, const std::string &target)
    {
        return eventually(Millis(10'000), [&] { return !this->get(address, target).empty(); });
    }
    /// @}

private:
    [[nodiscard]] std::string configFolder() const
    {
        return (this->folder.path() / "config").string();
    }
    static std::vector<std::string> asSets(const std::vector<std::string> &settings)
    {
        std::vector<std::string> arguments;
        for (const std::string &setting : settings) {
            arguments.emplace_back("--set");
            arguments.push_back(setting);
        }
        return arguments;
    }
    std::unique_ptr<Process> spawn(const std::string &program,
                                   const std::vector<std::string> &arguments,
                                   const std::string &name)
    {
        const std::string log = (this->folder.path() / (name + ".log")).string();
        return std::make_unique<Process>(program, arguments, log);
    }
    std::string post(const std::string &target, const std::string &body)
    {
        OutgoingRequest request;
        request.method = "POST";
        request.url = "http://" + this->platformAddress() + target;
        request.body = body;
        request.timeout = Millis(5'000);
        // These requests are idempotent. A reused connection may have been closed by the platform.
        constexpr int attempts = 3;
        for (int i = 0; i < attempts; ++i) {
            const auto response = this->httpClient.fetch(request);
            if (response.has_value()) {
                return response.value().body;
            }
        }
        throw std::runtime_error("no response of the platform to " + target);
    }
    std::string vmsJson() const
    {
        std::string json = "{\"vms\":[";
        for (const std::string &id : this->listed) {
            const VmSpec &vm = this->vms.at(id);
            const bool draining = std::find(this->drainingVms.begin(), this->drainingVms.end(), id)
                    != this->drainingVms.end();
            json += (json.back() == '[' ? "" : ",");
            json += R"({"id":")" + id + R"(","data_centre":")" + vm.dataCentre
                    + R"(","controller":")" + vm.controllerEndpoint() + R"(","gateway":")"
                    + vm.gatewayAddress() + R"(","state":")" + (draining ? "leaving" : "live")
                    + "\"}";
        }
        return json + "]}";
    }

    const MachineLock lock;
    const std::uint16_t port;
    TemporaryFolder folder;
    HttpClient httpClient;
    MessageClient messages;
    std::map<std::string, VmSpec> vms;
    std::vector<std::string> listed;
    std::vector<std::string> drainingVms;
    std::unique_ptr<Process> platform;
    std::map<std::string, std::unique_ptr<Process>> backendServers;
    std::map<std::string, std::unique_ptr<Process>> controllers;
    std::map<std::string, std::unique_ptr<Process>> gateways;
};

} // namespace balsamport::testing

#endif
