#pragma once

#include <functional>
#include <memory>
#include <string>
#include <typeindex>
#include <vector>

#include "jasminewood/core/result.h"

// Registry of a program's services: looks them up by name, starts them in order and stops them in reverse order.
//
//     auto registry = kernel::ServiceRegistry();
//     registry.add("upstreams", std::make_shared<UpstreamManager>());
//     registry.add("http", std::make_shared<HttpFrontend>());
//     if (const auto failure = registry.startAll()) { ... }
//     registry.stopAll();
//
// A service is any class with
//     auto start(const kernel::ServiceRegistry &services) -> Status;
//     auto stop() -> void;
// start() looks up the services that it depends on with find() or require() and keeps the pointers. Services include
// only each other's public headers.

namespace jasminewood::kernel
{

template <typename Candidate>
concept Service = requires(Candidate service, const class ServiceRegistry &services)
{
    {
        service.start(services)
        } -> std::same_as<Status>;
    service.stop();
};

// add(), startAll() and stopAll() are not thread-safe; find() may be called from any thread after the last add().
class ServiceRegistry
{
public:
    // Registers a service under a name that must be unique. Services start in the order in which they were added.
    template <Service Type>
    auto add(const std::string &name, std::shared_ptr<Type> service) -> void
    {
        auto start = [service](const ServiceRegistry &services) {
            return service->start(services);
        };
        auto stop = [service] {
            service->stop();
        };
        entries_.push_back(Entry {.name_ = name,
            .type_ = std::type_index(typeid(Type)),
            .instance_ = std::move(service),
            .start_ = std::move(start),
            .stop_ = std::move(stop)});
    }

    // Returns the service of this name. Fails with step "find service" if the name is unknown or the type differs.
    template <typename Type>
    auto find(const std::string &name) const -> Result<std::shared_ptr<Type>>
    {
        const auto *entry = findEntry(name);
        if (entry == nullptr) {
            return Failure {.step_ = "find service", .peer_ = name, .reason_ = "no service has this name"};
        }
        if (entry->type_ != std::type_index(typeid(Type))) {
            return Failure {.step_ = "find service", .peer_ = name, .reason_ = "the service has another type"};
        }
        return std::static_pointer_cast<Type>(entry->instance_);
    }

    // Stores the service of this name in target, or returns the failure of find().
    template <typename Type>
    auto require(const std::string &name, std::shared_ptr<Type> &target) const -> Status
    {
        const auto found = find<Type>(name);
        if (!found) {
            return found.failure();
        }
        target = *found;
        return std::nullopt;
    }

    // Starts all services in the order of add(). On the first failure, stops the services that have started, in reverse
    // order, and returns the failure with the name of the failed service as its peer.
    auto startAll() -> Status;

    // Stops all started services in reverse order. May be called twice.
    auto stopAll() -> void;

private:
    struct Entry
    {
        std::string name_;
        std::type_index type_;
        std::shared_ptr<void> instance_;
        std::function<auto(const ServiceRegistry &)->Status> start_;
        std::function<auto()->void> stop_;
    };

    auto findEntry(const std::string &name) const -> const Entry *;

    std::vector<Entry> entries_;
    std::size_t startedCount_ = 0;
};

} // namespace jasminewood::kernel
