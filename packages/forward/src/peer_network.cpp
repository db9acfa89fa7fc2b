#include "jasminewood/forward/peer_network.h"

#include <algorithm>
#include <array>
#include <cerrno>
#include <cstring>
#include <optional>
#include <utility>

#include <arpa/inet.h>
#include <fmt/format.h>
#include <sys/socket.h>
#include <unistd.h>

#include "fragments.h"
#include "jasminewood/http/socket_address.h"
#include "jasminewood/membership/backoff.h"
#include "jasminewood/wire/codec.h"
#include "router_registration.h"

namespace jasminewood::forward
{

namespace
{

constexpr Milliseconds leaseRenewalInterval = Milliseconds(5'000);
// The longest delay before this router writes a lost entry, and the longest one if it is lost again and again, as it is
// if another process has the same name.
constexpr Milliseconds reregistrationDelay = Milliseconds(500);
constexpr Milliseconds maximumReregistrationDelay = Milliseconds(4'000);
// All routers may lose their entries at the same time. Beyond this number the delays grow with their number, so that
// they do not exceed the rate of writes that the store accepts.
constexpr std::size_t routersPerDelay = 50;
// The pause before another attempt to register or to receive after a failure.
constexpr Milliseconds retryInterval = Milliseconds(1'000);
constexpr std::size_t maximumEntryBytes = 1'024;
// A router without an entry is still a peer if it was heard within this time: the store may turn it away.
constexpr Milliseconds silenceLimit = Milliseconds(3'000);

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

// What a router's entry says.
struct PeerEntry
{
    // "IP:PORT"
    const std::string address_;
    const sockaddr_in socketAddress_ = {};
    const std::string dataCentre_;
};

// Parses "IP:PORT/DATA_CENTRE". Returns nothing for another text, which another writer may have left.
auto parseEntry(const std::string &value) -> std::optional<PeerEntry>
{
    const auto slash = std::min(value.find('/'), value.size());
    const auto address = value.substr(0, slash);
    const auto socketAddress = http::parseSocketAddress(address);
    if (!socketAddress || value.size() > maximumEntryBytes) {
        return std::nullopt;
    }
    const auto dataCentre = slash == value.size() ? "" : value.substr(slash + 1);
    return std::optional<PeerEntry>(
        PeerEntry {.address_ = address, .socketAddress_ = *socketAddress, .dataCentre_ = dataCentre});
}

auto isSameAddress(const sockaddr_in &left, const sockaddr_in &right) -> bool
{
    return left.sin_addr.s_addr == right.sin_addr.s_addr && left.sin_port == right.sin_port;
}

} // namespace

PeerNetwork::PeerNetwork(std::shared_ptr<platform::KeyValueClient> store, const PeerNetworkOptions &options)
    : store_(std::move(store))
    , options_(options)
{
}

PeerNetwork::~PeerNetwork() = default;

auto PeerNetwork::openSocket() -> Status
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

auto PeerNetwork::start(const kernel::ServiceRegistry &services) -> Status
{
    if (auto failure = services.require("environment", environment_)) {
        return failure;
    }
    auto feed = std::shared_ptr<StoreFeed>();
    if (auto failure = services.require("store-feed", feed)) {
        return failure;
    }
    if (auto failure = openSocket()) {
        return failure;
    }
    rejectedCounter_.emplace(environment_->metrics().counter("jasminewood_peer_datagrams_rejected_total",
        "Datagrams that cannot be decoded or do not come from a known router"));
    // Distinct from the ids of an earlier process with this address.
    nextMessageId_ = environment_->identity().node_.incarnation_;
    registration_ = std::make_unique<internal::RouterRegistration>(store_,
        options_.keyPrefix_ + environment_->identity().node_.name_,
        fmt::format("{}:{}/{}", options_.address_, port_, options_.dataCentre_));
    subscribe(*feed);
    receiverThread_ = std::thread([this] {
        receiveLoop();
    });
    registrationThread_ = std::thread([this] {
        registrationLoop();
    });
    return std::nullopt;
}

auto PeerNetwork::subscribe(StoreFeed &feed) -> void
{
    feed.addListener({.keyPrefix_ = options_.keyPrefix_,
        .onSnapshot_ =
            [this](const platform::Snapshot &snapshot) {
                {
                    const auto lock = std::scoped_lock(mutex_);
                    for (auto &[name, peer] : peers_) {
                        peer.registered_ = false;
                    }
                }
                observeOwnEntry(snapshot);
                for (const auto &entry : snapshot.entries_) {
                    addPeer(entry.key_, entry.value_);
                }
            },
        .onEvent_ =
            [this](const platform::WatchEvent &event) {
                observeOwnEntry(event);
                if (const auto *put = std::get_if<platform::KeyPut>(&event)) {
                    addPeer(put->entry_.key_, put->entry_.value_);
                } else {
                    removePeer(std::get<platform::KeyDeleted>(event).key_);
                }
            }});
}

auto PeerNetwork::stop() -> void
{
    {
        const auto lock = std::scoped_lock(mutex_);
        stopping_ = true;
    }
    stopCondition_.notify_all();
    if (registrationThread_.joinable()) {
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

auto PeerNetwork::addHandler(MessageHandler handler) -> void
{
    const auto lock = std::scoped_lock(mutex_);
    handlers_.push_back(std::move(handler));
}

auto PeerNetwork::keyPrefix() const -> const std::string &
{
    return options_.keyPrefix_;
}

auto PeerNetwork::port() const -> std::uint16_t
{
    return port_;
}

auto PeerNetwork::peerCount() const -> std::size_t
{
    const auto lock = std::scoped_lock(mutex_);
    return peers_.size();
}

auto PeerNetwork::routerNames() const -> relay::RouterNames
{
    const auto lock = std::scoped_lock(mutex_);
    auto sameDataCentre = std::vector<std::string>();
    auto elsewhere = std::vector<std::string>();
    for (const auto &[name, peer] : peers_) {
        (peer.dataCentre_ == options_.dataCentre_ ? sameDataCentre : elsewhere).push_back(name);
    }
    return {.sameDataCentre_ = sameDataCentre, .elsewhere_ = elsewhere};
}

auto PeerNetwork::addPeer(const std::string &key, const std::string &value) -> void
{
    const auto name = key.substr(std::min(key.size(), options_.keyPrefix_.size()));
    if (name == environment_->identity().node_.name_) {
        return;
    }
    const auto entry = parseEntry(value);
    if (!entry || name.empty() || name.size() > wire::maximumNameBytes) {
        environment_->log().warning("ignored a malformed entry of a router", {{"router", name}});
        removePeer(key);
        return;
    }
    const auto lock = std::scoped_lock(mutex_);
    auto &peer = peers_[name];
    const auto changed = peer.address_ != entry->address_;
    peer.address_ = entry->address_;
    peer.dataCentre_ = entry->dataCentre_;
    peer.socketAddress_ = entry->socketAddress_;
    peer.registered_ = true;
    if (changed) {
        environment_->log().info("the set of routers changed",
            {{"router", name}, {"address", entry->address_}, {"routers", std::int64_t(peers_.size() + 1)}});
    }
}

auto PeerNetwork::removePeer(const std::string &key) -> void
{
    const auto lock = std::scoped_lock(mutex_);
    const auto found = peers_.find(key.substr(std::min(key.size(), options_.keyPrefix_.size())));
    if (found != peers_.end()) {
        found->second.registered_ = false;
    }
}

auto PeerNetwork::forgetSilentPeers() -> void
{
    for (auto entry = peers_.begin(); entry != peers_.end();) {
        const auto gone = !entry->second.registered_ && Clock::now() - entry->second.heardAt_ > silenceLimit;
        if (gone) {
            environment_->log().info("the set of routers changed",
                {{"router", entry->first}, {"address", ""}, {"routers", std::int64_t(peers_.size())}});
        }
        entry = gone ? peers_.erase(entry) : std::next(entry);
    }
}

auto PeerNetwork::waitUnlessStopped(Milliseconds time) -> bool
{
    auto lock = std::unique_lock(mutex_);
    return !stopCondition_.wait_for(lock, time, [this] {
        return stopping_;
    });
}

auto PeerNetwork::waitForRenewal(Milliseconds time) -> bool
{
    auto lock = std::unique_lock(mutex_);
    stopCondition_.wait_for(lock, time, [this] {
        return stopping_ || registration_->isLost();
    });
    return !stopping_ && registration_->isLost();
}

auto PeerNetwork::reregistrationFactor() const -> std::int64_t
{
    return std::int64_t(1 + peerCount() / routersPerDelay);
}

auto PeerNetwork::observeOwnEntry(const platform::Snapshot &snapshot) -> void
{
    storeEra_ = snapshot.position_.era_;
    const auto &entries = snapshot.entries_;
    const auto own = std::find_if(entries.begin(), entries.end(), [this](const auto &entry) {
        return entry.key_ == registration_->key();
    });
    const auto revision = own == entries.end() ? 0 : own->modRevision_;
    observeOwnEntry(std::max(snapshot.position_.revision_, revision), revision);
}

auto PeerNetwork::observeOwnEntry(const platform::WatchEvent &event) -> void
{
    const auto *put = std::get_if<platform::KeyPut>(&event);
    const auto &key = put == nullptr ? std::get<platform::KeyDeleted>(event).key_ : put->entry_.key_;
    if (key != registration_->key()) {
        return;
    }
    if (put == nullptr) {
        observeOwnEntry(std::get<platform::KeyDeleted>(event).revision_, 0);
    } else {
        observeOwnEntry(put->entry_.modRevision_, put->entry_.modRevision_);
    }
}

auto PeerNetwork::observeOwnEntry(platform::Revision upTo, platform::Revision revision) -> void
{
    {
        const auto lock = std::scoped_lock(mutex_);
        registration_->observe({.upTo_ = {.era_ = storeEra_, .revision_ = upTo}, .revision_ = revision});
    }
    stopCondition_.notify_all();
}

auto PeerNetwork::registrationLoop() -> void
{
    auto backoff = membership::Backoff(
        environment_->identity().node_.incarnation_, reregistrationDelay, maximumReregistrationDelay);
    for (auto delay = Milliseconds(0); waitUnlessStopped(delay);) {
        auto registered = false;
        environment_->contain("register this router", [this, &registered] {
            const auto failure = registration_->renew();
            if (failure) {
                environment_->log().debug("this router could not be registered", observe::fieldsOf(*failure));
            }
            registered = !failure;
        });
        if (!registered) {
            delay = retryInterval;
        } else if (waitForRenewal(leaseRenewalInterval)) {
            delay = backoff.nextDelay() * reregistrationFactor();
            environment_->log().warning("the entry of this router is lost",
                {{"store_era", store_->era()}, {"delay_ms", std::int64_t(delay.count())}});
        } else {
            delay = Milliseconds(0);
            backoff.reset();
        }
    }
    if (const auto failure = registration_->revoke()) {
        environment_->log().debug("the lease could not be revoked", observe::fieldsOf(*failure));
    }
}

auto PeerNetwork::encodeDatagrams(const wire::Message &message) -> std::vector<std::string>
{
    const auto encoded = wire::encode(message);
    auto messageId = std::uint64_t(0);
    {
        const auto lock = std::scoped_lock(mutex_);
        messageId = ++nextMessageId_;
    }
    auto datagrams = internal::splitMessage(encoded, messageId);
    if (datagrams.empty()) {
        environment_->log().warning("a message to the routers is too large", {{"bytes", std::int64_t(encoded.size())}});
    }
    return datagrams;
}

auto PeerNetwork::sendDatagrams(const std::vector<std::string> &datagrams, const std::vector<sockaddr_in> &addresses)
    -> void
{
    for (const auto &address : addresses) {
        for (const auto &datagram : datagrams) {
            // A datagram is dropped if the send buffer is full.
            sendto(socket_, datagram.data(), datagram.size(), MSG_DONTWAIT,
                reinterpret_cast<const sockaddr *>(&address), sizeof(address));
        }
    }
}

auto PeerNetwork::send(const std::string &router, const wire::Message &message) -> void
{
    auto addresses = std::vector<sockaddr_in>();
    {
        const auto lock = std::scoped_lock(mutex_);
        const auto found = peers_.find(router);
        if (found == peers_.end()) {
            return;
        }
        addresses.push_back(found->second.socketAddress_);
    }
    sendDatagrams(encodeDatagrams(message), addresses);
}

auto PeerNetwork::broadcast(const wire::Message &message) -> void
{
    auto addresses = std::vector<sockaddr_in>();
    {
        const auto lock = std::scoped_lock(mutex_);
        forgetSilentPeers();
        for (const auto &[name, peer] : peers_) {
            addresses.push_back(peer.socketAddress_);
        }
    }
    sendDatagrams(encodeDatagrams(message), addresses);
}

auto PeerNetwork::recordHeard(const sockaddr_in &sender) -> std::string
{
    const auto lock = std::scoped_lock(mutex_);
    for (auto &[name, peer] : peers_) {
        if (isSameAddress(peer.socketAddress_, sender)) {
            peer.heardAt_ = Clock::now();
            return name;
        }
    }
    return "";
}

auto PeerNetwork::receiveLoop() -> void
{
    auto assembler = internal::FragmentAssembler();
    auto buffer = std::array<char, internal::maximumDatagramBytes + 1>();
    while (true) {
        auto sender = sockaddr_in {};
        auto senderSize = socklen_t(sizeof(sender));
        const auto size
            = recvfrom(socket_, buffer.data(), buffer.size(), 0, reinterpret_cast<sockaddr *>(&sender), &senderSize);
        {
            const auto lock = std::scoped_lock(mutex_);
            if (stopping_) {
                return;
            }
        }
        if (size < 0 && errno != EINTR && errno != ECONNREFUSED) {
            environment_->log().warning(
                "datagrams of the other routers cannot be received", {{"error", std::strerror(errno)}});
            if (!waitUnlessStopped(retryInterval)) {
                return;
            }
        }
        const auto datagram = std::string_view(buffer.data(), std::size_t(std::max<ssize_t>(size, 0)));
        environment_->contain("receive a datagram", [this, datagram, &sender, &assembler] {
            receiveDatagram(datagram, sender, assembler);
        });
    }
}

auto PeerNetwork::receiveDatagram(
    std::string_view datagram, const sockaddr_in &sender, internal::FragmentAssembler &assembler) -> void
{
    const auto router = recordHeard(sender);
    const auto message = wire::decode(datagram);
    if (router.empty() || !message) {
        rejectedCounter_->add();
        return;
    }
    const auto *fragment = std::get_if<wire::Fragment>(&*message);
    if (fragment == nullptr) {
        handleMessage(*message);
    } else if (const auto joined = assembler.add(router, *fragment)) {
        if (const auto whole = wire::decode(*joined)) {
            handleMessage(*whole);
        } else {
            rejectedCounter_->add();
        }
    }
}

auto PeerNetwork::handleMessage(const wire::Message &message) -> void
{
    auto handlers = std::vector<MessageHandler>();
    {
        const auto lock = std::scoped_lock(mutex_);
        handlers = handlers_;
    }
    for (const auto &handler : handlers) {
        environment_->contain("handle a message of a router", [&handler, &message] {
            handler(message);
        });
    }
}

} // namespace jasminewood::forward
