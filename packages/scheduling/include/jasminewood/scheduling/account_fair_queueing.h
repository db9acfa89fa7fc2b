#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

// Start-time fair queueing (SFQ) between the client accounts of one request class. The account with the smallest start
// tag is served next; serving a request advances its account's tag by work / weight. An account that becomes active
// again after an idle period gets a tag of at least the current virtual time, so that it neither accumulates credit
// while idle nor is charged again for earlier service.
//
//     fairQueueing.onEnqueued("film-shop", 1.0);
//     fairQueueing.onStarted("film-shop", 200);
//     fairQueueing.adjustWork("film-shop", -50);
//     fairQueueing.onFinished("film-shop");

namespace jasminewood::scheduling
{

// Maximum number of accounts per class whose tags are kept. Beyond it the tags of idle accounts are discarded; such an
// account starts again at the virtual time.
constexpr std::size_t maximumTrackedAccounts = 4096;

// Keeps the start tags and the queued and running requests of each account. Not thread-safe.
class AccountFairQueueing
{
public:
    // Records that a request of the account was queued. Precondition: weight > 0.
    auto onEnqueued(const std::string &account, double weight) -> void;

    // Records that a queued request of the account was removed without starting. Precondition: the account has a queued
    // request.
    auto onRemoved(const std::string &account) -> void;

    // Records that a queued request of the account started, and charges its work in output tokens. Precondition: the
    // account has a queued request.
    auto onStarted(const std::string &account, double work) -> void;

    // Adds the difference between the actual and the charged work of a started request; negative if less work was done
    // than charged. Precondition: a request of the account is running.
    auto adjustWork(const std::string &account, double work) -> void;

    // Records that a running request of the account ended. Precondition: a request of the account is running.
    auto onFinished(const std::string &account) -> void;

    // Returns the account's start tag in virtual time. Accounts with smaller tags are served first.
    auto startTag(const std::string &account) const -> double;

    // Returns the number of queued requests over all accounts.
    auto queuedCount() const -> std::uint32_t;

private:
    struct Flow
    {
        double tag_ = 0;
        double weight_ = 1;
        std::uint32_t queued_ = 0;
        std::uint32_t running_ = 0;
    };

    auto removeIdleFlows() -> void;

    std::map<std::string, Flow> flows_;
    double virtualTime_ = 0;
    std::uint32_t queued_ = 0;
    std::uint32_t running_ = 0;
};

} // namespace jasminewood::scheduling
