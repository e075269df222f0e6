#include "controllers.h"

#include <balsamport/core/hash.h>
#include <balsamport/wire/key_files.h>

#include <unistd.h>

#include <algorithm>
#include <condition_variable>
#include <iostream>
#include <map>
#include <mutex>
#include <random>

namespace balsamport::ctl {

namespace {

constexpr int maxPullRounds = 1'000;

/// Collects the replies of several controllers.
class Replies
{
public:
    explicit Replies(std::size_t count)
        : results(count, Error{ErrorCode::Timeout, "no response", SourceLocation{}})
    { }

    void record(std::size_t index, const Result<wire::Envelope> &reply)
    {
        const std::lock_guard lock(this->mutex);
        this->results[index] = reply;
        ++this->received;
        if (this->results.size() > 1 && isatty(STDERR_FILENO) != 0) {
            std::cerr << "\rasked " << this->received << " of " << this->results.size()
                      << (this->received == this->results.size() ? "\n" : "");
        }
        this->replyReceived.notify_all();
    }

    std::vector<Result<wire::Envelope>> wait()
    {
        std::unique_lock lock(this->mutex);
        this->replyReceived.wait(lock, [this] { return this->received == this->results.size(); });
        return this->results;
    }

private:
    std::mutex mutex;
    std::condition_variable replyReceived;
    std::size_t received = 0;
    std::vector<Result<wire::Envelope>> results;
};

Result<CurveKeys> readKeys(const CommandLine &line)
{
    return readCurveKeys(KeyFileSettings{line.publicKeyFile, line.secretKeyFile, {}});
}

MessageSender operatorName()
{
    std::random_device device;
    return MessageSender{"ctl", device()};
}

wire::Envelope pullMessage(const std::map<std::string, std::string> &files)
{
    wire::Envelope message;
    wire::ConfigPull &pull = *message.mutable_config_pull();
    for (const auto &[name, content] : files) {
        wire::FileDigest &file = *pull.add_have_files();
        file.set_name(name);
        file.set_digest(hash64(content));
    }
    return message;
}

std::vector<SourceFile> toSourceFiles(const std::map<std::string, std::string> &files)
{
    std::vector<SourceFile> list;
    for (const auto &[name, content] : files) {
        list.push_back(SourceFile{name, content});
    }
    return list;
}

/// Pulls until the files match the digest, because a reply may hold only a part of them.
Result<std::vector<SourceFile>> pullConfigFrom(MessageClient &client, const std::string &endpoint,
                                               Millis timeout)
{
    std::map<std::string, std::string> files;
    for (int round = 0; round < maxPullRounds; ++round) {
        const auto response = client.call(endpoint, pullMessage(files), timeout);
        if (response.has_error()) {
            return response.error();
        }
        const wire::ConfigReply &reply = response.value().config_reply();
        if (reply.revision() == 0) {
            return Error{ErrorCode::ConfigUnavailable, "the controller has no configuration",
                         SourceLocation{}};
        }
        for (const std::string &name : reply.removed()) {
            files.erase(name);
        }
        for (const wire::ConfigFile &file : reply.changed()) {
            files[file.name()] = file.content();
        }
        std::vector<SourceFile> list = toSourceFiles(files);
        if (digestOf(list) == reply.digest()) {
            return list;
        }
    }
    return Error{ErrorCode::ConfigUnavailable, "the controller's files do not match its digest",
                 SourceLocation{}};
}

} // namespace

Result<std::vector<Result<wire::Envelope>>> queryControllers(const CommandLine &line,
                                                             const wire::Envelope &message)
{
    const Result<CurveKeys> keys = readKeys(line);
    if (keys.has_error()) {
        return keys.error();
    }
    Replies replies(line.endpoints.size());
    MessageClient client(operatorName(), keys.value());
    for (std::size_t i = 0; i < line.endpoints.size(); ++i) {
        client.request(line.endpoints[i], message, line.timeout,
                       [&replies, i](const Result<wire::Envelope> &reply) {
                           replies.record(i, reply);
                           return false;
                       });
    }
    return replies.wait();
}

Result<std::vector<SourceFile>> pullConfig(const CommandLine &line)
{
    const Result<CurveKeys> keys = readKeys(line);
    if (keys.has_error()) {
        return keys.error();
    }
    MessageClient client(operatorName(), keys.value());
    Error lastError{ErrorCode::ConfigUnavailable, "no controller endpoint was given",
                    SourceLocation{}};
    for (const std::string &endpoint : line.endpoints) {
        auto files = pullConfigFrom(client, endpoint, line.timeout);
        if (files.has_value()) {
            return files;
        }
        lastError = files.error();
        lastError.location.file = endpoint;
    }
    return lastError;
}

} // namespace balsamport::ctl
