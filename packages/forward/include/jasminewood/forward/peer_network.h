#pragma once

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include <netinet/in.h>

#include "jasminewood/core/clock.h"
#include "jasminewood/forward/store_feed.h"
#include "jasminewood/kernel/service_registry.h"
#include "jasminewood/node/environment.h"
#include "jasminewood/platform/key_value.h"
#include "jasminewood/relay/source_selector.h"
#include "jasminewood/wire/messages.h"

// Service "peer-network": the other routers, and the datagrams exchanged with them.
//
// The routers discover each other by leased entries in the store. Datagrams may be lost, repeated or reordered, so what
// they carry must be superseded by later ones or be asked for again.

namespace jasminewood::forward
{

struct PeerNetworkOptions
{
    // Numeric address and port on which the datagrams of the other routers arrive.
    const std::string address_;
    const std::uint16_t port_ = 0;
    const std::string dataCentre_;
    // The key prefix of the routers' entries in the store.
    const std::string keyPrefix_ = "jasminewood/routers/";
};

namespace internal
{

class FragmentAssembler;
class RouterRegistration;

} // namespace internal

// Called on the receiving thread for each message.
using MessageHandler = std::function<auto(const wire::Message &message)->void>;

// Requires the services "environment" and "store-feed". Thread-safe.
class PeerNetwork
{
public:
    PeerNetwork(std::shared_ptr<platform::KeyValueClient> store, const PeerNetworkOptions &options);
    ~PeerNetwork();

    PeerNetwork(const PeerNetwork &) = delete;
    auto operator=(const PeerNetwork &) -> PeerNetwork & = delete;

    auto start(const kernel::ServiceRegistry &services) -> Status;
    auto stop() -> void;

    // Adds a handler of messages. It may be called until stop() returns.
    auto addHandler(MessageHandler handler) -> void;

    // Sends a message to one router, or to all other routers; does nothing if the router is unknown.
    auto send(const std::string &router, const wire::Message &message) -> void;
    auto broadcast(const wire::Message &message) -> void;

    // Returns the prefix of the routers' entries in the store.
    auto keyPrefix() const -> const std::string &;

    // Returns the names of the other routers.
    auto routerNames() const -> relay::RouterNames;

    // Returns the number of other routers.
    auto peerCount() const -> std::size_t;

    // Returns the port of the socket. The system chooses it if the options have port 0.
    auto port() const -> std::uint16_t;

private:
    struct Peer
    {
        std::string address_;
        std::string dataCentre_;
        sockaddr_in socketAddress_ = {};
        // False after the router's entry in the store has ended.
        bool registered_ = false;
        // When a datagram of the router last arrived.
        TimePoint heardAt_;
    };

    auto openSocket() -> Status;
    auto subscribe(StoreFeed &feed) -> void;
    auto receiveLoop() -> void;
    // Passes the message of a datagram to the handlers, once all of its fragments have arrived. Only known routers may
    // change what this process believes or occupy its memory.
    auto receiveDatagram(std::string_view datagram, const sockaddr_in &sender, internal::FragmentAssembler &assembler)
        -> void;
    // Passes a message to the handlers.
    auto handleMessage(const wire::Message &message) -> void;
    // Returns the name of the router with this address, and records that it was heard.
    auto recordHeard(const sockaddr_in &sender) -> std::string;
    auto registrationLoop() -> void;
    // Waits for the given time, or until the entry of this router is lost. Returns whether it is.
    auto waitForRenewal(Milliseconds time) -> bool;
    // Returns the factor by which the number of routers lengthens the delay before a lost entry is written.
    auto reregistrationFactor() const -> std::int64_t;
    // Tell the registration what the feed says of the entry of this router.
    auto observeOwnEntry(const platform::Snapshot &snapshot) -> void;
    auto observeOwnEntry(const platform::WatchEvent &event) -> void;
    auto observeOwnEntry(platform::Revision upTo, platform::Revision revision) -> void;
    auto addPeer(const std::string &key, const std::string &value) -> void;
    auto removePeer(const std::string &key) -> void;
    // Forgets routers whose entry has ended and that are silent.
    auto forgetSilentPeers() -> void;
    auto sendDatagrams(const std::vector<std::string> &datagrams, const std::vector<sockaddr_in> &addresses) -> void;
    auto encodeDatagrams(const wire::Message &message) -> std::vector<std::string>;
    // Waits for the given time; returns false if the service stops.
    auto waitUnlessStopped(Milliseconds time) -> bool;

    const std::shared_ptr<platform::KeyValueClient> store_;
    const PeerNetworkOptions options_;
    std::shared_ptr<node::Environment> environment_;
    int socket_ = -1;
    std::uint16_t port_ = 0;
    mutable std::mutex mutex_;
    std::condition_variable stopCondition_;
    bool stopping_ = false;
    // The era of the last snapshot of the store. Used by the callbacks of the feed only.
    platform::Era storeEra_ = 0;
    std::uint64_t nextMessageId_ = 0;
    // The other routers by name.
    std::map<std::string, Peer> peers_;
    std::vector<MessageHandler> handlers_;
    std::optional<observe::Counter> rejectedCounter_;
    std::unique_ptr<internal::RouterRegistration> registration_;
    std::thread receiverThread_;
    std::thread registrationThread_;
};

} // namespace jasminewood::forward
