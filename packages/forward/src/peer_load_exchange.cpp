#include "jasminewood/forward/peer_load_exchange.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <utility>

#include <arpa/inet.h>
#include <fmt/format.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include "jasminewood/wire/codec.h"

namespace jasminewood::forward
{

namespace
{

// Time between two reports of changes to one peer, so that the datagrams of one router stay below a fixed rate in all.
constexpr Milliseconds intervalPerPeer = Milliseconds(5);
constexpr Milliseconds shortestInterval = Milliseconds(40);
// A complete report follows at the latest after this time, since datagrams are lost.
constexpr Milliseconds completeInterval = Milliseconds(1'000);
// The entry of a router that died disappears after this time.
constexpr Milliseconds leaseTime = Milliseconds(6'000);
constexpr Milliseconds renewInterval = Milliseconds(2'000);
// Routers come and go rarely, and a dead one stops to report by itself.
constexpr Milliseconds membershipWatch = Milliseconds(10'000);
// Larger datagrams would be fragmented.
constexpr std::size_t maximumDatagram = 1'400;
// A prompt with several shared parts takes up to about 80 bytes.
constexpr std::size_t promptsPerDatagram = 12;
// An engine takes up to about 30 bytes.
constexpr std::size_t enginesPerDatagram = 40;
constexpr double milli = 1'000;

auto socketAddress(const std::string &host, std::uint16_t port) -> std::optional<sockaddr_in>
{
    auto address = sockaddr_in {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    if (inet_pton(AF_INET, host.c_str(), &address.sin_addr) != 1) {
        return std::nullopt;
    }
    return address;
}

auto parseAddress(const std::string &text) -> std::optional<sockaddr_in>
{
    const auto colon = text.rfind(':');
    const auto port = colon == std::string::npos ? 0 : std::atoi(text.c_str() + colon + 1);
    return port > 0 && port <= UINT16_MAX ? socketAddress(text.substr(0, colon), std::uint16_t(port)) : std::nullopt;
}

} // namespace

PeerLoadExchange::PeerLoadExchange(
    std::shared_ptr<platform::KeyValueClient> store, const PeerLoadExchangeOptions &options, std::uint64_t seed)
    : store_(std::move(store))
    , options_(options)
    , seed_(seed)
{
}

auto PeerLoadExchange::openSocket() -> Status
{
    const auto failure = [this](const std::string &reason) {
        return Failure {
            .step_ = "bind", .peer_ = fmt::format("{}:{}", options_.address_, options_.port_), .reason_ = reason};
    };
    auto address = socketAddress(options_.address_, options_.port_);
    if (!address) {
        return failure("not a numeric IPv4 address");
    }
    socket_ = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    if (socket_ < 0 || bind(socket_, reinterpret_cast<const sockaddr *>(&*address), sizeof(*address)) != 0) {
        return failure(std::strerror(errno));
    }
    auto size = socklen_t(sizeof(*address));
    getsockname(socket_, reinterpret_cast<sockaddr *>(&*address), &size);
    port_ = ntohs(address->sin_port);
    return std::nullopt;
}

auto PeerLoadExchange::start(const kernel::ServiceRegistry &services) -> Status
{
    if (auto failure = services.require("environment", environment_)) {
        return failure;
    }
    if (auto failure = services.require("upstreams", upstreams_)) {
        return failure;
    }
    if (auto failure = openSocket()) {
        return failure;
    }
    upstreams_->pool().setLoadChangeCallback([this] {
        const auto lock = std::scoped_lock(mutex_);
        changed_ = true;
        wake_.notify_all();
    });
    feed_ = std::make_unique<StoreWatcher>(store_,
        WatcherOptions {.keyPrefix_ = options_.keyPrefix_, .watchTimeout_ = membershipWatch, .seed_ = seed_ + 2},
        WatcherCallbacks {.onSnapshot_ =
                              [this](const std::vector<platform::KeyValue> &entries) {
                                  {
                                      const auto lock = std::scoped_lock(mutex_);
                                      peers_.clear();
                                  }
                                  for (const auto &entry : entries) {
                                      note(entry.key_, entry.value_);
                                  }
                              },
            .onEvent_ =
                [this](const platform::WatchEvent &event) {
                    const auto *put = std::get_if<platform::KeyPut>(&event);
                    note(put == nullptr ? std::get<platform::KeyDeleted>(event).key_ : put->entry_.key_,
                        put == nullptr ? "" : put->entry_.value_);
                },
            .onProgress_ = [](BootTime /*at*/) {},
            .onFailure_ =
                [this](const Failure &failure) {
                    environment_->log().debug("the routers cannot be read", observe::fieldsOf(failure));
                }});
    receiver_ = std::thread([this] {
        receiveAll();
    });
    sender_ = std::thread([this] {
        sendAll();
    });
    registrar_ = std::thread([this] {
        keepRegistered();
    });
    return std::nullopt;
}

auto PeerLoadExchange::stop() -> void
{
    {
        const auto lock = std::scoped_lock(mutex_);
        stopping_ = true;
    }
    wake_.notify_all();
    if (feed_) {
        feed_->stop();
    }
    if (sender_.joinable()) {
        sender_.join();
        registrar_.join();
    }
    if (receiver_.joinable()) {
        // An empty datagram to itself ends the receiver.
        const auto self = socketAddress(options_.address_, port_);
        sendto(socket_, "", 0, 0, reinterpret_cast<const sockaddr *>(&*self), sizeof(*self));
        receiver_.join();
    }
    if (socket_ >= 0) {
        close(socket_);
        socket_ = -1;
    }
}

auto PeerLoadExchange::port() const -> std::uint16_t
{
    return port_;
}

auto PeerLoadExchange::peerCount() const -> std::size_t
{
    const auto lock = std::scoped_lock(mutex_);
    return peers_.size();
}

auto PeerLoadExchange::note(const std::string &key, const std::string &address) -> void
{
    if (key == options_.keyPrefix_ + environment_->identity().node_.name_) {
        return;
    }
    const auto lock = std::scoped_lock(mutex_);
    const auto known = peers_.find(key);
    const auto before = known == peers_.end() ? "" : known->second;
    if (address == before) {
        return;
    }
    if (address.empty()) {
        peers_.erase(key);
    } else {
        peers_.insert_or_assign(key, address);
    }
    environment_->log().info(
        "a router came or went", {{"router", key}, {"address", address}, {"routers", std::int64_t(peers_.size() + 1)}});
}

auto PeerLoadExchange::pause(Milliseconds time) -> bool
{
    auto lock = std::unique_lock(mutex_);
    return !wake_.wait_for(lock, time, [this] {
        return stopping_;
    });
}

auto PeerLoadExchange::keepRegistered() -> void
{
    for (auto wait = Milliseconds(0); pause(wait);) {
        const auto failure = registerOnce();
        if (failure) {
            environment_->log().debug("this router is not registered", observe::fieldsOf(*failure));
        }
        wait = failure ? renewInterval / 2 : renewInterval;
    }
    if (lease_ != platform::noLease) {
        if (const auto failure = store_->revokeLease(lease_)) {
            environment_->log().debug("the lease was not ended", observe::fieldsOf(*failure));
        }
    }
}

auto PeerLoadExchange::registerOnce() -> Status
{
    if (lease_ != platform::noLease) {
        const auto left = store_->keepAlive(lease_);
        if (!left) {
            return left.failure();
        }
        if (left->count() > 0) {
            return std::nullopt;
        }
        lease_ = platform::noLease;
    }
    const auto lease = store_->grantLease(std::chrono::ceil<std::chrono::seconds>(leaseTime));
    if (!lease) {
        return lease.failure();
    }
    const auto key = options_.keyPrefix_ + environment_->identity().node_.name_;
    const auto written = store_->put(key, fmt::format("{}:{}", options_.address_, port_), *lease);
    if (!written) {
        return written.failure();
    }
    lease_ = *lease;
    return std::nullopt;
}

auto PeerLoadExchange::broadcast(const std::string &datagram) -> void
{
    auto addresses = std::vector<std::string>();
    {
        const auto lock = std::scoped_lock(mutex_);
        for (const auto &[key, address] : peers_) {
            addresses.push_back(address);
        }
    }
    for (const auto &text : addresses) {
        if (const auto address = parseAddress(text)) {
            // A full socket drops the datagram; the next report replaces it.
            sendto(socket_, datagram.data(), datagram.size(), MSG_DONTWAIT,
                reinterpret_cast<const sockaddr *>(&*address), sizeof(*address));
        }
    }
}

auto PeerLoadExchange::send(const wire::EngineUsageReport &use) -> void
{
    const auto datagram = wire::encode(use);
    if (datagram.size() <= maximumDatagram) {
        broadcast(datagram);
    } else {
        environment_->log().warning("a report for the routers is too long", {{"bytes", std::int64_t(datagram.size())}});
    }
}

auto PeerLoadExchange::report(
    bool complete, const routing::EngineLoads &loads, const std::vector<RoutedPrompt> &prompts) -> void
{
    const auto router = environment_->identity().node_;
    auto first = complete;
    auto load = loads.begin();
    do {
        auto part = std::map<std::string, wire::EngineLoad>();
        for (; load != loads.end() && part.size() < enginesPerDatagram; ++load) {
            part.emplace(load->first,
                wire::EngineLoad {.pendingPrefillTokens_ = load->second.pendingPrefillTokens_,
                    .inFlightRequests_ = load->second.inFlightRequests_});
        }
        send({.router_ = router, .complete_ = std::exchange(first, false), .engines_ = part});
    } while (load != loads.end());
    for (auto start = std::size_t(0); start < prompts.size(); start += promptsPerDatagram) {
        auto part = std::vector<wire::RoutedPrompt>();
        for (auto index = start; index < std::min(prompts.size(), start + promptsPerDatagram); ++index) {
            auto shared = std::vector<wire::SharedSegment>();
            for (const auto &[id, tokens] : prompts[index].segments_) {
                shared.push_back({.id_ = id, .tokens_ = tokens});
            }
            part.push_back({.engine_ = prompts[index].engine_, .segments_ = shared});
        }
        send({.router_ = router, .prompts_ = part});
    }
    for (const auto &[service, flows] : upstreams_->pool().localPromptStats()) {
        auto part = std::vector<wire::RoutePromptStats>();
        for (const auto &flow : flows) {
            part.push_back({.service_ = service,
                .route_ = flow.route_,
                .milliRequests_ = std::uint64_t(flow.requests_ * milli),
                .tokens_ = std::uint64_t(flow.tokens_)});
        }
        send({.router_ = router, .promptStats_ = part});
    }
}

auto PeerLoadExchange::sendAll() -> void
{
    auto sent = routing::EngineLoads();
    auto completeAt = Clock::now();
    while (pause(std::max<Milliseconds>(shortestInterval, intervalPerPeer * std::int64_t(peerCount())))) {
        {
            auto lock = std::unique_lock(mutex_);
            wake_.wait_until(lock, completeAt, [this] {
                return stopping_ || changed_;
            });
            changed_ = false;
        }
        const auto now = Clock::now();
        const auto complete = now >= completeAt;
        auto loads = upstreams_->pool().localEngineLoads();
        const auto changes = complete ? loads : routing::diffLoads(sent, loads);
        if (complete) {
            completeAt = now + completeInterval;
        }
        sent.swap(loads);
        const auto prompts = upstreams_->pool().takeRoutedPrompts();
        if (complete || !changes.empty() || !prompts.empty()) {
            report(complete, changes, prompts);
        }
    }
}

auto PeerLoadExchange::take(const wire::EngineUsageReport &use) -> void
{
    auto prompts = std::vector<RoutedPrompt>();
    for (const auto &prompt : use.prompts_) {
        auto parts = std::vector<routing::PromptSegment>();
        for (const auto &[id, tokens] : prompt.segments_) {
            parts.push_back({.id_ = id, .tokens_ = tokens});
        }
        prompts.push_back({.engine_ = prompt.engine_, .segments_ = parts});
    }
    auto loads = routing::EngineLoads();
    for (const auto &[engine, load] : use.engines_) {
        loads.emplace(engine,
            routing::EngineLoad {
                .pendingPrefillTokens_ = load.pendingPrefillTokens_, .inFlightRequests_ = load.inFlightRequests_});
    }
    auto flows = PromptStatsByService();
    for (const auto &flow : use.promptStats_) {
        flows[flow.service_].push_back(
            {.route_ = flow.route_, .requests_ = double(flow.milliRequests_) / milli, .tokens_ = double(flow.tokens_)});
    }
    upstreams_->pool().applyPeerReport(use.router_.name_,
        {.isFullReport_ = use.complete_, .loads_ = loads, .prompts_ = prompts, .promptStats_ = flows}, Clock::now());
}

auto PeerLoadExchange::receiveAll() -> void
{
    auto buffer = std::array<char, maximumDatagram + 1>();
    while (true) {
        const auto size = recv(socket_, buffer.data(), buffer.size(), 0);
        {
            const auto lock = std::scoped_lock(mutex_);
            if (stopping_) {
                return;
            }
        }
        const auto bytes = std::string_view(buffer.data(), std::size_t(std::max<ssize_t>(size, 0)));
        const auto message = wire::decode(bytes);
        const auto *use = message ? std::get_if<wire::EngineUsageReport>(&*message) : nullptr;
        if (use != nullptr) {
            take(*use);
        } else if (size < 0 && errno != EINTR && errno != ECONNREFUSED) {
            environment_->log().warning("datagrams of the routers cannot be read", {{"error", std::strerror(errno)}});
            if (!pause(renewInterval)) {
                return;
            }
        }
    }
}

} // namespace jasminewood::forward
