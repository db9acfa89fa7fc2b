#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

// Start-time fair queueing between the client accounts of one class: the account with the smallest tag is served next,
// and a tag advances by work divided by weight. An account that was idle rejoins at the class's virtual time, so it
// neither saves up service nor pays for old service.
//
//     accounts.enqueued("film-shop", 1.0);
//     accounts.started("film-shop", 200);
//     accounts.corrected("film-shop", -50);
//     accounts.finished("film-shop");

namespace jasminewood::scheduling
{

// Accounts remembered per class; beyond it the idle ones are forgotten and rejoin at the virtual time.
constexpr std::size_t maximumTrackedAccounts = 4096;

// Not thread-safe.
class AccountFairQueueing
{
public:
    // Precondition: weight > 0.
    auto onEnqueued(const std::string &account, double weight) -> void;

    // A queued request of the account left without starting. Precondition: one was queued.
    auto onRemoved(const std::string &account) -> void;

    // A queued request of the account started; work is in output tokens. Precondition: one was queued.
    auto onStarted(const std::string &account, double work) -> void;

    // The work of a started request is larger (or smaller, if negative) than was charged. Precondition: one is running.
    auto adjustWork(const std::string &account, double work) -> void;

    // Precondition: a request of the account is running.
    auto onFinished(const std::string &account) -> void;

    // Returns the account's tag in virtual time; smaller is served earlier.
    auto startTag(const std::string &account) const -> double;

    // Requests of all accounts that wait.
    auto queuedCount() const -> std::uint32_t;

private:
    struct Flow
    {
        double tag_ = 0;
        double weight_ = 1;
        std::uint32_t queued_ = 0;
        std::uint32_t running_ = 0;
    };

    auto forgetIdle() -> void;

    std::map<std::string, Flow> flows_;
    double virtualTime_ = 0;
    std::uint32_t queued_ = 0;
    std::uint32_t running_ = 0;
};

} // namespace jasminewood::scheduling
