#include <map>
#include <memory>
#include <random>
#include <variant>
#include <vector>

#include "jasminewood/relay/feed_state.h"
#include "jasminewood/testkit/property.h"

using namespace jasminewood;
using namespace jasminewood::relay;
using jasminewood::testkit::property;
using jasminewood::testkit::section;

namespace
{

// A model of one store and a few routers that follow each other, in steps of simulated time. Messages are delayed,
// lost, repeated and reordered, and routers freeze, restart, lose their way to the store and choose their sources at
// random.

constexpr std::size_t routerCount = 4;
constexpr int steps = 400;
constexpr auto stepTime = Milliseconds(10);

// The revision of the store before the first change.
constexpr platform::Revision firstRevision = 1;

using Entries = std::map<std::string, std::string>;

// A store that keeps all of its history.
class ModelStore
{
public:
    auto write(const std::string &key, const std::optional<std::string> &value, BootTime now) -> void
    {
        ++revision_;
        acceptedAt_.push_back(now);
        if (value) {
            changes_.push_back(platform::KeyPut {.entry_ = {.key_ = key, .value_ = *value, .modRevision_ = revision_}});
        } else {
            changes_.push_back(platform::KeyDeleted {.key_ = key, .revision_ = revision_});
        }
    }

    auto revision() const -> platform::Revision
    {
        return revision_;
    }

    auto changesAfter(platform::Revision revision) const -> ChangeBatch
    {
        return {.after_ = revision,
            .upTo_ = revision_,
            .changes_ = {changes_.begin() + std::ptrdiff_t(revision - firstRevision), changes_.end()}};
    }

    auto entriesAt(platform::Revision revision) const -> Entries
    {
        auto entries = Entries();
        for (const auto &change : changes_) {
            if (revisionOf(change) <= revision) {
                apply(entries, change);
            }
        }
        return entries;
    }

    // Returns the last revision that was accepted before a time.
    auto revisionBefore(BootTime time) const -> platform::Revision
    {
        auto revision = firstRevision;
        for (auto index = std::size_t(0); index < acceptedAt_.size() && acceptedAt_[index] < time; ++index) {
            revision = revisionOf(changes_[index]);
        }
        return revision;
    }

    static auto apply(Entries &entries, const platform::WatchEvent &change) -> void
    {
        if (const auto *put = std::get_if<platform::KeyPut>(&change)) {
            entries[put->entry_.key_] = put->entry_.value_;
        } else {
            entries.erase(std::get<platform::KeyDeleted>(change).key_);
        }
    }

private:
    platform::Revision revision_ = firstRevision;
    std::vector<platform::WatchEvent> changes_;
    std::vector<BootTime> acceptedAt_;
};

using Payload = std::variant<FollowRequest, Update>;

struct Datagram
{
    int dueStep_ = 0;
    std::size_t recipient_ = 0;
    std::size_t sender_ = 0;
    Payload payload_;
};

struct ModelRouter
{
    ModelRouter(std::size_t index, std::uint64_t incarnation, Clock::duration clockOffset)
        : state_(NodeId {.name_ = std::to_string(index), .incarnation_ = incarnation})
        , clockOffset_(clockOffset)
    {
    }

    FeedState state_;
    // Each router's clock has an epoch of its own.
    Clock::duration clockOffset_;
    Entries entries_;
    platform::Revision seen_ = 0;
    int frozenUntil_ = 0;
    bool cutOff_ = false;
};

class Model
{
public:
    explicit Model(std::uint32_t seed)
        : random_(seed)
    {
        for (auto index = std::size_t(0); index < routerCount; ++index) {
            routers_.push_back(makeRouter(index));
        }
    }

    auto run() -> void
    {
        for (step_ = 1; step_ <= steps; ++step_) {
            if (chance(10)) {
                const auto key = "k" + std::to_string(random_() % 3);
                store_.write(key, chance(30) ? std::nullopt : std::optional(std::to_string(step_)), trueTime());
            }
            deliver();
            for (auto index = std::size_t(0); index < routerCount; ++index) {
                act(index);
                checkInvariants(*routers_[index]);
            }
        }
    }

private:
    auto chance(unsigned percent) -> bool
    {
        return random_() % 100 < percent;
    }

    auto trueTime() const -> BootTime
    {
        return BootTime(std::chrono::hours(1) + step_ * stepTime);
    }

    auto timeOf(const ModelRouter &router) const -> BootTime
    {
        return trueTime() + router.clockOffset_;
    }

