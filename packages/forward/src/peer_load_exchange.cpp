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

// The interval between two reports of changes grows with the number of peers, so that the total datagram rate of one
// router stays bounded.
constexpr Milliseconds reportIntervalPerPeer = Milliseconds(5);
constexpr Milliseconds minimumReportInterval = Milliseconds(40);
// A full report is sent at least this often, since datagrams may be lost.
constexpr Milliseconds fullReportInterval = Milliseconds(1'000);
// The entry of a router that stopped without revoking its lease expires after this time.
constexpr Milliseconds leaseTimeToLive = Milliseconds(6'000);
constexpr Milliseconds leaseRenewalInterval = Milliseconds(2'000);
// Routers join and leave rarely, and the reports of a stopped router expire by themselves, so a long watch is
// sufficient.
constexpr Milliseconds membershipWatchTimeout = Milliseconds(10'000);
// Larger datagrams might exceed the path MTU and be fragmented.
constexpr std::size_t maximumDatagramBytes = 1'400;
// A prompt with several shared segments is encoded in up to about 80 bytes.
constexpr std::size_t promptsPerDatagram = 12;
// An engine is encoded in up to about 30 bytes.
constexpr std::size_t enginesPerDatagram = 40;
constexpr double milliPerUnit = 1'000;

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
    const auto bindFailure = [this](const std::string &reason) {
        return Failure {
            .step_ = "bind", .peer_ = fmt::format("{}:{}", options_.address_, options_.port_), .reason_ = reason};
    };
    auto address = socketAddress(options_.address_, options_.port_);
    if (!address) {
        return bindFailure("not a numeric IPv4 address");
    }
    socket_ = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    if (socket_ < 0 || bind(socket_, reinterpret_cast<const sockaddr *>(&*address), sizeof(*address)) != 0) {
        return bindFailure(std::strerror(errno));
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
        loadChanged_ = true;
        stateChanged_.notify_all();
    });
    peerWatcher_ = std::make_unique<StoreWatcher>(store_,
        WatcherOptions {.keyPrefix_ = options_.keyPrefix_, .watchTimeout_ = membershipWatchTimeout, .seed_ = seed_ + 2},
        WatcherCallbacks {.onSnapshot_ =
                              [this](const std::vector<platform::KeyValue> &entries) {
                                  {
                                      const auto lock = std::scoped_lock(mutex_);
                                      peers_.clear();
                                  }
                                  for (const auto &entry : entries) {
                                      updatePeer(entry.key_, entry.value_);
                                  }
                              },
            .onEvent_ =
                [this](const platform::WatchEvent &event) {
                    const auto *put = std::get_if<platform::KeyPut>(&event);
                    updatePeer(put == nullptr ? std::get<platform::KeyDeleted>(event).key_ : put->entry_.key_,
                        put == nullptr ? "" : put->entry_.value_);
                },
            .onProgress_ = [](BootTime /*at*/) {},
            .onFailure_ =
                [this](const Failure &failure) {
                    environment_->log().debug("the router entries cannot be read", observe::fieldsOf(failure));
                }});
    receiverThread_ = std::thread([this] {
        receiveLoop();
    });
    senderThread_ = std::thread([this] {
        sendLoop();
    });
    registrationThread_ = std::thread([this] {
        registrationLoop();
    });
    return std::nullopt;
}

auto PeerLoadExchange::stop() -> void
{
    {
        const auto lock = std::scoped_lock(mutex_);
        stopping_ = true;
    }
    stateChanged_.notify_all();
    if (peerWatcher_) {
        peerWatcher_->stop();
    }
    if (senderThread_.joinable()) {
        senderThread_.join();
        registrationThread_.join();
    }
    if (receiverThread_.joinable()) {
        // An empty datagram to its own address wakes the receiver thread, which then ends.
        const auto ownAddress = socketAddress(options_.address_, port_);
        sendto(socket_, "", 0, 0, reinterpret_cast<const sockaddr *>(&*ownAddress), sizeof(*ownAddress));
        receiverThread_.join();
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

auto PeerLoadExchange::updatePeer(const std::string &key, const std::string &newAddress) -> void
{
    if (key == options_.keyPrefix_ + environment_->identity().node_.name_) {
        return;
    }
    const auto lock = std::scoped_lock(mutex_);
    const auto entry = peers_.find(key);
    const auto oldAddress = entry == peers_.end() ? "" : entry->second;
    if (newAddress == oldAddress) {
        return;
    }
    if (newAddress.empty()) {
        peers_.erase(key);
    } else {
        peers_.insert_or_assign(key, newAddress);
    }
    environment_->log().info("the set of routers changed",
        {{"router", key}, {"address", newAddress}, {"routers", std::int64_t(peers_.size() + 1)}});
}

auto PeerLoadExchange::waitUnlessStopped(Milliseconds time) -> bool
{
    auto lock = std::unique_lock(mutex_);
    return !stateChanged_.wait_for(lock, time, [this] {
        return stopping_;
    });
}

auto PeerLoadExchange::registrationLoop() -> void
{
    for (auto delay = Milliseconds(0); waitUnlessStopped(delay);) {
        const auto failure = renewRegistration();
        if (failure) {
            environment_->log().debug("this router could not be registered", observe::fieldsOf(*failure));
        }
        delay = failure ? leaseRenewalInterval / 2 : leaseRenewalInterval;
    }
    if (lease_ != platform::noLease) {
        if (const auto failure = store_->revokeLease(lease_)) {
            environment_->log().debug("the lease could not be revoked", observe::fieldsOf(*failure));
        }
    }
}

auto PeerLoadExchange::renewRegistration() -> Status
{
    if (lease_ != platform::noLease) {
        const auto remainingTime = store_->keepAlive(lease_);
        if (!remainingTime) {
            return remainingTime.failure();
        }
        if (remainingTime->count() > 0) {
            return std::nullopt;
        }
        lease_ = platform::noLease;
    }
    const auto lease = store_->grantLease(std::chrono::ceil<std::chrono::seconds>(leaseTimeToLive));
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

auto PeerLoadExchange::broadcastDatagram(const std::string &datagram) -> void
{
    auto addresses = std::vector<std::string>();
    {
        const auto lock = std::scoped_lock(mutex_);
        for (const auto &[key, address] : peers_) {
            addresses.push_back(address);
        }
    }
    for (const auto &peerAddress : addresses) {
        if (const auto address = parseAddress(peerAddress)) {
            // A datagram is dropped if the send buffer is full; the next report supersedes it.
            sendto(socket_, datagram.data(), datagram.size(), MSG_DONTWAIT,
                reinterpret_cast<const sockaddr *>(&*address), sizeof(*address));
        }
    }
}

auto PeerLoadExchange::broadcastReport(const wire::EngineUsageReport &report) -> void
{
    const auto datagram = wire::encode(report);
    if (datagram.size() <= maximumDatagramBytes) {
        broadcastDatagram(datagram);
    } else {
        environment_->log().warning(
            "a report to the routers exceeds the datagram limit", {{"bytes", std::int64_t(datagram.size())}});
    }
}

auto PeerLoadExchange::sendReport(
    bool isFullReport, const routing::EngineLoads &loads, const std::vector<RoutedPrompt> &prompts) -> void
{
    const auto router = environment_->identity().node_;
    auto startsFullReport = isFullReport;
    auto load = loads.begin();
    do {
        auto batch = std::map<std::string, wire::EngineLoad>();
        for (; load != loads.end() && batch.size() < enginesPerDatagram; ++load) {
            batch.emplace(load->first,
                wire::EngineLoad {.pendingPrefillTokens_ = load->second.pendingPrefillTokens_,
                    .inFlightRequests_ = load->second.inFlightRequests_});
        }
        broadcastReport({.router_ = router, .complete_ = std::exchange(startsFullReport, false), .engines_ = batch});
    } while (load != loads.end());
    for (auto start = std::size_t(0); start < prompts.size(); start += promptsPerDatagram) {
        auto batch = std::vector<wire::RoutedPrompt>();
        for (auto index = start; index < std::min(prompts.size(), start + promptsPerDatagram); ++index) {
            auto sharedSegments = std::vector<wire::SharedSegment>();
            for (const auto &[id, tokens] : prompts[index].segments_) {
                sharedSegments.push_back({.id_ = id, .tokens_ = tokens});
            }
            batch.push_back({.engine_ = prompts[index].engine_, .segments_ = sharedSegments});
        }
        broadcastReport({.router_ = router, .prompts_ = batch});
    }
    for (const auto &[service, routeStats] : upstreams_->pool().localPromptStats()) {
        auto batch = std::vector<wire::RoutePromptStats>();
        for (const auto &stats : routeStats) {
            batch.push_back({.service_ = service,
                .route_ = stats.route_,
                .milliRequests_ = std::uint64_t(stats.requests_ * milliPerUnit),
                .unsharedTokens_ = std::uint64_t(stats.tokens_)});
        }
        broadcastReport({.router_ = router, .promptStats_ = batch});
    }
}

auto PeerLoadExchange::sendLoop() -> void
{
    auto sentLoads = routing::EngineLoads();
    auto nextFullReportAt = Clock::now();
    while (waitUnlessStopped(
        std::max<Milliseconds>(minimumReportInterval, reportIntervalPerPeer * std::int64_t(peerCount())))) {
        {
            auto lock = std::unique_lock(mutex_);
            stateChanged_.wait_until(lock, nextFullReportAt, [this] {
                return stopping_ || loadChanged_;
            });
            loadChanged_ = false;
        }
        const auto now = Clock::now();
        const auto isFullReport = now >= nextFullReportAt;
        auto loads = upstreams_->pool().localEngineLoads();
        const auto updates = isFullReport ? loads : routing::diffLoads(sentLoads, loads);
        if (isFullReport) {
            nextFullReportAt = now + fullReportInterval;
        }
        sentLoads.swap(loads);
        const auto prompts = upstreams_->pool().takeRoutedPrompts();
        if (isFullReport || !updates.empty() || !prompts.empty()) {
            sendReport(isFullReport, updates, prompts);
        }
    }
}

auto PeerLoadExchange::applyReport(const wire::EngineUsageReport &report) -> void
{
    auto prompts = std::vector<RoutedPrompt>();
    for (const auto &prompt : report.prompts_) {
        auto segments = std::vector<routing::PromptSegment>();
        for (const auto &[id, tokens] : prompt.segments_) {
            segments.push_back({.id_ = id, .tokens_ = tokens});
        }
        prompts.push_back({.engine_ = prompt.engine_, .segments_ = segments});
    }
    auto loads = routing::EngineLoads();
    for (const auto &[engine, load] : report.engines_) {
        loads.emplace(engine,
            routing::EngineLoad {
                .pendingPrefillTokens_ = load.pendingPrefillTokens_, .inFlightRequests_ = load.inFlightRequests_});
    }
    auto promptStats = PromptStatsByService();
    for (const auto &stats : report.promptStats_) {
        promptStats[stats.service_].push_back({.route_ = stats.route_,
            .requests_ = double(stats.milliRequests_) / milliPerUnit,
            .tokens_ = double(stats.unsharedTokens_)});
    }
    upstreams_->pool().applyPeerReport(report.router_.name_,
        {.isFullReport_ = report.complete_, .loads_ = loads, .prompts_ = prompts, .promptStats_ = promptStats},
        Clock::now());
}

auto PeerLoadExchange::receiveLoop() -> void
{
    auto buffer = std::array<char, maximumDatagramBytes + 1>();
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
        const auto *report = message ? std::get_if<wire::EngineUsageReport>(&*message) : nullptr;
        if (report != nullptr) {
            applyReport(*report);
        } else if (size < 0 && errno != EINTR && errno != ECONNREFUSED) {
            environment_->log().warning(
                "datagrams of the other routers cannot be received", {{"error", std::strerror(errno)}});
            if (!waitUnlessStopped(leaseRenewalInterval)) {
                return;
            }
        }
    }
}

} // namespace jasminewood::forward
