#include "jasminewood/forward/peer_exchange.h"

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

PeerExchange::PeerExchange(
    std::shared_ptr<platform::KeyValueClient> store, const PeerExchangeOptions &options, std::uint64_t seed)
    : store_(std::move(store))
    , options_(options)
    , seed_(seed)
{
}

auto PeerExchange::openSocket() -> Status
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

auto PeerExchange::start(const kernel::Registry &services) -> Status
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
    upstreams_->pool().onLoadChange([this] {
        const auto lock = std::scoped_lock(mutex_);
        loadChanged_ = true;
        stateChanged_.notify_all();
    });
    peerWatcher_ = std::make_unique<StoreFeed>(store_,
        FeedOptions {.prefix_ = options_.prefix_, .watchLimit_ = membershipWatchTimeout, .seed_ = seed_ + 2},
        FeedCallbacks {.snapshot_ =
                           [this](const std::vector<platform::KeyValue> &entries) {
                               {
                                   const auto lock = std::scoped_lock(mutex_);
                                   peers_.clear();
                               }
                               for (const auto &entry : entries) {
                                   updatePeer(entry.key_, entry.value_);
                               }
                           },
            .event_ =
                [this](const platform::WatchEvent &event) {
                    const auto *put = std::get_if<platform::KeyPut>(&event);
                    updatePeer(put == nullptr ? std::get<platform::KeyDeleted>(event).key_ : put->entry_.key_,
                        put == nullptr ? "" : put->entry_.value_);
                },
            .contact_ = [](BootTime /*at*/) {},
            .failed_ =
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

auto PeerExchange::stop() -> void
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

auto PeerExchange::port() const -> std::uint16_t
{
    return port_;
}

auto PeerExchange::peers() const -> std::size_t
{
    const auto lock = std::scoped_lock(mutex_);
    return peers_.size();
}

auto PeerExchange::updatePeer(const std::string &key, const std::string &newAddress) -> void
{
    if (key == options_.prefix_ + environment_->identity().node_.name_) {
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

auto PeerExchange::waitUnlessStopped(Milliseconds time) -> bool
{
    auto lock = std::unique_lock(mutex_);
    return !stateChanged_.wait_for(lock, time, [this] {
        return stopping_;
    });
}

auto PeerExchange::registrationLoop() -> void
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

auto PeerExchange::renewRegistration() -> Status
{
    if (lease_ != platform::noLease) {
        const auto remainingTime = store_->keepAlive(lease_);
        if (!remainingTime) {
            return remainingTime.reason();
        }
        if (remainingTime->count() > 0) {
            return std::nullopt;
        }
        lease_ = platform::noLease;
    }
    const auto lease = store_->grantLease(std::chrono::ceil<std::chrono::seconds>(leaseTimeToLive));
    if (!lease) {
        return lease.reason();
    }
    const auto key = options_.prefix_ + environment_->identity().node_.name_;
    const auto written = store_->put(key, fmt::format("{}:{}", options_.address_, port_), *lease);
    if (!written) {
        return written.reason();
    }
    lease_ = *lease;
    return std::nullopt;
}

auto PeerExchange::broadcastDatagram(const std::string &datagram) -> void
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

auto PeerExchange::broadcastReport(const wire::EngineUse &report) -> void
{
    const auto datagram = wire::encode(report);
    if (datagram.size() <= maximumDatagramBytes) {
        broadcastDatagram(datagram);
    } else {
        environment_->log().warning(
            "a report to the routers exceeds the datagram limit", {{"bytes", std::int64_t(datagram.size())}});
    }
}

auto PeerExchange::sendReport(
    bool isFullReport, const routing::EngineLoads &loads, const std::vector<GivenPrompt> &prompts) -> void
{
    const auto router = environment_->identity().node_;
    auto startsFullReport = isFullReport;
    auto load = loads.begin();
    do {
        auto batch = std::map<std::string, wire::EngineLoad>();
        for (; load != loads.end() && batch.size() < enginesPerDatagram; ++load) {
            batch.emplace(load->first,
                wire::EngineLoad {.unreadTokens_ = load->second.unreadTokens_, .running_ = load->second.running_});
        }
        broadcastReport({.router_ = router, .complete_ = std::exchange(startsFullReport, false), .engines_ = batch});
    } while (load != loads.end());
    for (auto start = std::size_t(0); start < prompts.size(); start += promptsPerDatagram) {
        auto batch = std::vector<wire::GivenPrompt>();
        for (auto index = start; index < std::min(prompts.size(), start + promptsPerDatagram); ++index) {
            auto sharedSegments = std::vector<wire::SharedPart>();
            for (const auto &[id, tokens] : prompts[index].parts_) {
                sharedSegments.push_back({.id_ = id, .tokens_ = tokens});
            }
            batch.push_back({.engine_ = prompts[index].engine_, .parts_ = sharedSegments});
        }
        broadcastReport({.router_ = router, .prompts_ = batch});
    }
    for (const auto &[service, routeStats] : upstreams_->pool().ownFlows()) {
        auto batch = std::vector<wire::PromptFlow>();
        for (const auto &stats : routeStats) {
            batch.push_back({.service_ = service,
                .route_ = stats.route_,
                .milliRequests_ = std::uint64_t(stats.requests_ * milliPerUnit),
                .tokens_ = std::uint64_t(stats.tokens_)});
        }
        broadcastReport({.router_ = router, .flows_ = batch});
    }
}

auto PeerExchange::sendLoop() -> void
{
    auto sentLoads = routing::EngineLoads();
    auto nextFullReportAt = Clock::now();
    while (waitUnlessStopped(
        std::max<Milliseconds>(minimumReportInterval, reportIntervalPerPeer * std::int64_t(peers())))) {
        {
            auto lock = std::unique_lock(mutex_);
            stateChanged_.wait_until(lock, nextFullReportAt, [this] {
                return stopping_ || loadChanged_;
            });
            loadChanged_ = false;
        }
        const auto now = Clock::now();
        const auto isFullReport = now >= nextFullReportAt;
        auto loads = upstreams_->pool().engineLoads();
        const auto updates = isFullReport ? loads : routing::changedLoads(sentLoads, loads);
        if (isFullReport) {
            nextFullReportAt = now + fullReportInterval;
        }
        sentLoads.swap(loads);
        const auto prompts = upstreams_->pool().takeGiven();
        if (isFullReport || !updates.empty() || !prompts.empty()) {
            sendReport(isFullReport, updates, prompts);
        }
    }
}

auto PeerExchange::applyReport(const wire::EngineUse &report) -> void
{
    auto prompts = std::vector<GivenPrompt>();
    for (const auto &prompt : report.prompts_) {
        auto segments = std::vector<routing::PromptPart>();
        for (const auto &[id, tokens] : prompt.parts_) {
            segments.push_back({.id_ = id, .tokens_ = tokens});
        }
        prompts.push_back({.engine_ = prompt.engine_, .parts_ = segments});
    }
    auto loads = routing::EngineLoads();
    for (const auto &[engine, load] : report.engines_) {
        loads.emplace(engine, routing::EngineLoad {.unreadTokens_ = load.unreadTokens_, .running_ = load.running_});
    }
    auto promptStats = ServiceFlows();
    for (const auto &stats : report.flows_) {
        promptStats[stats.service_].push_back({.route_ = stats.route_,
            .requests_ = double(stats.milliRequests_) / milliPerUnit,
            .tokens_ = double(stats.tokens_)});
    }
    upstreams_->pool().peerReported(report.router_.name_,
        {.complete_ = report.complete_, .loads_ = loads, .prompts_ = prompts, .flows_ = promptStats}, Clock::now());
}

auto PeerExchange::receiveLoop() -> void
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
        const auto *report = message ? std::get_if<wire::EngineUse>(&*message) : nullptr;
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