    auto makeRouter(std::size_t index) -> std::unique_ptr<ModelRouter>
    {
        return std::make_unique<ModelRouter>(index, ++incarnations_, std::chrono::seconds(random_() % 3'000));
    }

    auto isRunning(const ModelRouter &router) const -> bool
    {
        return step_ >= router.frozenUntil_;
    }

    auto send(std::size_t sender, std::size_t recipient, const Payload &payload) -> void
    {
        for (auto copy = 0; copy < (chance(10) ? 2 : 1); ++copy) {
            if (!chance(15)) {
                const auto delay = chance(10) ? int(random_() % 100) : int(random_() % 3);
                datagrams_.push_back({step_ + delay, recipient, sender, payload});
            }
        }
    }

    auto deliver() -> void
    {
        auto waiting = std::vector<Datagram>();
        waiting.swap(datagrams_);
        for (const auto &datagram : waiting) {
            auto &router = *routers_[datagram.recipient_];
            // What arrives at a frozen router waits in its socket.
            if (datagram.dueStep_ > step_ || !isRunning(router)) {
                datagrams_.push_back(datagram);
            } else if (const auto *request = std::get_if<FollowRequest>(&datagram.payload_)) {
                router.state_.recordRequest(*request, timeOf(router));
                update(datagram.recipient_, request->router_.name_);
            } else {
                apply(router, router.state_.applyUpdate(std::get<Update>(datagram.payload_), timeOf(router)));
                updateFollowers(datagram.recipient_);
            }
        }
    }

    auto update(std::size_t index, const std::string &follower) -> void
    {
        if (const auto update = routers_[index]->state_.takeUpdate(follower)) {
            send(index, std::size_t(std::stoul(follower)), *update);
        }
    }

    auto updateFollowers(std::size_t index) -> void
    {
        auto &router = *routers_[index];
        for (const auto &follower : router.state_.followers(timeOf(router))) {
            update(index, follower);
        }
    }

    static auto apply(ModelRouter &router, const BatchStep &step) -> void
    {
        if (const auto *news = std::get_if<NewChanges>(&step)) {
            for (const auto &change : news->changes_) {
                ModelStore::apply(router.entries_, change);
            }
        }
    }

    auto act(std::size_t index) -> void
    {
        if (chance(1)) {
            routers_[index] = makeRouter(index);
        }
        auto &router = *routers_[index];
        if (chance(1)) {
            router.frozenUntil_ = step_ + int(random_() % 100);
        }
        if (chance(2)) {
            router.cutOff_ = !router.cutOff_;
        }
        if (!isRunning(router)) {
            return;
        }
        if (chance(30)) {
            send(index, random_() % routerCount, router.state_.makeRequest(timeOf(router)));
        }
        if (chance(5) && !router.cutOff_) {
            readStore(router);
            updateFollowers(index);
        }
    }

    auto readStore(ModelRouter &router) -> void
    {
        const auto applied = router.state_.applied();
        if (applied == 0) {
            router.entries_ = store_.entriesAt(store_.revision());
            router.state_.applySnapshot(store_.revision(), timeOf(router));
        } else {
            apply(router, router.state_.applyRead(store_.changesAfter(applied), timeOf(router)));
        }
    }

    auto checkInvariants(ModelRouter &router) -> void
    {
        const auto applied = router.state_.applied();
        RC_ASSERT(applied >= router.seen_);
        router.seen_ = applied;
        if (applied > 0) {
            RC_ASSERT(router.entries_ == store_.entriesAt(applied));
        }
        if (const auto confirmedAt = router.state_.confirmedAt()) {
            RC_ASSERT(applied >= store_.revisionBefore(*confirmedAt - router.clockOffset_));
        }
    }

    std::mt19937 random_;
    int step_ = 0;
    std::uint64_t incarnations_ = 0;
    ModelStore store_;
    std::vector<std::unique_ptr<ModelRouter>> routers_;
    std::vector<Datagram> datagrams_;
};

const testkit::TestSuite suite = {"routers that pass on what one of them read in the store",
    {
        section("while messages are lost, repeated and delayed and routers freeze, restart and are cut off",
            {
                // Guards against a configuration that goes back, an entry that returns after its removal, and a router
                // that accepts a revoked key because it believes that its state is newer than it is.
                property("never go back, never skip a change and never overstate how new their state is",
                    [](std::uint32_t seed) {
                        Model(seed).run();
                    }),
            }),
    }};

} // namespace
